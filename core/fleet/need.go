package fleet

import "hickorybend/core/site"

// need is how much a model lacks replicas.
type need struct {
	model    site.Model
	replicas int
	wanted   float64
	load     float64 // part of its slots that are taken
}

// score is above 1 where a model lacks replicas.
func (need need) score() float64 { return need.wanted / float64(need.replicas+1) }

// left is above 1 where a model would lack replicas if it gave one.
func (need need) left() float64 { return need.wanted / float64(max(1, need.replicas)) }

// needs works out how many replicas of each model the endpoints at hand should
// form. Endpoints less the reserve are shared out by the work of each model,
// at first as configured, then as callers ask for it: with 60 endpoints, 10 in
// reserve and half of the work each, a model of 4 hosts wants 25/4 replicas and
// one of 2 hosts 25/2.
func (turn *turn) needs() []need {
	usable := float64(len(turn.Endpoints)) * (1 - turn.planner.policy.SpareFraction)
	var needs []need
	for _, model := range turn.Engine.Models {
		share := shareOf(model, len(turn.Endpoints), turn.planner.policy.SharePrior, turn.Demand)
		found := need{model: model, wanted: usable * share / float64(max(model.ReplicaSize, 1))}
		inFlight := 0
		for _, replica := range turn.planner.replicas {
			if replica.model.Name == model.Name && replica.stage < stageRetiring {
				found.replicas++
				inFlight += turn.InFlight[replica.head()]
			}
		}
		found.load = float64(inFlight) / float64(max(1, found.replicas*turn.Engine.Slots))
		if found.load > turn.planner.policy.HighLoad {
			found.wanted = max(found.wanted, float64(found.replicas)+1)
		}
		needs = append(needs, found)
	}
	return needs
}
