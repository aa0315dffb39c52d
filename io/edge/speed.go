package edge

import (
	"hickorybend/core/batch"
	"hickorybend/core/fleet"
	"hickorybend/core/reach"
	"hickorybend/core/site"
)

// speedOf returns what the configuration states of a replica's speed and of the way there. Where no
// delays between zones are stated, a constant decides whether requests leave the zone.
func (control *Control) speedOf(engine *site.Engine, replica fleet.Replica) reach.Speed {
	model, found := engine.Model(replica.Model)
	if !found {
		return reach.Speed{}
	}
	speed := reach.Speed{Replica: batch.Replica{Engine: engine, Model: model}}
	speed.Delay, speed.DelayKnown = engine.DelayBetween(control.settings.Zone, replica.FirstHost.Zone)
	return speed
}
