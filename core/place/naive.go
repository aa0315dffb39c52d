package place

import (
	"hickorybend/core/group"
)

// NaiveSpares is the number of spares that the naive policy keeps.
const NaiveSpares = 4

// DecideNaively is the twin that Decide is compared with: first fit in the
// order of the names, a fixed number of spares for the whole service, no weights.
func DecideNaively(input Input) []Action {
	planner := newPlanner(input)
	planner.serve()
	for _, replica := range input.Replicas {
		if len(replica.Lost) > 0 {
			planner.naiveMend(replica)
		}
	}
	planner.finishDrains()
	planner.naiveGrow()
	if input.MayShrink {
		planner.naiveShrink()
		planner.naiveHandBack()
	}
	return planner.moves
}

func (planner *planner) naiveMend(replica Replica) {
	if replica.Replica.State == group.StateDraining {
		planner.release(replica, "it lost a host while it drained")
		return
	}
	if members, all := planner.returned(replica); all {
		planner.add(replica.Replica, Rejoin{Replica: replica.Replica, Members: members})
		return
	}
	if len(planner.free[replica.Replica.Domain]) > 0 {
		planner.repair(replica, planner.gone(replica)[0])
	}
}

func (planner *planner) naiveGrow() {
	size := planner.input.Service.HostsPerReplica
	for _, domain := range sortedKeys(planner.free) {
		for planner.working < planner.input.WantedReplicas && len(planner.free[domain]) >= size {
			planner.moves = append(planner.moves, Form{Hosts: planner.free[domain][:size]})
			planner.free[domain] = planner.free[domain][size:]
			planner.working++
		}
	}
}

func (planner *planner) naiveShrink() {
	for _, replica := range planner.input.Replicas {
		working := replica.Replica.State == group.StateServing || replica.Replica.State == group.StateLoading
		if working && planner.working > planner.input.WantedReplicas && !planner.touched[replica.Replica.ID] {
			planner.drain(replica, "demand has fallen")
		}
	}
}

func (planner *planner) naiveHandBack() {
	keep := NaiveSpares
	for _, domain := range sortedKeys(planner.free) {
		for _, host := range planner.free[domain] {
			if keep > 0 {
				keep--
				continue
			}
			if planner.input.Now.Sub(host.IdleSince) >= planner.input.Policy.HandBackAfter {
				planner.moves = append(planner.moves, HandBack{Host: host})
			}
		}
	}
}
