package fleet

import (
	"slices"
	"time"
)

// adopt takes in replicas that another holder formed. One whose members are
// all there is taken over as it is; one that lacks members after a grace ends.
func (turn *turn) adopt() {
	planner := turn.planner
	strays := map[string][]Endpoint{}
	for _, endpoint := range turn.Endpoints {
		name := endpoint.Membership.Replica
		if name == "" || planner.ended[name] || planner.replicas[name] != nil {
			continue
		}
		if planner.memberOf(endpoint.ID) != nil {
			continue // it shows its former replica still; a join is on its way
		}
		strays[name] = append(strays[name], endpoint)
	}
	for name := range planner.strays {
		if strays[name] == nil {
			delete(planner.strays, name)
		}
	}
	for name, members := range strays {
		turn.adoptOne(name, members)
	}
}

func (turn *turn) adoptOne(name string, members []Endpoint) {
	planner := turn.planner
	first, seen := planner.strays[name]
	if !seen {
		first = turn.Now
		planner.strays[name] = first
	}
	adopted := turn.take(name, members)
	whole := adopted.model.ReplicaSize > 0 && len(members) == adopted.model.ReplicaSize && ranked(members)
	if !whole && turn.Now.Before(first.Add(planner.policy.AdoptionGrace)) {
		return
	}
	delete(planner.strays, name)
	planner.replicas[name] = adopted
	adopted.lateBy = turn.Now.Add(planner.policy.MaxCommandDelay) // of the holder before
	if !whole {
		adopted.stage = stageEnding
		return
	}
	switch members[0].Membership.Phase {
	case PhaseOpen:
		adopted.stage = stageServing
		adopted.lateBy = time.Time{}
	default:
		adopted.stage = stageEnding // formed again under this holder's epoch
	}
}

// take makes the planner's record of a replica from its members' own words; an
// open may have been sent by the holder before.
func (turn *turn) take(name string, members []Endpoint) *replica {
	slices.SortFunc(members, func(a, b Endpoint) int { return a.Membership.Rank - b.Membership.Rank })
	model, _ := turn.Engine.Model(modelOf(name))
	adopted := &replica{name: name, epoch: members[0].Membership.Epoch, model: model, born: map[string]time.Time{}, opened: true}
	if members[0].Membership.Rank != 0 {
		adopted.members = append(adopted.members, "")
	}
	for _, member := range members {
		adopted.members = append(adopted.members, member.ID)
		adopted.born[member.ID] = member.StartedAt
	}
	return adopted
}

func ranked(members []Endpoint) bool {
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
	faultNone     fault = ""
	faultLost     fault = "member lost"
	faultRestart  fault = "member restarted"
	faultMoved    fault = "member in another replica"
	faultBroken   fault = "first host broken"
	faultDraining fault = "member draining"
	faultLate     fault = "not whole in time"
)

// judge ends the replicas that can no longer serve. One that only drains is
// retired: its work may finish first.
func (turn *turn) judge() {
	for _, replica := range turn.planner.sorted() {
		if replica.stage >= stageRetiring {
			continue
		}
		switch fault := turn.faultOf(replica); {
		case fault == faultNone:
		case !replica.opened:
			turn.planner.release(replica)
		case fault == faultDraining:
			replica.stage = stageRetiring
			replica.retireBy = turn.Now.Add(turn.planner.policy.RetireTimeout)
		default:
			replica.stage = stageEnding
		}
	}
}

func (turn *turn) faultOf(replica *replica) fault {
	draining := false
	for _, id := range replica.members {
		endpoint, known := turn.known[id]
		if !known || turn.Unresponsive[id] {
			return faultLost
		}
		if !endpoint.StartedAt.Equal(replica.born[id]) {
			return faultRestart
		}
		if turn.moved(replica, endpoint.Membership.Replica) {
			return faultMoved
		}
		draining = draining || endpoint.Draining
	}
	switch {
	case turn.known[replica.head()].Membership.Phase == PhaseBroken && turn.shows(replica, replica.head()):
		return faultBroken
	case draining:
		return faultDraining
	case replica.stage != stageServing && turn.Now.After(replica.giveUpAt):
		return faultLate
	default:
		return faultNone
	}
}

// moved tells whether a member shows a replica that it should not: while one is
// formed its members may still show their last ones, which have ended, but no
// other that lives.
func (turn *turn) moved(replica *replica, shown string) bool {
	if shown == replica.name {
		return false
	}
	return replica.stage != stageForming || shown != "" && !turn.planner.ended[shown]
}

// shows tells whether an endpoint says that it belongs to the replica.
func (turn *turn) shows(replica *replica, id string) bool {
	endpoint, known := turn.known[id]
	return known && endpoint.Membership.Replica == replica.name
}

// finish frees the members of replicas that end. A member may join elsewhere
// only when the first host cannot serve any more: it has left, broken, started
// anew or moved on. Nothing is heard of a dead one, so its members leave, which
// breaks it, and wait until it must have noticed.
func (turn *turn) finish() {
	for _, replica := range turn.planner.sorted() {
		if replica.stage == stageRetiring && replica.closing {
			turn.send(replica.head(), Close{Replica: replica.name, Epoch: replica.epoch})
			replica.closing = turn.known[replica.head()].Membership.Phase == PhaseOpen
		}
		if replica.stage == stageRetiring && !replica.closing && (turn.InFlight[replica.head()] == 0 || turn.Now.After(replica.retireBy)) {
			replica.stage = stageEnding
		}
		if replica.stage == stageEnding {
			turn.end(replica)
		}
	}
}

func (turn *turn) end(replica *replica) {
	head, known := turn.known[replica.head()]
	switch {
	case known && !head.StartedAt.Equal(replica.born[head.ID]),
		known && head.Membership.Replica != replica.name,
		known && head.Membership.Phase == PhaseBroken:
		turn.planner.release(replica)
	case known && !turn.Unresponsive[head.ID]:
		replica.brokenAt = time.Time{}
		turn.send(head.ID, Leave{Replica: replica.name, Epoch: replica.epoch})
	case !replica.brokenAt.IsZero():
		if turn.Now.After(replica.brokenAt) {
			turn.planner.release(replica)
		}
	default:
		turn.abandon(replica)
	}
}

// abandon asks the members of a replica whose first host is silent to leave.
// Once one has confirmed, the first host stands still wherever it is, and
// breaks after a known time; until then its members join nothing else. An open
// that may still be carried out is waited for first: while the members stay,
// every later holder sees from them that something is to be waited for.
func (turn *turn) abandon(replica *replica) {
	if turn.Now.Before(replica.lateBy) {
		return
	}
	asked := false
	for _, id := range replica.members[1:] {
		if _, known := turn.known[id]; known && !turn.Unresponsive[id] {
			asked = true
			turn.send(id, Leave{Replica: replica.name, Epoch: replica.epoch})
		}
	}
	if !asked {
		delete(turn.planner.replicas, replica.name) // members that come back are taken in anew
	}
}
