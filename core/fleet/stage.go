package fleet

import (
	"slices"
	"time"

	"hickorybend/core/site"
)

// stage loads weights onto the hosts of spares, at less than the weight
// store's rate: a spare with the right weights joins in a second or two, one
// without in ten or more.
func (turn *turn) stage() {
	if turn.NoRequestsYet && turn.Now.Before(turn.planner.newest.Add(2*turn.planner.policy.Debounce)) {
		return
	}
	domains := turn.idle()
	supplies := turn.supplies(domains)
	for turn.mayLoad() && turn.stageBest(domains, supplies) {
	}
}

// stageBest starts the most valuable load of all domains, if there is one.
func (turn *turn) stageBest(domains map[string][]string, supplies map[string]supply) bool {
	var best load
	for domain, ids := range domains {
		for _, id := range ids {
			if turn.mayStage(id) {
				best = best.or(turn.bestStage(supplies[domain], id))
			}
		}
	}
	if turn.maySecond() {
		best = best.or(turn.bestSecond(supplies))
	}
	if best.id == "" {
		return false
	}
	turn.countStage(supplies[turn.known[best.id].Domain], best)
	turn.send(best.id, Stage{Model: best.model.Name})
	track := turn.planner.track(best.id)
	track.staging = best.model.Name
	track.stagedBy = turn.Now.Add(2 * best.model.LoadTime)
	turn.planner.loads = append(turn.planner.loads, turn.Now)
	return true
}

// bestSecond rates the loads of second models onto hosts that serve.
func (turn *turn) bestSecond(supplies map[string]supply) load {
	var best load
	for _, replica := range turn.planner.replicas {
		if replica.stage != stageServing {
			continue
		}
		for _, id := range replica.members {
			if turn.mayStage(id) {
				best = best.or(turn.secondStage(supplies[turn.known[id].Domain], id, true))
			}
		}
	}
	return best
}

// load is a model's weights for an endpoint's host, with what they are worth.
type load struct {
	id     string
	model  site.Model
	value  float64
	serves bool // the endpoint belongs to a replica
}

// or gives the more valuable load; of alike ones that of the first name, so
// that equal inputs give equal plans.
func (load load) or(other load) load {
	if other.value > load.value || other.value == load.value && other.value > 0 && other.id < load.id {
		return other
	}
	return load
}

// supplies works out what each domain has of each model.
func (turn *turn) supplies(idle map[string][]string) map[string]supply {
	scores := map[string]float64{}
	for _, need := range turn.needs() {
		scores[need.model.Name] = need.score()
	}
	supplies := map[string]supply{}
	for domain := range turn.domains() {
		supplies[domain] = turn.supplyOf(idle[domain], scores)
	}
	for _, replica := range turn.planner.replicas {
		if supply, found := supplies[turn.known[replica.head()].Domain]; found {
			supply.hosts[replica.model.Name] += replica.model.ReplicaSize
			turn.countReserve(supply, replica)
		}
	}
	return supplies
}

func (turn *turn) countStage(supply supply, load load) {
	if load.serves {
		supply.reserve[load.model.Name]++
		return
	}
	if from := turn.preparedFor(load.id); turn.planner.track(load.id).lastModel == "" {
		supply.prepared[from]--
	}
	supply.prepared[load.model.Name]++
}

func (turn *turn) mayStage(id string) bool {
	track := turn.planner.track(id)
	endpoint := turn.known[id]
	return track.staging == "" && !track.pending && !turn.Now.Before(track.retryAt) && endpoint.CommandCountKnown && !endpoint.Draining && !turn.Unresponsive[id]
}

// secondValue rates the weights of a second model on a host that is ready for
// one; below all loads that are wanted now.
const secondValue = 0.1

// secondStage picks the weights for the host of an endpoint that joins its last
// model's replicas at once without them: those of another model make it ready
// for both.
func (turn *turn) secondStage(supply supply, id string, serves bool) load {
	last := turn.planner.track(id).lastModel
	best := load{id: id, serves: serves}
	for _, model := range turn.Engine.Models {
		if last == "" || model.Name == last || turn.known[id].HasWeights(model.Name) {
			continue
		}
		value := min(1, secondValue*(1+supply.needs[model.Name])*float64(model.ReplicaSize))
		if serves {
			value = max(value, supply.reserveValue(model))
		}
		if value > best.value {
			best.model, best.value = model, value
		}
	}
	if len(turn.Engine.Models) > 2 && len(turn.known[id].Staged) > 0 && !turn.known[id].HasWeights(last) {
		return load{} // it has a second one already
	}
	return best
}

// reserveLeast is how many hosts of a domain that serve other models should have
// a model's weights, to complete its replicas there.
const reserveLeast = 2

// reserveValue rates weights on a host that serves another model. Hosts that
// wait for one more are completed by it as by an idle one: of a broken replica
// of eight, seven wait, and no idle host of the domain may come for long.
func (supply supply) reserveValue(model site.Model) float64 {
	waiting := supply.prepared[model.Name] % max(model.ReplicaSize, 1)
	if supply.needs[model.Name] < 1 || waiting == 0 || supply.reserve[model.Name] >= reserveLeast {
		return 0
	}
	return 1 + supply.needs[model.Name]/float64(model.ReplicaSize-waiting)
}

// supply is what a domain has of each model, by the model's name.
type supply struct {
	prepared map[string]int     // free endpoints with the weights, or about to have them
	hosts    map[string]int     // in replicas
	reserve  map[string]int     // hosts of other models' replicas with the weights, or about to have them
	needs    map[string]float64 // of all domains together
}

func (turn *turn) supplyOf(ids []string, needs map[string]float64) supply {
	supply := supply{prepared: map[string]int{}, hosts: map[string]int{}, reserve: map[string]int{}, needs: needs}
	for _, id := range ids {
		for _, model := range turn.Engine.Models {
			if turn.readinessOf(id, model.Name) < readyCold {
				supply.prepared[model.Name]++
			}
		}
	}
	return supply
}

func (turn *turn) countReserve(supply supply, replica *replica) {
	for _, id := range replica.members {
		for _, model := range turn.Engine.Models {
			if model.Name != replica.model.Name && turn.readinessOf(id, model.Name) < readyCold {
				supply.reserve[model.Name]++
			}
		}
	}
}

// preparedFor gives the model whose weights an endpoint's host has or is about
// to have; "" for none.
func (turn *turn) preparedFor(id string) string {
	for _, model := range turn.Engine.Models {
		if turn.readinessOf(id, model.Name) < readyCold {
			return model.Name
		}
	}
	return ""
}

// bestStage picks the model that a free endpoint should get the weights of. An
// endpoint that has some already changes only to complete a replica, and only
// if it is itself of no use where it is.
func (turn *turn) bestStage(supply supply, id string) load {
	if turn.planner.track(id).lastModel != "" {
		return turn.secondStage(supply, id, false)
	}
	from := turn.preparedFor(id)
	best := load{id: id}
	for _, model := range turn.Engine.Models {
		if model.Name == from || model.ReplicaSize == 0 {
			continue
		}
		value := supply.value(model)
		if from != "" {
			old, _ := turn.Engine.Model(from)
			value = supply.swapValue(model, old)
		}
		if value > best.value {
			best.model, best.value = model, value
		}
	}
	return best
}

// coverPart scales the worth of a spare for later against that of a host that
// is wanted now.
const coverPart = 0.05

// idlePart is the least worth of weights on a host that has none.
const idlePart = 0.01

// value rates one more prepared endpoint. Where the model lacks replicas, three
// free hosts of a broken replica of four are worth nothing until a fourth
// comes: completing them counts most. Where it does not, a spare covers the
// replicas of the domain, a large one's more, since its loss strands more
// hosts: one replica of 4 beside two of 2 gives 4*4 against 4*2, so the first
// spare is for the large model and the second, at 4*4/4 against 4*2, for the
// small one.
func (supply supply) value(model site.Model) float64 {
	prepared := supply.prepared[model.Name]
	need := supply.needs[model.Name]
	if need >= 1 {
		lacking := model.ReplicaSize - prepared%model.ReplicaSize
		return 1 + need/float64(lacking)
	}
	cover := float64(supply.hosts[model.Name]*model.ReplicaSize) / float64((1+prepared)*(1+prepared))
	return coverPart*cover + idlePart*need
}

const (
	mostSwapped = 2   // endpoints that may get new weights to complete a replica
	swapNeed    = 1.4 // how much more the new model has to lack replicas than the old one
)

// swapValue rates new weights for an endpoint that has others: it must complete
// a replica that is wanted, and be to spare where it is. One alone, that makes
// no replica of its own model, always is.
func (supply supply) swapValue(model, old site.Model) float64 {
	prepared := supply.prepared[old.Name]
	lacking := model.ReplicaSize - supply.prepared[model.Name]%model.ReplicaSize
	need := supply.needs[model.Name]
	alone := lacking == 1 && prepared%max(old.ReplicaSize, 1) == 1
	spare := need >= swapNeed*supply.needs[old.Name] && (prepared > 1 || supply.hosts[old.Name] == 0)
	if need < 1 || lacking > mostSwapped || !alone && !spare {
		return 0
	}
	return need / float64(lacking)
}

// mayLoad tells whether one more load may start now.
func (turn *turn) mayLoad() bool {
	if turn.NoRequestsYet {
		return true
	}
	planner := turn.planner
	planner.loads = slices.DeleteFunc(planner.loads, func(at time.Time) bool { return turn.Now.Sub(at) > 20*time.Second })
	recent := 0
	for _, at := range planner.loads {
		if turn.Now.Sub(at) < time.Second {
			recent++
		}
	}
	return float64(recent) < max(1, planner.policy.LoadRateFraction*turn.Engine.LoadsPerSec) && turn.loading() < max(1, turn.Engine.MaxConcurrentLoads)
}

// loading counts the loads under way; what is lost loads nothing.
func (turn *turn) loading() int {
	running := 0
	for id := range turn.known {
		if turn.planner.track(id).staging != "" {
			running++
		}
	}
	return running
}

// maySecond tells whether hosts that serve may load a second model: the loads
// that idle hosts need must not wait for those.
func (turn *turn) maySecond() bool {
	return turn.NoRequestsYet || float64(turn.loading()) < turn.planner.policy.ServingLoadFraction*float64(turn.Engine.MaxConcurrentLoads)
}
