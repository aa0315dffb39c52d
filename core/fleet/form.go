package fleet

import (
	"slices"
	"sort"
	"time"

	"hickorybend/core/site"
)

// advance opens the replicas whose members all say that they are ready, under
// the name that stands for this epoch and list, and sends lost orders again.
func (turn *turn) advance() {
	for _, replica := range turn.planner.sorted() {
		switch replica.stage {
		case stageForming:
			turn.advanceForming(replica)
		case stageOpening:
			if turn.known[replica.head()].Membership.Phase == PhaseOpen {
				replica.stage = stageServing
				replica.lateBy = time.Time{}
				continue
			}
			turn.send(replica.head(), Open{Replica: replica.name, Epoch: replica.epoch})
		}
	}
}

func (turn *turn) advanceForming(replica *replica) {
	for _, id := range replica.members {
		if !turn.shows(replica, id) {
			turn.send(id, Join{Replica: replica.name, Epoch: replica.epoch, Model: replica.model.Name, Members: replica.members})
			return
		}
	}
	for _, id := range replica.members {
		if phase := turn.known[id].Membership.Phase; phase != PhaseReady && phase != PhaseOpen {
			return
		}
	}
	replica.opened = true
	if turn.send(replica.head(), Open{Replica: replica.name, Epoch: replica.epoch}) {
		replica.stage = stageOpening
		replica.giveUpAt = turn.Now.Add(turn.planner.policy.FormLimit)
	}
}

// readiness is how soon an endpoint could be a member of a replica of a model.
type readiness int

const (
	readyAtOnce readiness = iota // the model of its last replica
	readyWarm                    // the weights are on its host
	readyStaging
	readyCold
)

func (turn *turn) readinessOf(id string, model string) readiness {
	hand := turn.planner.hand(id)
	endpoint := turn.known[id]
	switch {
	case hand.lastModel == model:
		return readyAtOnce
	case endpoint.Holds(model):
		return readyWarm
	case hand.staging == model:
		return readyStaging
	default:
		return readyCold
	}
}

// idle lists the endpoints of each domain that the planner counts to no
// replica.
func (turn *turn) idle() map[string][]string {
	taken := map[string]bool{}
	for _, replica := range turn.planner.replicas {
		for _, id := range replica.members {
			taken[id] = true
		}
	}
	domains := map[string][]string{}
	for _, endpoint := range turn.Endpoints {
		if !taken[endpoint.ID] && !endpoint.Draining && !turn.Dead[endpoint.ID] {
			domains[endpoint.Domain] = append(domains[endpoint.Domain], endpoint.ID)
		}
	}
	for _, ids := range domains {
		sort.Strings(ids)
	}
	return domains
}

// free lists the idle endpoints that may join a replica now.
func (turn *turn) free() map[string][]string {
	domains := turn.idle()
	for domain, ids := range domains {
		domains[domain] = slices.DeleteFunc(ids, func(id string) bool {
			hand := turn.planner.hand(id)
			former := turn.known[id].Membership.Replica
			stray := former != "" && !turn.planner.ended[former]
			return stray || hand.pending || turn.unsure(id)
		})
	}
	return domains
}

// unsure tells whether the holder before may have told an endpoint to leave a
// silent first host that has not broken yet. A node that has watched the
// endpoint belong to nothing for long enough knows better.
func (turn *turn) unsure(id string) bool {
	if !turn.planner.hand(id).unsure {
		return false
	}
	sureAt := turn.planner.sureAt
	if since := turn.known[id].FreeSince; !since.IsZero() {
		watched := since.Add(turn.planner.policy.Stall + turn.planner.policy.StallMargin)
		if watched.Before(sureAt) {
			sureAt = watched
		}
	}
	return turn.Now.Before(sureAt)
}

// need is how much a model lacks replicas.
type need struct {
	model    site.Model
	replicas int
	wanted   float64
	load     float64 // part of its slots that are taken
}

// score is above 1 where a model lacks replicas.
func (need need) score() float64 { return need.wanted / float64(need.replicas+1) }

// needs works out how many replicas of each model the endpoints at hand should
// form. Endpoints less the reserve are shared out by the work of each model,
// at first as configured, then as callers ask for it: with 60 endpoints, 10 in
// reserve and half of the work each, a model of 4 hosts wants 25/4 replicas and
// one of 2 hosts 25/2.
func (turn *turn) needs() []need {
	total := 0.0
	for _, work := range turn.Work {
		total += work
	}
	usable := float64(len(turn.Endpoints)) * (1 - turn.planner.policy.Reserve)
	var needs []need
	for _, model := range turn.Engine.Models {
		share := model.Share
		if total > 0 {
			keep := turn.planner.policy.ShareMemory
			share = keep*model.Share + (1-keep)*turn.Work[model.Name]/total
		}
		found := need{model: model, wanted: usable * share / float64(max(model.Size, 1))}
		inFlight := 0
		for _, replica := range turn.planner.sorted() {
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

// form makes new replicas, the most wanting model first, each in the domain
// that can make it soonest. What is left over then serves as what it can: an
// endpoint that has been in a replica is ready for that model at once, and its
// host can get another model's weights, so that it repairs replicas of both.
func (turn *turn) form() {
	if turn.Now.Before(turn.planner.newest.Add(turn.planner.policy.Settle)) && turn.Quiet {
		return
	}
	domains := turn.free()
	needs := turn.needs()
	turn.formWhile(needs, domains, true)
	for domain, ids := range domains {
		if turn.waited(needs, ids) {
			delete(domains, domain)
		}
	}
	turn.formWhile(needs, domains, false)
}

// formWhile forms replicas for as long as it can; wanting limits it to models
// that lack some. Before the first caller large ones go first, while domains
// still have room for them.
func (turn *turn) formWhile(needs []need, domains map[string][]string, wanting bool) {
	for formed := true; formed; {
		formed = false
		slices.SortFunc(needs, func(a, b need) int { return compare(b.score(), a.score()) })
		if wanting && turn.Quiet {
			slices.SortFunc(needs, func(a, b need) int { return b.model.Size - a.model.Size })
		}
		for i := range needs {
			if wanting && needs[i].score() < 1 {
				continue
			}
			if turn.formOne(needs[i], domains) {
				needs[i].replicas++
				formed = true
				break
			}
		}
	}
}

// waited tells whether endpoints wait for one more host to complete a replica
// that is wanted.
func (turn *turn) waited(needs []need, ids []string) bool {
	for _, need := range needs {
		if need.score() >= 1 && need.model.Size > smallSize && turn.preparedIn(ids, need.model) == need.model.Size-1 {
			return true
		}
	}
	return false
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// formOne forms a replica where enough endpoints are prepared for the model;
// before the first caller they need not be.
func (turn *turn) formOne(need need, domains map[string][]string) bool {
	model := need.model
	limit := readyWarm
	if turn.Quiet {
		limit = readyCold
	}
	best, bestCost := "", 0
	for domain, ids := range domains {
		chosen, cost := turn.members(model, ids, limit)
		promise, promised := turn.planner.promised[domain]
		if chosen == nil || promised && promise.model != model.Name || turn.crowded(need, domain) {
			continue
		}
		// Fuller domains first, so that a large model still finds room.
		cost = cost*100 - len(ids)
		if best == "" || cost < bestCost || cost == bestCost && domain < best {
			best, bestCost = domain, cost
		}
	}
	if best == "" {
		return false
	}
	chosen, _ := turn.members(model, domains[best], limit)
	domains[best] = slices.DeleteFunc(domains[best], func(id string) bool { return slices.Contains(chosen, id) })
	delete(turn.planner.promised, best)
	turn.start(model, chosen)
	return true
}

// crowded tells whether a domain has its share of a model's replicas before the
// first caller. A large replica that loses a host is completed from the small
// ones beside it; two large ones in a domain of ten leave one small for both.
func (turn *turn) crowded(need need, domain string) bool {
	if !turn.Quiet || need.model.Size <= smallSize {
		return false
	}
	count := 0
	for _, replica := range turn.planner.sorted() {
		if replica.model.Name == need.model.Name && turn.known[replica.head()].Domain == domain {
			count++
		}
	}
	return count >= max(1, int(need.wanted)/max(1, len(turn.domains())))
}

// smallSize is the size up to which replicas are formed from any two hosts left.
const smallSize = 2

// members picks the endpoints that are readiest for a model; cost is that of
// the slowest of them.
func (turn *turn) members(model site.Model, ids []string, limit readiness) ([]string, int) {
	if len(ids) < model.Size || model.Size == 0 {
		return nil, 0
	}
	sorted := slices.Clone(ids)
	slices.SortStableFunc(sorted, func(a, b string) int {
		return int(turn.readinessOf(a, model.Name)) - int(turn.readinessOf(b, model.Name))
	})
	chosen := sorted[:model.Size]
	slowest := turn.readinessOf(chosen[model.Size-1], model.Name)
	if slowest > limit {
		return nil, 0
	}
	return chosen, int(slowest)
}

func (turn *turn) start(model site.Model, members []string) {
	planner := turn.planner
	epoch := planner.nextEpoch()
	formed := &replica{name: nameOf(model.Name, epoch), epoch: epoch, model: model, members: members, born: map[string]time.Time{}}
	limit := planner.policy.FormLimit
	if turn.Quiet {
		limit += model.LoadTime
	}
	formed.giveUpAt = turn.Now.Add(limit)
	planner.replicas[formed.name] = formed
	for _, id := range members {
		formed.born[id] = turn.known[id].Born
		planner.hand(id).retryAt = time.Time{}
		turn.send(id, Join{Replica: formed.name, Epoch: epoch, Model: model.Name, Members: members})
	}
}

// stage loads weights onto the hosts of spares, at less than the weight
// store's rate: a spare with the right weights joins in a second or two, one
// without in ten or more.
func (turn *turn) stage() {
	if turn.Quiet && turn.Now.Before(turn.planner.newest.Add(2*turn.planner.policy.Settle)) {
		return
	}
	supplies := map[string]supply{}
	domains := turn.idle()
	for domain, ids := range domains {
		supplies[domain] = turn.supplyOf(domain, ids)
	}
	for turn.mayLoad() && turn.stageBest(domains, supplies) {
	}
}

// stageBest starts the most valuable load of all domains, if there is one.
func (turn *turn) stageBest(domains map[string][]string, supplies map[string]supply) bool {
	var chosen string
	var best site.Model
	bestValue := 0.0
	consider := func(id string, model site.Model, value float64) {
		if value > bestValue || value == bestValue && value > 0 && id < chosen {
			chosen, best, bestValue = id, model, value
		}
	}
	for domain, ids := range domains {
		for _, id := range ids {
			if turn.mayStage(id) {
				model, value := turn.bestStage(supplies[domain], id)
				consider(id, model, value)
			}
		}
	}
	for _, replica := range turn.planner.sorted() {
		if replica.stage != stageServing {
			continue
		}
		for _, id := range replica.members {
			if turn.mayStage(id) {
				model, value := turn.secondStage(turn.supply(supplies, id), id)
				consider(id, model, value)
			}
		}
	}
	if chosen == "" {
		return false
	}
	turn.countStage(turn.supply(supplies, chosen), chosen, best)
	turn.send(chosen, Stage{Model: best.Name})
	hand := turn.planner.hand(chosen)
	hand.staging = best.Name
	hand.stagedBy = turn.Now.Add(2 * best.LoadTime)
	turn.planner.loads = append(turn.planner.loads, turn.Now)
	return true
}

func (turn *turn) supply(supplies map[string]supply, id string) supply {
	domain := turn.known[id].Domain
	if _, found := supplies[domain]; !found {
		supplies[domain] = turn.supplyOf(domain, nil)
	}
	return supplies[domain]
}

func (turn *turn) countStage(supply supply, id string, model site.Model) {
	if from := turn.preparedFor(id); turn.planner.hand(id).lastModel == "" {
		supply.prepared[from]--
	}
	supply.prepared[model.Name]++
}

func (turn *turn) mayStage(id string) bool {
	hand := turn.planner.hand(id)
	endpoint := turn.known[id]
	return hand.staging == "" && !hand.pending && !turn.Now.Before(hand.retryAt) && endpoint.Counted && !endpoint.Draining && !turn.Dead[id]
}

// secondValue rates the weights of a second model on a host that is ready for
// one; below all loads that are wanted now.
const secondValue = 0.1

// secondStage picks the weights for the host of an endpoint that joins its last
// model's replicas at once without them: those of another model make it ready
// for both.
func (turn *turn) secondStage(supply supply, id string) (site.Model, float64) {
	last := turn.planner.hand(id).lastModel
	var best site.Model
	bestValue := 0.0
	for _, model := range turn.Engine.Models {
		if last == "" || model.Name == last || turn.known[id].Holds(model.Name) {
			continue
		}
		if value := secondValue * (1 + supply.needs[model.Name]) * float64(model.Size); value > bestValue {
			best, bestValue = model, value
		}
	}
	if len(turn.Engine.Models) > 2 && len(turn.known[id].Staged) > 0 && !turn.known[id].Holds(last) {
		return site.Model{}, 0 // it has a second one already
	}
	return best, min(bestValue, 1)
}

// supply is what a domain has of each model, by the model's name.
type supply struct {
	prepared map[string]int // free endpoints with the weights, or about to have them
	hosts    map[string]int // in replicas
	needs    map[string]float64
}

func (turn *turn) supplyOf(domain string, ids []string) supply {
	supply := supply{prepared: map[string]int{}, hosts: map[string]int{}, needs: map[string]float64{}}
	for _, id := range ids {
		for _, model := range turn.Engine.Models {
			if turn.readinessOf(id, model.Name) < readyCold {
				supply.prepared[model.Name]++
			}
		}
	}
	for _, replica := range turn.planner.sorted() {
		if turn.known[replica.head()].Domain == domain {
			supply.hosts[replica.model.Name] += replica.model.Size
		}
	}
	for _, need := range turn.needs() {
		supply.needs[need.model.Name] = need.score()
	}
	return supply
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
func (turn *turn) bestStage(supply supply, id string) (site.Model, float64) {
	if turn.planner.hand(id).lastModel != "" {
		return turn.secondStage(supply, id)
	}
	from := turn.preparedFor(id)
	var best site.Model
	bestValue := 0.0
	for _, model := range turn.Engine.Models {
		if model.Name == from || model.Size == 0 {
			continue
		}
		value := supply.value(model)
		if from != "" {
			old, _ := turn.Engine.Model(from)
			value = supply.swapValue(model, old)
		}
		if value > bestValue {
			best, bestValue = model, value
		}
	}
	return best, bestValue
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
		lacking := model.Size - prepared%model.Size
		return 1 + need/float64(lacking)
	}
	cover := float64(supply.hosts[model.Name]*model.Size) / float64((1+prepared)*(1+prepared))
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
	lacking := model.Size - supply.prepared[model.Name]%model.Size
	need := supply.needs[model.Name]
	alone := lacking == 1 && prepared%max(old.Size, 1) == 1
	spare := need >= swapNeed*supply.needs[old.Name] && (prepared > 1 || supply.hosts[old.Name] == 0)
	if need < 1 || lacking > mostSwapped || !alone && !spare {
		return 0
	}
	return need / float64(lacking)
}

// mayLoad tells whether one more load may start now.
func (turn *turn) mayLoad() bool {
	if turn.Quiet {
		return true
	}
	planner := turn.planner
	planner.loads = slices.DeleteFunc(planner.loads, func(at time.Time) bool { return turn.Now.Sub(at) > 20*time.Second })
	recent, running := 0, 0
	for _, at := range planner.loads {
		if turn.Now.Sub(at) < time.Second {
			recent++
		}
	}
	for id := range turn.known { // what is lost loads nothing
		if planner.hand(id).staging != "" {
			running++
		}
	}
	return float64(recent) < max(1, planner.policy.LoadPace*turn.Engine.LoadsPerSec) && running < max(1, turn.Engine.LoadsAtOnce)
}
