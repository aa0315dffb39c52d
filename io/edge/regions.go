package edge

import (
	"go.uber.org/zap"

	"hickorybend/core/homes"
	"hickorybend/core/site"
	"hickorybend/io/event"
)

// regions returns what the settings tell of the regions of zones.
func (settings Settings) regions() homes.Zones {
	zones := homes.Zones{OwnZone: settings.Zone, Regions: settings.Zones}
	if settings.Region != nil {
		zones.OwnRegion = *settings.Region
	}
	return zones
}

// regionOfPeer returns the region of another node, by its row: a node of an earlier build states
// none there, and does not keep to home regions. One that disagrees with this node's settings
// counts as unknown.
func (control *Control) regionOfPeer(peer *peer) string {
	if region := control.settings.regions().RegionOf(peer.zone); region != "" && region != peer.region {
		return ""
	}
	return peer.region
}

// reportUnknownRegions logs the home regions of a configuration that are no zone's.
func (control *Control) reportUnknownRegions(config site.Config) {
	unknown := homes.FindUnknown(config, control.settings.regions())
	if len(unknown.Regions) == 0 {
		return
	}
	event.Log(control.log, event.RegionUnknown, zap.Int64("version", config.Version), zap.Strings("regions", unknown.Regions),
		zap.Strings("routes", unknown.Routes), zap.Strings("teams", unknown.Teams))
}
