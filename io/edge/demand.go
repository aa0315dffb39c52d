package edge

import (
	"time"

	"hickorybend/core/batch"
	"hickorybend/core/fleet"
	"hickorybend/core/site"
	"hickorybend/core/topo"
)

const (
	demandInterval = time.Second // between two samples of the demand counters
)

// demand is the host time that callers have recently requested of each model, over
// all nodes.
type demand struct {
	growth       topo.Growth
	added        topo.Counters // since the last sample, over all nodes
	zone, all    topo.Counters // while this node led: the growth in its zone, and of all nodes
	recent       *fleet.Demand
	nextSampleAt time.Time
}

func newDemand() demand {
	return demand{added: topo.Counters{}, zone: topo.Counters{}, all: topo.Counters{}, recent: fleet.NewDemand()}
}

// countDemand adds up how much each node's counters have grown since the last call. Where
// the leader's sum has the growth of all nodes, that has this node's.
func (control *Control) countDemand(groups [][]topo.Source) {
	demand, peers := &control.demand, control.peers
	self := topo.Source{Node: peers.self, Zone: peers.zone, Scope: topo.ScopeNode}
	summed := len(groups) == 1 && groups[0][0].Scope == topo.ScopeAll
	if !summed {
		groups = append(groups[:len(groups):len(groups)], []topo.Source{self})
	}
	grown := demand.growth.Since(groups, func(source topo.Source) topo.Counters {
		if source == self {
			return control.digest.Load().Demand
		}
		return peers.nodes[source.Node].digest.Demand
	})
	for i, group := range groups {
		demand.added.Add(grown[i])
		if !peers.role.IsLeader || peers.role.Mesh {
			continue
		}
		demand.all.Add(grown[i])
		if group[0].Zone == peers.zone {
			demand.zone.Add(grown[i])
		}
	}
}

// updateDemand records the demand since the last sample.
func (control *Control) updateDemand(now time.Time) {
	demand := &control.demand
	if now.Before(demand.nextSampleAt) {
		return
	}
	demand.nextSampleAt = now.Add(demandInterval)
	increments := map[string]float64{}
	for model, grown := range demand.added {
		increments[model] = time.Duration(grown).Seconds()
	}
	demand.added = topo.Counters{}
	demand.recent.Add(now, increments)
}

// peakFor returns the peak of the demand for an engine's models. It is zero if the engine's
// speed is not configured, because requests then have no host time.
func (demand *demand) peakFor(engine *site.Engine, now time.Time) fleet.Peak {
	if !(batch.Replica{Engine: engine}).Known() {
		return fleet.Peak{}
	}
	return demand.recent.Peak(now)
}

// objectivesOf returns the strictest time to the first event of the routes to a service, for
// each of its models. Digests do not say which route requests a model.
func objectivesOf(config site.Config, service *site.Service) map[string]time.Duration {
	strictest := time.Duration(0)
	for _, route := range config.Routes {
		for _, target := range route.Targets {
			if target.Service == service.Name && route.LatencyObjective > 0 && (strictest == 0 || route.LatencyObjective < strictest) {
				strictest = route.LatencyObjective
			}
		}
	}
	objectives := map[string]time.Duration{}
	if service.Engine == nil {
		return objectives
	}
	for _, model := range service.Engine.Models {
		objectives[model.Name] = strictest
	}
	return objectives
}
