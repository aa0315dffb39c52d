package fleet

import (
	"slices"
	"time"

	"hickorybend/core/site"
)

// stage starts loads of weights onto the hosts of spares, since a spare with the
// right weights joins in a second or two and one without them in ten or more. Hosts
// that serve may load a second model. All loads together stay below the weight
// store's rate. Before the first request, stage waits until no endpoint has
// appeared for twice the debounce time; form waits for one.
func (pass *pass) stage() {
	if pass.NoRequestsYet && pass.Now.Before(pass.planner.lastNewEndpointAt.Add(2*pass.planner.policy.Debounce)) {
		return
	}
	if pass.Peak.Hosts != nil {
		pass.stageTarget()
		return
	}
	domains := pass.idle()
	supplies := pass.supplies(domains)
	for pass.mayStartLoad() && pass.startBestLoad(domains, supplies) {
	}
}

// startBestLoad starts the load with the highest value in all domains. It returns
// false if no load has any value.
func (pass *pass) startBestLoad(domains map[string][]string, supplies map[string]supply) bool {
	var best weightLoad
	for domain, ids := range domains {
		for _, id := range ids {
			if pass.canStage(id) {
				best = best.moreValuable(pass.bestLoad(supplies[domain], id))
			}
		}
	}
	if pass.mayLoadSecondModels() {
		best = best.moreValuable(pass.bestSecondModelLoad(supplies))
	}
	if best.id == "" {
		return false
	}
	pass.countLoad(supplies[pass.known[best.id].Domain], best)
	pass.startLoad(best)
	return true
}

// startLoad tells an endpoint to load a model's weights.
func (pass *pass) startLoad(weightload weightLoad) {
	pass.send(weightload.id, Stage{Model: weightload.model.Name})
	record := pass.planner.recordOf(weightload.id)
	record.staging = weightload.model.Name
	record.stageDeadline = pass.Now.Add(2 * weightload.model.LoadTime)
	pass.planner.loadStarts = append(pass.planner.loadStarts, pass.Now)
}

// bestSecondModelLoad returns the load of a second model with the highest value
// onto a host that serves.
func (pass *pass) bestSecondModelLoad(supplies map[string]supply) weightLoad {
	var best weightLoad
	for _, replica := range pass.planner.replicas {
		if replica.state != stateServing {
			continue
		}
		for _, id := range replica.members {
			if pass.canStage(id) {
				best = best.moreValuable(pass.secondModelLoad(supplies[pass.known[id].Domain], id, true))
			}
		}
	}
	return best
}

// weightLoad is a load of a model's weights onto an endpoint's host, with its value.
type weightLoad struct {
	id     string
	model  site.Model
	value  float64
	serves bool // whether the endpoint belongs to a replica that serves
}

// moreValuable returns the load with the higher value; among equals the one with
// the lower endpoint ID, so that equal inputs give equal plans.
func (weightload weightLoad) moreValuable(other weightLoad) weightLoad {
	if other.value > weightload.value || other.value == weightload.value && other.value > 0 && other.id < weightload.id {
		return other
	}
	return weightload
}

// supplies counts what each domain has of each model.
func (pass *pass) supplies(idle map[string][]string) map[string]supply {
	scores := map[string]float64{}
	for _, need := range pass.needs() {
		scores[need.model.Name] = need.score()
	}
	supplies := map[string]supply{}
	for domain := range pass.domains() {
		supplies[domain] = pass.supplyOf(idle[domain], scores)
	}
	for _, replica := range pass.planner.replicas {
		if supply, found := supplies[pass.known[replica.firstHost()].Domain]; found {
			supply.hosts[replica.model.Name] += replica.model.ReplicaSize
			pass.countDonorHosts(supply, replica)
		}
	}
	return supplies
}

// countLoad adds a load that starts now to the supply of its domain, from which
// the values of the next loads follow. The load replaces the weights that the host
// has, but an endpoint that was in a replica stays ready for that replica's model.
func (pass *pass) countLoad(supply supply, weightload weightLoad) {
	if weightload.serves {
		supply.donorHosts[weightload.model.Name]++
		return
	}
	if from := pass.preparedFor(weightload.id); pass.planner.recordOf(weightload.id).lastModel == "" {
		supply.prepared[from]--
	}
	supply.prepared[weightload.model.Name]++
}

// canStage reports whether an endpoint may be told to load weights now.
func (pass *pass) canStage(id string) bool {
	record := pass.planner.recordOf(id)
	endpoint := pass.known[id]
	return record.staging == "" && !record.pending && !pass.Now.Before(record.retryAt) && endpoint.CommandCountKnown && !endpoint.Draining && !pass.Unresponsive[id]
}

// secondModelValue is the base value of a second model's weights on a host that is
// ready for one model already. It is below the value of all loads that are wanted
// now.
const secondModelValue = 0.1

// secondModelLoad picks a second model for the host of an endpoint. The endpoint
// joins replicas of its last model at once without staged weights, so staging
// those of another model makes it ready for both.
func (pass *pass) secondModelLoad(supply supply, id string, serves bool) weightLoad {
	last := pass.planner.recordOf(id).lastModel
	best := weightLoad{id: id, serves: serves}
	for _, model := range pass.models {
		if last == "" || model.Name == last || pass.known[id].HasWeights(model.Name) {
			continue
		}
		value := min(1, secondModelValue*(1+supply.scores[model.Name])*float64(model.ReplicaSize))
		if serves {
			value = max(value, supply.donorHostValue(model))
		}
		if value > best.value {
			best.model, best.value = model, value
		}
	}
	if len(pass.models) > 2 && len(pass.known[id].Staged) > 0 && !pass.known[id].HasWeights(last) {
		return weightLoad{} // it has a second model already
	}
	return best
}

// donorHostsPerDomain is how many hosts of a domain that serve other models should
// have a model's weights as well, so that they can complete its replicas in that
// domain.
const donorHostsPerDomain = 2

// donorHostValue rates a model's weights on a host that serves another model. Such
// a host completes a replica as well as an idle one does: if a replica of eight
// breaks, seven hosts wait, and it may take long until an idle host comes to the
// domain.
func (supply supply) donorHostValue(model site.Model) float64 {
	waiting := supply.prepared[model.Name] % max(model.ReplicaSize, 1)
	if supply.scores[model.Name] < 1 || waiting == 0 || supply.donorHosts[model.Name] >= donorHostsPerDomain {
		return 0
	}
	return 1 + supply.scores[model.Name]/float64(model.ReplicaSize-waiting)
}

// supply counts what a domain has for each model, by the model's name. Unlike
// countPrepared, it includes the endpoints whose hosts are still loading the
// weights.
type supply struct {
	prepared   map[string]int     // idle endpoints that are prepared for the model or are loading it
	hosts      map[string]int     // hosts in the model's replicas
	donorHosts map[string]int     // hosts of other models' replicas that are prepared for the model or are loading it
	scores     map[string]float64 // need.score of the model, over all domains
}

// supplyOf returns a supply that counts only the idle endpoints of a domain.
func (pass *pass) supplyOf(ids []string, scores map[string]float64) supply {
	supply := supply{prepared: map[string]int{}, hosts: map[string]int{}, donorHosts: map[string]int{}, scores: scores}
	for _, id := range ids {
		for _, model := range pass.models {
			if pass.readinessOf(id, model.Name) < readyCold {
				supply.prepared[model.Name]++
			}
		}
	}
	return supply
}

// countDonorHosts adds the members of a replica that are prepared for other models
// or are loading them.
func (pass *pass) countDonorHosts(supply supply, replica *replica) {
	for _, id := range replica.members {
		for _, model := range pass.models {
			if model.Name != replica.model.Name && pass.readinessOf(id, model.Name) < readyCold {
				supply.donorHosts[model.Name]++
			}
		}
	}
}

// preparedFor returns the first model that an endpoint is prepared for or is
// loading, or "" if there is none.
func (pass *pass) preparedFor(id string) string {
	for _, model := range pass.models {
		if pass.readinessOf(id, model.Name) < readyCold {
			return model.Name
		}
	}
	return ""
}

// bestLoad picks the model whose weights the host of an idle endpoint should load.
// A host that has a model's weights already loads others only to complete a
// replica, and only if its present model can spare it. An endpoint that was in a
// replica gets a second model instead.
func (pass *pass) bestLoad(supply supply, id string) weightLoad {
	if pass.planner.recordOf(id).lastModel != "" {
		return pass.secondModelLoad(supply, id, false)
	}
	from := pass.preparedFor(id)
	best := weightLoad{id: id}
	for _, model := range pass.models {
		if model.Name == from || model.ReplicaSize == 0 {
			continue
		}
		value := supply.value(model)
		if from != "" {
			old, _ := pass.Engine.Model(from)
			value = supply.swapValue(model, old)
		}
		if value > best.value {
			best.model, best.value = model, value
		}
	}
	return best
}

// coverFactor scales the value of a spare that covers later failures, relative to
// the value of a host that is wanted now.
const coverFactor = 0.05

// baseFactor scales the small value that weights on a host without any have even
// if there is no replica to cover.
const baseFactor = 0.01

// value rates one more endpoint of a domain that is prepared for a model.
//
// If the model lacks replicas, completing one counts most: three free hosts of a
// broken replica of four are worth nothing until a fourth comes.
//
// If it does not, the endpoint is a spare that covers the model's replicas in the
// domain. A spare for large replicas counts more, since the loss of one host
// strands more hosts: its value grows with hosts*size/(1+prepared)^2, where hosts
// is the number of hosts in the model's replicas. For example, take one replica of
// 4 hosts beside two of 2. The first spare counts 4*4 for the large model and 4*2
// for the small one, so it is for the large one. The second counts 4*4/4 and 4*2,
// so it is for the small one.
func (supply supply) value(model site.Model) float64 {
	prepared := supply.prepared[model.Name]
	score := supply.scores[model.Name]
	if score >= 1 {
		lacking := model.ReplicaSize - prepared%model.ReplicaSize
		return 1 + score/float64(lacking)
	}
	cover := float64(supply.hosts[model.Name]*model.ReplicaSize) / float64((1+prepared)*(1+prepared))
	return coverFactor*cover + baseFactor*score
}

const (
	maxSwaps  = 2   // endpoints that may replace their weights to complete one replica
	swapRatio = 1.4 // how many times higher the new model's score has to be than the old one's
)

// swapValue rates a model's weights for an endpoint that has those of another
// model. They have value only if the endpoint helps to complete a wanted replica
// and the old model can spare it. If the new replica lacks just one endpoint, the
// old model can always spare the one that is left over when its prepared endpoints
// form replicas.
func (supply supply) swapValue(model, old site.Model) float64 {
	prepared := supply.prepared[old.Name]
	lacking := model.ReplicaSize - supply.prepared[model.Name]%model.ReplicaSize
	score := supply.scores[model.Name]
	leftover := lacking == 1 && prepared%max(old.ReplicaSize, 1) == 1
	spare := score >= swapRatio*supply.scores[old.Name] && (prepared > 1 || supply.hosts[old.Name] == 0)
	if score < 1 || lacking > maxSwaps || !leftover && !spare {
		return 0
	}
	return score / float64(lacking)
}

// mayStartLoad reports whether one more load may start now. Loads stay below the
// weight store's rate, and at most MaxConcurrentLoads run at once, since more slow
// each other down. Before the first request there is no limit.
func (pass *pass) mayStartLoad() bool {
	if pass.NoRequestsYet {
		return true
	}
	planner := pass.planner
	planner.loadStarts = slices.DeleteFunc(planner.loadStarts, func(at time.Time) bool { return pass.Now.Sub(at) > 20*time.Second })
	recent := 0
	for _, at := range planner.loadStarts {
		if pass.Now.Sub(at) < time.Second {
			recent++
		}
	}
	return float64(recent) < max(1, planner.policy.LoadRateFraction*pass.Engine.LoadsPerSec) && pass.loadsInProgress() < max(1, pass.Engine.MaxConcurrentLoads)
}

// loadsInProgress counts the loads under way at the endpoints that still exist; an
// endpoint that is gone loads nothing.
func (pass *pass) loadsInProgress() int {
	running := 0
	for id := range pass.known {
		if pass.planner.recordOf(id).staging != "" {
			running++
		}
	}
	return running
}

// mayLoadSecondModels reports whether hosts that serve may load a second model.
// The loads that idle hosts need must not wait for these, so hosts that serve get
// only some of the concurrent loads.
func (pass *pass) mayLoadSecondModels() bool {
	return pass.NoRequestsYet || float64(pass.loadsInProgress()) < pass.planner.policy.ServingLoadFraction*float64(pass.Engine.MaxConcurrentLoads)
}
