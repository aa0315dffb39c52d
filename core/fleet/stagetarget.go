package fleet

import (
	"maps"
	"slices"
)

// stageTarget starts the weight loads that the target needs, then those that make idle
// hosts spares of the replicas of their domain, then second models on hosts that serve.
func (pass *pass) stageTarget() {
	plans := pass.domainPlans()
	for pass.mayStartLoad() {
		best := pass.bestTargetLoad(plans)
		if best.id == "" && pass.mayLoadSecondModels() {
			best = pass.bestSecondModelLoad(pass.supplies(pass.idle()))
		}
		if best.id == "" {
			return
		}
		pass.startLoad(best)
	}
}

// bestTargetLoad returns the load with the highest value that completes a replica of the
// target or makes a host a spare.
func (pass *pass) bestTargetLoad(plans map[string]*domainPlan) weightLoad {
	var best weightLoad
	order := pass.byGain(plans)
	for _, domain := range slices.Sorted(maps.Keys(plans)) {
		load, spares := pass.completingLoad(domain, plans[domain], order)
		best = best.moreValuable(load)
		if load.id == "" {
			best = best.moreValuable(pass.spareLoad(domain, plans[domain], spares))
		}
	}
	return best
}

// completingLoad returns the load that completes a replica of the target in a domain, and
// the idle endpoints that no such replica needs. The hosts of replicas that the target does
// not have load the weights while they serve, so that they move once all are there.
func (pass *pass) completingLoad(domain string, plan *domainPlan, order []int) (weightLoad, []string) {
	missing := pass.missing(domain, plan)
	available, serving := slices.Clone(plan.pool), map[string]bool{}
	for _, replica := range pass.surplus(domain, plan) {
		available = append(available, replica.members...)
		for _, id := range replica.members {
			serving[id] = true
		}
	}
	var best weightLoad
	for rank, m := range order {
		model := pass.models[m]
		pass.sortForModel(available, model)
		for range missing[m] {
			number := min(model.ReplicaSize, len(available))
			members := available[:number]
			available = available[number:]
			cold := slices.DeleteFunc(slices.Clone(members), func(id string) bool { return pass.readinessOf(id, model.Name) != readyCold })
			for _, id := range cold {
				if pass.canStage(id) {
					value := 1 + float64(model.ReplicaSize)/float64(len(cold)*(1+rank))
					best = best.moreValuable(weightLoad{id: id, model: model, value: value, serves: serving[id]})
				}
			}
		}
	}
	return best, slices.DeleteFunc(available, func(id string) bool { return serving[id] })
}

// swapLoss is how many times the value of the weights that a host gives up the weights
// that it loads must have.
const swapLoss = 2

// spareLoad returns the load that adds most to what the spares of a domain cover. A spare
// that was in no replica yet loses the weights that it has.
func (pass *pass) spareLoad(domain string, plan *domainPlan, spares []string) weightLoad {
	counts := pass.planner.target.counts[domain]
	if counts == nil || pass.NoRequestsYet {
		counts = plan.counts
	}
	prepared := make([]int, len(pass.models))
	for _, id := range spares {
		for m, model := range pass.models {
			if pass.readinessOf(id, model.Name) < readyCold {
				prepared[m]++
			}
		}
	}
	cover := func(m, prepared int) float64 {
		size := pass.models[m].ReplicaSize
		return float64(counts[m]*size*size) / float64((1+prepared)*(1+prepared))
	}
	var best weightLoad
	for _, id := range spares {
		if !pass.canStage(id) {
			continue
		}
		loss := 0.0
		if from := pass.indexOf(pass.preparedFor(id)); from >= 0 && pass.planner.recordOf(id).lastModel == "" {
			loss = swapLoss * cover(from, prepared[from]-1)
		}
		for m, model := range pass.models {
			if gain := cover(m, prepared[m]) - loss; gain > 0 && pass.readinessOf(id, model.Name) == readyCold {
				best = best.moreValuable(weightLoad{id: id, model: model, value: gain / (1 + gain)})
			}
		}
	}
	return best
}
