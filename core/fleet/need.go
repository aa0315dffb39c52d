package fleet

import "hickorybend/core/site"

// need compares the replicas that a model should have with those it has.
type need struct {
	model       site.Model
	replicas    int     // those that form, open or serve
	wanted      float64 // number of replicas that the model should have
	utilization float64 // fraction of its replicas' slots in use
}

// score returns the ratio of the replicas wanted to those that the model would
// have with one more. It is 1 or more if the model lacks a replica.
func (need need) score() float64 { return need.wanted / float64(need.replicas+1) }

// scoreIfOneFewer returns the score that the model would have with one replica
// fewer. If it is 1 or more, the model would lack that replica.
func (need need) scoreIfOneFewer() float64 { return need.wanted / float64(max(1, need.replicas)) }

// needs computes how many replicas of each model the endpoints should form. All
// endpoints but the spares are divided among the models by share: by the
// configured shares at first, then by the shares of the demand. For example, with
// 60 endpoints, 10 of them spares, and equal shares, a model of 4 hosts wants 25/4
// replicas and a model of 2 hosts 25/2. A model whose utilization is above
// HighUtilization wants at least one replica more than it has, so that the spares
// are used too. Where replicas follow a target, a model wants what serves the peak of its
// demand, be it more or less than the hosts there are.
func (pass *pass) needs() []need {
	usable := float64(len(pass.Endpoints)) * (1 - pass.planner.policy.SpareFraction)
	var needs []need
	for m, model := range pass.models {
		share := shareOf(model, len(pass.Endpoints), pass.planner.policy.SharePrior, pass.Demand)
		need := need{model: model, wanted: usable * share / float64(max(model.ReplicaSize, 1))}
		inFlight := 0
		for _, replica := range pass.planner.replicas {
			if replica.model.Name == model.Name && replica.state < stateRetiring {
				need.replicas++
				inFlight += pass.InFlight[replica.firstHost()]
			}
		}
		need.utilization = float64(inFlight) / float64(max(1, need.replicas*pass.Engine.Slots))
		if need.utilization > pass.planner.policy.HighUtilization {
			need.wanted = max(need.wanted, float64(need.replicas)+1)
		}
		if pass.hasTarget() {
			need.wanted = pass.hostNeeds()[m] / float64(max(model.ReplicaSize, 1))
		}
		needs = append(needs, need)
	}
	return needs
}
