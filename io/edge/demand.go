package edge

import (
	"time"

	"hickorybend/core/fleet"
)

const (
	demandInterval = time.Second // between two samples of the demand counters
)

// demand is the host time that callers have recently requested of each model, over
// all nodes.
type demand struct {
	previous     map[string]map[string]int64 // counters by node and model at the last sample
	recent       *fleet.Demand
	nextSampleAt time.Time
}

// updateDemand adds up how much each node's counters have grown since the last
// sample.
func (control *Control) updateDemand(now time.Time) {
	demand := &control.demand
	if now.Before(demand.nextSampleAt) {
		return
	}
	demand.nextSampleAt = now.Add(demandInterval)
	increments := map[string]float64{}
	demand.add(control.settings.Node, control.digest.Load().Demand, increments)
	for name, peer := range control.peers.nodes {
		demand.add(name, peer.digest.Demand, increments)
	}
	demand.recent.Add(now, increments)
}

// add adds the growth of a node's counters, in seconds, to the increments. The
// counters may be the sum that a leader makes over its zone or all nodes. A sum
// that shrank lacks a node that it had before, and adds nothing this time.
func (demand *demand) add(node string, counters map[string]int64, increments map[string]float64) {
	previous := demand.previous[node]
	for model, total := range counters {
		if previous != nil && total > previous[model] {
			increments[model] += time.Duration(total - previous[model]).Seconds()
		}
	}
	if counters != nil {
		demand.previous[node] = counters
	}
}
