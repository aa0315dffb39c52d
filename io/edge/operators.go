package edge

import (
	"time"

	"go.uber.org/zap"

	"hickorybend/core/site"
	"hickorybend/io/event"
	"hickorybend/io/gossip"
	"hickorybend/platform"
)

// operators is what is known of the operators' configuration, and when each
// table was last silent.
type operators struct {
	index       *site.Index
	row         platform.Entry
	silentSince [tableCount]time.Time // zero while the store answers
	backAt      [tableCount]time.Time // when it answered again
}

// learnConfig takes in a configuration; within one process its version only
// grows.
func (control *Control) learnConfig(change tableChanged, _ time.Time) {
	for _, entry := range change.batch.Entries {
		if entry.Key != platform.KeyConfig || entry.Removed {
			continue
		}
		config, err := platform.DecodeConfig(entry.Value)
		if err != nil {
			event.Log(control.log, event.ConfigUnreadable, zap.Error(err), zap.String("from", string(change.from)))
			continue
		}
		if control.operators.index != nil && config.Version <= control.operators.index.Config.Version {
			continue
		}
		control.operators.index = site.NewIndex(config)
		control.operators.row = entry
		control.changed = true
		control.copies[tableConfig].Store(&gossip.Table{Version: config.Version, Entries: []gossip.Entry{{
			Key: entry.Key, Value: entry.Value, Version: entry.Version,
		}}})
		event.Log(control.log, event.ConfigInForce, zap.Int64("version", config.Version), zap.String("from", string(change.from)),
			zap.Int("routes", len(config.Routes)), zap.Int("teams", len(config.Teams)))
	}
}
