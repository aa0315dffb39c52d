package fleet

import (
	"slices"
	"time"
)

// adopt takes over the replicas that another holder formed. A complete replica
// that serves continues unchanged; a replica that is incomplete after the grace
// period ends.
func (pass *pass) adopt() {
	planner := pass.planner
	unknown := map[string][]Endpoint{}
	for _, endpoint := range pass.Endpoints {
		name := endpoint.Membership.Replica
		if name == "" || planner.ended[name] || planner.replicas[name] != nil {
			continue
		}
		if planner.replicaOf(endpoint.ID) != nil {
			continue // its report still names its former replica; it has been told to join another
		}
		unknown[name] = append(unknown[name], endpoint)
	}
	for name := range planner.unknownSince {
		if unknown[name] == nil {
			delete(planner.unknownSince, name)
		}
	}
	for name, members := range unknown {
		pass.adoptOne(name, members)
	}
}

// adoptOne adopts a replica once it is complete or the grace period is over.
func (pass *pass) adoptOne(name string, members []Endpoint) {
	planner := pass.planner
	firstSeen, seen := planner.unknownSince[name]
	if !seen {
		firstSeen = pass.Now
		planner.unknownSince[name] = firstSeen
	}
	adopted := pass.replicaFromReports(name, members)
	complete := adopted.model.ReplicaSize > 0 && len(members) == adopted.model.ReplicaSize && ranksComplete(members)
	if !complete && pass.Now.Before(firstSeen.Add(planner.policy.AdoptionGrace)) {
		return
	}
	delete(planner.unknownSince, name)
	planner.replicas[name] = adopted
	adopted.lateOpenUntil = pass.Now.Add(planner.policy.MaxCommandDelay) // an Open of the previous holder
	if !complete {
		adopted.state = stateEnding
		return
	}
	switch members[0].Membership.Phase {
	case PhaseOpen:
		adopted.state = stateServing
		adopted.lateOpenUntil = time.Time{}
	default:
		adopted.state = stateEnding // not open yet, closing or broken; its members form replicas under this holder's epochs
	}
}

// replicaFromReports builds a replica from the reports of its members. It counts
// as opened, since the previous holder may have sent an Open.
func (pass *pass) replicaFromReports(name string, members []Endpoint) *replica {
	slices.SortFunc(members, func(a, b Endpoint) int { return a.Membership.Rank - b.Membership.Rank })
	model, _ := pass.Engine.Model(modelOf(name))
	adopted := &replica{name: name, epoch: members[0].Membership.Epoch, model: model, startedAt: map[string]time.Time{}, opened: true}
	if members[0].Membership.Rank != 0 {
		adopted.members = append(adopted.members, "")
	}
	for _, member := range members {
		adopted.members = append(adopted.members, member.ID)
		adopted.startedAt[member.ID] = member.StartedAt
	}
	return adopted
}

// ranksComplete reports whether members that are sorted by rank have the ranks 0,
// 1, 2 and so on without a gap, and the same epoch.
func ranksComplete(members []Endpoint) bool {
	for i, member := range members {
		if member.Membership.Rank != i || member.Membership.Epoch != members[0].Membership.Epoch {
			return false
		}
	}
	return true
}

// fault says why a replica can no longer serve.
type fault string

const (
	faultNone         fault = ""
	faultUnresponsive fault = "member gone or unresponsive"
	faultRestarted    fault = "member restarted"
	faultMoved        fault = "member no longer in the replica"
	faultBroken       fault = "first host broken"
	faultDraining     fault = "member draining"
	faultTimeout      fault = "not complete in time"
	faultUnconfirmed  fault = "member may belong to another replica"
)

// handleFaults ends the replicas that can no longer serve. If a member is merely
// draining, the replica retires: the requests in flight may finish first. If no
// Open was ever sent, the first host cannot serve and the members are free at
// once.
func (pass *pass) handleFaults() {
	for _, replica := range pass.planner.sortedReplicas() {
		if replica.state >= stateRetiring {
			continue
		}
		switch fault := pass.faultOf(replica); {
		case fault == faultNone:
		case !replica.opened:
			pass.planner.release(replica)
		case fault == faultDraining:
			replica.state = stateRetiring
			replica.retireDeadline = pass.Now.Add(pass.planner.policy.RetireTimeout)
		default:
			replica.state = stateEnding
		}
	}
}

// faultOf returns why a replica can no longer serve, or faultNone if it can.
func (pass *pass) faultOf(replica *replica) fault {
	draining := false
	for _, id := range replica.members {
		endpoint, known := pass.known[id]
		if !known || pass.Unresponsive[id] && !(pass.Pausing[id] && replica.state == stateServing) {
			return faultUnresponsive
		}
		if !endpoint.StartedAt.Equal(replica.startedAt[id]) {
			return faultRestarted
		}
		if pass.moved(replica, endpoint.Membership.Replica) {
			return faultMoved
		}
		if replica.state == stateForming && pass.mayNotJoin(replica, endpoint) {
			return faultUnconfirmed
		}
		draining = draining || endpoint.Draining
	}
	switch {
	case pass.known[replica.firstHost()].Membership.Phase == PhaseBroken && pass.hasJoined(replica, replica.firstHost()):
		return faultBroken
	case draining:
		return faultDraining
	case replica.state != stateServing && pass.Now.After(replica.formDeadline):
		return faultTimeout
	default:
		return faultNone
	}
}

// moved reports whether a member of a replica is no longer in it, going by the
// replica that the member reports. While a replica forms, its members may still
// report none or a former one that has ended, but no other. Later they have to
// report this one.
func (pass *pass) moved(replica *replica, reported string) bool {
	if reported == replica.name {
		return false
	}
	return replica.state != stateForming || reported != "" && !pass.planner.ended[reported]
}

// mayNotJoin reports whether a member that was told to join a replica must not be
// told again: it rejected the Join because it had accepted other commands, so what
// cleared it does not hold.
func (pass *pass) mayNotJoin(replica *replica, member Endpoint) bool {
	return member.CommandCountKnown && !pass.hasJoined(replica, member.ID) && pass.planner.unconfirmed(pass.Input, member)
}

// hasJoined reports whether an endpoint's report says that it belongs to the
// replica.
func (pass *pass) hasJoined(replica *replica, id string) bool {
	endpoint, known := pass.known[id]
	return known && endpoint.Membership.Replica == replica.name
}

// endReplicas advances retiring and ending replicas and frees their members. A
// member may join another replica only when the first host can no longer serve:
// the first host has left, broken, restarted or joined another replica. An
// unresponsive first host reports none of that. The other members are then told
// to leave, which makes the first host break, and wait until it must have broken.
func (pass *pass) endReplicas() {
	for _, replica := range pass.planner.sortedReplicas() {
		if replica.state == stateRetiring && replica.closing {
			pass.send(replica.firstHost(), Close{Replica: replica.name, Epoch: replica.epoch})
			replica.closing = pass.known[replica.firstHost()].Membership.Phase == PhaseOpen
		}
		if replica.state == stateRetiring && !replica.closing && (pass.InFlight[replica.firstHost()] == 0 || pass.Now.After(replica.retireDeadline)) {
			replica.state = stateEnding
		}
		if replica.state == stateEnding {
			pass.endReplica(replica)
		}
	}
}

// endReplica takes the next step in ending a replica: it frees the members if the
// first host can no longer serve, tells a first host that responds to leave, and
// otherwise waits for it to break or tells the other members to leave.
func (pass *pass) endReplica(replica *replica) {
	firstHost, known := pass.known[replica.firstHost()]
	switch {
	case known && !firstHost.StartedAt.Equal(replica.startedAt[firstHost.ID]),
		known && firstHost.Membership.Replica != replica.name,
		known && firstHost.Membership.Phase == PhaseBroken:
		pass.planner.release(replica)
	case known && !pass.Unresponsive[firstHost.ID]:
		replica.stalledUntil = time.Time{}
		pass.send(firstHost.ID, Leave{Replica: replica.name, Epoch: replica.epoch})
	case !replica.stalledUntil.IsZero():
		if pass.Now.After(replica.stalledUntil) {
			pass.planner.release(replica)
		}
	default:
		pass.detachMembers(replica)
	}
}

// detachMembers tells the members of a replica whose first host is unresponsive to
// leave. Once one of them has confirmed, the first host stalls even where no node
// reaches it, and breaks after the stall timeout; until then its members join no
// other replica.
//
// While an Open may still take effect, detachMembers does nothing: the Open could
// make the first host serve after the stall timeout has begun. Meanwhile the
// members stay in the replica, so that a later holder sees from their reports
// that it has to wait as well.
func (pass *pass) detachMembers(replica *replica) {
	if pass.Now.Before(replica.lateOpenUntil) {
		return
	}
	anyResponds := false
	for _, id := range replica.members[1:] {
		if _, known := pass.known[id]; known && !pass.Unresponsive[id] {
			anyResponds = true
			pass.send(id, Leave{Replica: replica.name, Epoch: replica.epoch})
		}
	}
	if !anyResponds {
		delete(pass.planner.replicas, replica.name) // members that come back are adopted again
	}
}
