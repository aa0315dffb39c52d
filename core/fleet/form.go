package fleet

import (
	"cmp"
	"slices"

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
		replica.giveUpAt = turn.Now.Add(turn.planner.policy.FormTimeout)
	}
}

// form makes new replicas, the most wanting model first, each in the domain
// that can make it soonest. What is left over then serves as what it can: an
// endpoint that has been in a replica is ready for that model at once, and its
// host can get another model's weights, so that it repairs replicas of both.
func (turn *turn) form() {
	if turn.Now.Before(turn.planner.newest.Add(turn.planner.policy.Debounce)) && turn.NoRequestsYet {
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
		slices.SortFunc(needs, func(a, b need) int { return cmp.Compare(b.score(), a.score()) })
		if wanting && turn.NoRequestsYet {
			slices.SortFunc(needs, func(a, b need) int { return b.model.ReplicaSize - a.model.ReplicaSize })
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

// waited tells whether endpoints wait for one more host, or two of eight, to
// complete a replica that is wanted: as members of another model's replicas they
// would lose the weights of this one.
func (turn *turn) waited(needs []need, ids []string) bool {
	for _, need := range needs {
		if need.score() >= 1 && need.model.ReplicaSize > smallSize && turn.preparedIn(ids, need.model) >= need.model.ReplicaSize-max(1, need.model.ReplicaSize/hostsPerGiving) {
			return true
		}
	}
	return false
}

// formOne forms a replica where enough endpoints are prepared for the model;
// before the first caller they need not be.
func (turn *turn) formOne(need need, domains map[string][]string) bool {
	model := need.model
	limit := readyWarm
	if turn.NoRequestsYet {
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
	if !turn.NoRequestsYet || need.model.ReplicaSize <= smallSize {
		return false
	}
	count := 0
	for _, replica := range turn.planner.replicas {
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
	if len(ids) < model.ReplicaSize || model.ReplicaSize == 0 {
		return nil, 0
	}
	sorted := slices.Clone(ids)
	slices.SortStableFunc(sorted, func(a, b string) int {
		return int(turn.readinessOf(a, model.Name)) - int(turn.readinessOf(b, model.Name))
	})
	chosen := sorted[:model.ReplicaSize]
	slowest := turn.readinessOf(chosen[model.ReplicaSize-1], model.Name)
	if slowest > limit {
		return nil, 0
	}
	return chosen, int(slowest)
}

func (turn *turn) start(model site.Model, members []string) {
	planner := turn.planner
	epoch := planner.nextEpoch()
	formed := &replica{name: nameOf(model.Name, epoch), epoch: epoch, model: model, members: members, born: map[string]time.Time{}}
	limit := planner.policy.FormTimeout
	if turn.NoRequestsYet {
		limit += model.LoadTime
	}
	formed.giveUpAt = turn.Now.Add(limit)
	planner.replicas[formed.name] = formed
	for _, id := range members {
		formed.born[id] = turn.known[id].StartedAt
		planner.track(id).retryAt = time.Time{}
		turn.send(id, Join{Replica: formed.name, Epoch: epoch, Model: model.Name, Members: members})
	}
}
