package place

import (
	"hickorybend/core/group"
)

// NaiveSpares is how many spares DecideNaively keeps for a service.
const NaiveSpares = 4

// DecideNaively is the baseline that Decide is compared with: first fit in the
// order of the domains' names, a fixed number of spares for the whole service,
// and no weighing of downtime against stranded hosts.
func DecideNaively(input Input) []Action {
	planner := newPlanner(input)
	planner.serve()
	for _, replica := range input.Replicas {
		if len(replica.Lost) > 0 {
			planner.naiveRepair(replica)
		}
	}
	planner.finishDrains()
	planner.naiveGrow()
	if input.MayShrink {
		planner.naiveShrink()
		planner.naiveHandBack()
	}
	return planner.actions
}

func (planner *planner) naiveRepair(replica Replica) {
	if replica.Replica.State == group.StateDraining {
		planner.release(replica, "a member was lost while the replica drained")
		return
	}
	if members, all := planner.returnedMembers(replica); all {
		planner.add(replica.Replica, Rejoin{Replica: replica.Replica, Members: members})
		return
	}
	if len(planner.freeHosts[replica.Replica.Domain]) > 0 {
		planner.repair(replica, planner.unusableHosts(replica)[0])
	}
}

func (planner *planner) naiveGrow() {
	size := planner.input.Service.HostsPerReplica
	for _, domain := range sortedKeys(planner.freeHosts) {
		for planner.active < planner.input.WantedReplicas && len(planner.freeHosts[domain]) >= size {
			planner.actions = append(planner.actions, Form{Hosts: planner.freeHosts[domain][:size]})
			planner.freeHosts[domain] = planner.freeHosts[domain][size:]
			planner.active++
		}
	}
}

func (planner *planner) naiveShrink() {
	for _, replica := range planner.input.Replicas {
		active := replica.Replica.State == group.StateServing || replica.Replica.State == group.StateLoading
		if active && planner.active > planner.input.WantedReplicas && !planner.hasAction[replica.Replica.ID] {
			planner.drain(replica, "demand has fallen")
		}
	}
}

func (planner *planner) naiveHandBack() {
	keep := NaiveSpares
	for _, domain := range sortedKeys(planner.freeHosts) {
		for _, host := range planner.freeHosts[domain] {
			if keep > 0 {
				keep--
				continue
			}
			if planner.input.Now.Sub(host.IdleSince) >= planner.input.Policy.HandBackAfter {
				planner.actions = append(planner.actions, HandBack{Host: host})
			}
		}
	}
}
