package edge

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"hickorybend/core/rows"
	"hickorybend/core/site"
	"hickorybend/io/event"
	"hickorybend/io/gossip"
	"hickorybend/platform"
)

// configState holds the operators' configuration in force, and since when the
// store has not answered this node, for each table.
type configState struct {
	index            *site.Index           // nil while no configuration is known
	unavailableSince [tableCount]time.Time // when the outage began; zero while the store answers
}

// handleConfig puts a configuration in force if its version is higher than that
// of the current one. Within one process the version only grows.
func (control *Control) handleConfig(change tableChanged, _ time.Time) {
	for _, entry := range change.batch.Entries {
		if entry.Key != platform.KeyConfig || entry.Removed {
			continue
		}
		config, err := platform.DecodeConfig(entry.Value)
		if err != nil {
			event.Log(control.log, event.ConfigUnreadable, zap.Error(err), zap.String("from", string(change.from)))
			continue
		}
		if control.config.index != nil && config.Version <= control.config.index.Config.Version {
			continue
		}
		control.config.index = site.NewIndex(config)
		control.snapshotStale = true
		control.limitsCold.Store(slices.ContainsFunc(config.Services, func(service site.Service) bool { return service.ColdPerSecond > 0 }))
		control.publishedTables[tableConfig].Store(&gossip.Table{Version: rows.Version(config.Version), Entries: []gossip.Entry{{
			Key: entry.Key, Value: entry.Value, Version: entry.Version,
		}}})
		event.Log(control.log, event.ConfigInForce, zap.Int64("version", config.Version), zap.String("from", string(change.from)),
			zap.Int("routes", len(config.Routes)), zap.Int("teams", len(config.Teams)))
		control.reportUnknownRegions(config)
		for _, service := range config.Services {
			if service.UnusableMaxConnections != "" {
				event.Log(control.log, event.ConnectionsUnusable, zap.String("service", service.Name), zap.String("value", service.UnusableMaxConnections))
			}
		}
	}
}
