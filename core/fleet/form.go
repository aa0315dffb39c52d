package fleet

import (
	"cmp"
	"slices"
	"time"

	"hickorybend/core/site"
)

// openReplicas opens the replicas whose members all report that they are ready in
// the replica of this name; a name stands for one epoch and one list of members.
// It resends commands that were lost.
func (pass *pass) openReplicas() {
	for _, replica := range pass.planner.sortedReplicas() {
		switch replica.state {
		case stateForming:
			pass.advanceForming(replica)
		case stateOpening:
			if pass.known[replica.firstHost()].Membership.Phase == PhaseOpen {
				replica.state = stateServing
				replica.lateOpenUntil = time.Time{}
				continue
			}
			pass.send(replica.firstHost(), Open{Replica: replica.name, Epoch: replica.epoch})
		}
	}
}

// advanceForming resends a Join to a member that does not report the replica yet,
// and opens the replica once all members are ready.
func (pass *pass) advanceForming(replica *replica) {
	for _, id := range replica.members {
		if !pass.hasJoined(replica, id) {
			pass.send(id, Join{Replica: replica.name, Epoch: replica.epoch, Model: replica.model.Name, Members: replica.members})
			return
		}
	}
	for _, id := range replica.members {
		if phase := pass.known[id].Membership.Phase; phase != PhaseReady && phase != PhaseOpen {
			return
		}
	}
	replica.opened = true
	if pass.send(replica.firstHost(), Open{Replica: replica.name, Epoch: replica.epoch}) {
		replica.state = stateOpening
		replica.formDeadline = pass.Now.Add(pass.planner.policy.FormTimeout)
	}
}

// form forms replicas of the models that lack some, the model with the highest
// score first, each replica in the domain where it is ready soonest. The endpoints
// left over then serve in replicas of any model that they can form. That leaves
// them ready for repairs: an endpoint that was in a replica joins another replica
// of that model at once, and its host can load a second model's weights, so that
// it can repair replicas of both. The endpoints of a domain that wait for the last
// members of a wanted replica are not used for that.
//
// Before the first request, form follows the best packing instead. Where the peak of
// the demand is known, it follows the target.
func (pass *pass) form() {
	if pass.Now.Before(pass.planner.lastNewEndpointAt.Add(pass.planner.policy.Debounce)) && pass.NoRequestsYet {
		return
	}
	if pass.hasTarget() {
		pass.formTarget()
		return
	}
	domains := pass.free()
	if pass.NoRequestsYet {
		pass.formPacking(domains)
		return
	}
	needs := pass.needs()
	pass.formReplicas(needs, domains, true)
	for domain, ids := range domains {
		if pass.nearlyComplete(needs, ids) {
			delete(domains, domain)
		}
	}
	pass.formReplicas(needs, domains, false)
}

// formReplicas forms replicas until it can form no more; lackingOnly limits it to
// models that lack some.
func (pass *pass) formReplicas(needs []need, domains map[string][]string, lackingOnly bool) {
	for formed := true; formed; {
		formed = false
		slices.SortFunc(needs, func(a, b need) int { return cmp.Compare(b.score(), a.score()) })
		for i := range needs {
			if lackingOnly && needs[i].score() < 1 {
				continue
			}
			if pass.formOne(needs[i].model, domains) {
				needs[i].replicas++
				formed = true
				break
			}
		}
	}
}

// nearlyComplete reports whether the endpoints of a domain lack only a few hosts to
// form a replica that is wanted. They wait for those hosts: as members of another
// model's replicas they would lose the weights of the wanted one.
func (pass *pass) nearlyComplete(needs []need, ids []string) bool {
	for _, need := range needs {
		missing := pass.maxMissing(need.model)
		if need.score() >= 1 && missing > 0 && pass.countPrepared(ids, need.model) >= need.model.ReplicaSize-missing {
			return true
		}
	}
	return false
}

// maxMissing returns how many hosts a new replica may lack for the others to wait
// for them or for donors to end. It is 0 where the hosts that wait would be too few.
func (pass *pass) maxMissing(model site.Model) int {
	return int(float64(model.ReplicaSize) * pass.planner.policy.MissingFraction)
}

// formOne forms one replica of a model and reports whether it did. It needs enough
// endpoints of one domain that are prepared for the model.
func (pass *pass) formOne(model site.Model, domains map[string][]string) bool {
	best, bestCost := "", 0
	for domain, ids := range domains {
		chosen, cost := pass.chooseMembers(model, ids, readyWarm)
		reservation, reserved := pass.planner.reservations[domain]
		if chosen == nil || reserved && reservation.model != model.Name {
			continue
		}
		// Among equally ready domains, prefer the one with more free endpoints, so
		// that a large model still finds room.
		cost = cost*100 - len(ids)
		if best == "" || cost < bestCost || cost == bestCost && domain < best {
			best, bestCost = domain, cost
		}
	}
	if best == "" {
		return false
	}
	chosen, _ := pass.chooseMembers(model, domains[best], readyWarm)
	domains[best] = slices.DeleteFunc(domains[best], func(id string) bool { return slices.Contains(chosen, id) })
	delete(pass.planner.reservations, best)
	pass.startForming(model, chosen)
	return true
}

// chooseMembers picks the endpoints that are ready soonest for a model. It returns
// them with their cost, which is the readiness of the slowest one. It returns nil
// if there are too few or if the cost exceeds the limit.
func (pass *pass) chooseMembers(model site.Model, ids []string, limit readiness) ([]string, int) {
	if len(ids) < model.ReplicaSize || model.ReplicaSize == 0 {
		return nil, 0
	}
	sorted := slices.Clone(ids)
	slices.SortStableFunc(sorted, func(a, b string) int {
		return int(pass.readinessOf(a, model.Name)) - int(pass.readinessOf(b, model.Name))
	})
	chosen := sorted[:model.ReplicaSize]
	slowest := pass.readinessOf(chosen[model.ReplicaSize-1], model.Name)
	if slowest > limit {
		return nil, 0
	}
	return chosen, int(slowest)
}

// startForming makes a new replica and tells its members to join. Before the first
// request they may still have to load the weights, so the form timeout is longer.
func (pass *pass) startForming(model site.Model, members []string) {
	planner := pass.planner
	epoch := planner.nextEpoch()
	formed := &replica{name: nameOf(model.Name, epoch), epoch: epoch, model: model, members: members, startedAt: map[string]time.Time{}}
	timeout := planner.policy.FormTimeout
	if pass.NoRequestsYet {
		timeout += model.LoadTime
	}
	formed.formDeadline = pass.Now.Add(timeout)
	planner.replicas[formed.name] = formed
	for _, id := range members {
		formed.startedAt[id] = pass.known[id].StartedAt
		planner.recordOf(id).retryAt = time.Time{}
		pass.send(id, Join{Replica: formed.name, Epoch: epoch, Model: model.Name, Members: members})
	}
}
