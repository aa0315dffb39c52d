package edge

import (
	"time"

	"hickorybend/core/fleet"
)

const (
	demandEvery = time.Second // between two looks at what callers ask
)

// demand is the work that callers of all nodes lately asked of each model.
type demand struct {
	before map[string]map[string]int64 // by node and model, at the last look
	lately *fleet.Demand
	nextAt time.Time
}

// learnDemand compares what each node has counted with what it had before.
func (control *Control) learnDemand(now time.Time) {
	demand := &control.demand
	if now.Before(demand.nextAt) {
		return
	}
	demand.nextAt = now.Add(demandEvery)
	sums := map[string]float64{}
	demand.add(control.settings.Node, control.digest.Load().Demand, sums)
	for name, peer := range control.peers.nodes {
		demand.add(name, peer.digest.Demand, sums)
	}
	demand.lately.Add(now, sums)
}

// add counts what a node, or a zone that a leader sums up, was asked since the
// last look; a sum that shrank lost a node, and counts for nothing this time.
func (demand *demand) add(node string, asked map[string]int64, sums map[string]float64) {
	before := demand.before[node]
	for model, work := range asked {
		if before != nil && work > before[model] {
			sums[model] += time.Duration(work - before[model]).Seconds()
		}
	}
	if asked != nil {
		demand.before[node] = asked
	}
}
