package edge

import (
	"time"

	"hickorybend/core/fleet"
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
