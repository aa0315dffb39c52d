package place

import (
	"cmp"
	"slices"

	"hickorybend/core/group"
)

// Decide returns the actions that are due now, the most urgent first. It
// depends on nothing but its input.
func Decide(input Input) []Action {
	planner := newPlanner(input)
	planner.target = min(input.WantedReplicas+planner.reserved, input.Service.MaxReplicas)
	planner.serve()
	planner.repairAll()
	planner.finishDrains()
	planner.grow()
	planner.upgrade()
	planner.shrink()
	planner.handBack()
	return planner.actions
}

// planner collects the actions of one decision. A host or replica that one
// action uses is not available to the next.
type planner struct {
	input     Input
	freeHosts map[string][]Host // by fabric domain
	active    int               // replicas that serve or load, after the actions so far
	loading   int               // replicas that load, after the actions so far
	reserved  int               // replicas beyond demand that serve too
	target    int               // active replicas to reach
	actions   []Action
	hasAction map[string]bool // by replica ID
}

func newPlanner(input Input) *planner {
	planner := &planner{
		input: input, freeHosts: input.freeHosts(), active: input.active(), loading: input.loading(),
		hasAction: map[string]bool{}, target: input.WantedReplicas,
	}
	planner.reserved = planner.reserveReplicas()
	return planner
}

func (planner *planner) add(replica group.Replica, action Action) {
	planner.hasAction[replica.ID] = true
	planner.actions = append(planner.actions, action)
}

// serve lets each loading replica that is complete serve.
func (planner *planner) serve() {
	for _, replica := range planner.input.Replicas {
		if replica.Replica.State == group.StateLoading && replica.Complete {
			planner.add(replica.Replica, Serve{Replica: replica.Replica})
			planner.loading--
		}
	}
}

// repairAll handles each replica that has lost a member. Those that lost the
// fewest come first, since they need the fewest spares.
func (planner *planner) repairAll() {
	incomplete := slices.DeleteFunc(slices.Clone(planner.input.Replicas), func(replica Replica) bool {
		return len(replica.Lost) == 0 || planner.hasAction[replica.Replica.ID]
	})
	slices.SortStableFunc(incomplete, func(a, b Replica) int { return cmp.Compare(len(a.Lost), len(b.Lost)) })
	for _, replica := range incomplete {
		planner.repairOne(replica)
	}
}

// repairOne chooses an action for a replica that has lost members. If its
// domain has too few spares and no other domain has room for a new replica, the
// replica waits for its hosts to come back.
func (planner *planner) repairOne(replica Replica) {
	if replica.Replica.State == group.StateDraining {
		planner.release(replica, "a member was lost while the replica drained")
		return
	}
	if planner.input.MayShrink && planner.active > planner.target {
		planner.release(replica, "a member was lost and the replica is not needed")
		return
	}
	if members, all := planner.returnedMembers(replica); all {
		planner.add(replica.Replica, Rejoin{Replica: replica.Replica, Members: members})
		return
	}
	spares := planner.freeHosts[replica.Replica.Domain]
	// One action replaces one member; the other members follow in later decisions.
	if len(spares) >= len(planner.unusableHosts(replica)) {
		planner.repair(replica, planner.unusableHosts(replica)[0])
		return
	}
	if planner.otherDomainHasRoom(replica) {
		planner.release(replica, "a member was lost and another fabric domain has room for a new replica")
	}
}

func (planner *planner) repair(replica Replica, lost string) {
	spares := planner.freeHosts[replica.Replica.Domain]
	spare := spares[0]
	planner.freeHosts[replica.Replica.Domain] = spares[1:]
	planner.add(replica.Replica, Repair{Replica: replica.Replica, Lost: lost, Spare: spare})
}

func (planner *planner) release(replica Replica, reason string) {
	if replica.Replica.State != group.StateDraining {
		planner.active--
	}
	planner.add(replica.Replica, Release{Replica: replica.Replica, Reason: reason})
}

// unusableHosts returns the hosts of lost members that cannot rejoin: they are
// unknown, unresponsive or draining.
func (planner *planner) unusableHosts(replica Replica) []string {
	return slices.DeleteFunc(slices.Clone(replica.Lost), func(name string) bool {
		host, known := planner.input.host(name)
		return known && host.Usable && !host.Draining
	})
}

// returnedMembers returns the members with the present incarnations and
// addresses of their hosts, and whether every lost host is back.
func (planner *planner) returnedMembers(replica Replica) ([]group.Member, bool) {
	if len(planner.unusableHosts(replica)) > 0 {
		return nil, false
	}
	members := slices.Clone(replica.Replica.Members)
	for i := range members {
		host, known := planner.input.host(members[i].Host)
		if !known {
			return nil, false
		}
		members[i].Incarnation = host.Incarnation
		members[i].Address = host.Address
	}
	return members, true
}

// otherDomainHasRoom reports whether another domain has enough free hosts for a
// replica. A new replica there serves sooner than this one.
func (planner *planner) otherDomainHasRoom(replica Replica) bool {
	for domain, hosts := range planner.freeHosts {
		if domain != replica.Replica.Domain && len(hosts) >= planner.input.Service.HostsPerReplica {
			return true
		}
	}
	return false
}

// finishDrains releases the replicas whose drain has ended.
func (planner *planner) finishDrains() {
	for _, replica := range planner.input.Replicas {
		if replica.Replica.State == group.StateDraining && replica.Drained && !planner.hasAction[replica.Replica.ID] {
			planner.release(replica, "the drain has ended")
		}
	}
}

// grow forms new replicas until the target is reached, no domain has room or as
// many replicas load as may at once.
func (planner *planner) grow() {
	for planner.active < planner.target && planner.loading < planner.input.Policy.MaxConcurrentLoads {
		hosts, found := planner.bestDomain()
		if !found {
			return
		}
		planner.actions = append(planner.actions, Form{Hosts: hosts})
		planner.active++
		planner.loading++
	}
}

// bestDomain takes the hosts for a new replica from the domain of lowest cost.
// It prefers the zone with the fewest replicas if replicas are spread over
// zones, then a domain that keeps a spare, then the domain where the fewest
// hosts remain that cannot form another replica.
func (planner *planner) bestDomain() ([]Host, bool) {
	size := planner.input.Service.HostsPerReplica
	var best []Host
	var lowest domainCost
	for _, domain := range sortedKeys(planner.freeHosts) {
		hosts := planner.freeHosts[domain]
		if len(hosts) < size {
			continue
		}
		cost := planner.cost(hosts, size)
		if best == nil || cost.less(lowest) {
			best, lowest = hosts, cost
		}
	}
	if best == nil {
		return nil, false
	}
	planner.freeHosts[best[0].Domain] = best[size:]
	return best[:size], true
}

// domainCost orders domains for a new replica; lower is better.
type domainCost struct {
	zoneReplicas int // active replicas of the zone, if replicas are spread
	losesSpare   int // 1 if no spare would be left although one is worth its cost
	leftover     int // hosts that would remain and are too few for another replica
}

func (domaincost domainCost) less(other domainCost) bool {
	if domaincost.zoneReplicas != other.zoneReplicas {
		return domaincost.zoneReplicas < other.zoneReplicas
	}
	if domaincost.losesSpare != other.losesSpare {
		return domaincost.losesSpare < other.losesSpare
	}
	return domaincost.leftover < other.leftover
}

func (planner *planner) cost(hosts []Host, size int) domainCost {
	cost := domainCost{leftover: (len(hosts) - size) % size}
	if planner.input.Service.SpreadZones {
		cost.zoneReplicas = planner.activeInZone(hosts[0].Zone)
	}
	if len(hosts) == size && planner.sparesToKeep(1) > 0 {
		cost.losesSpare = 1
	}
	return cost
}

// activeInZone counts the replicas of a zone that serve or load, including those
// that this decision forms.
func (planner *planner) activeInZone(zone string) int {
	count := 0
	for _, replica := range planner.input.Replicas {
		state := replica.Replica.State
		if replica.Replica.Zone == zone && (state == group.StateServing || state == group.StateLoading) {
			count++
		}
	}
	for _, action := range planner.actions {
		if form, ok := action.(Form); ok && form.Hosts[0].Zone == zone {
			count++
		}
	}
	return count
}

// upgrade drains the replicas of another model or version one at a time. It waits
// until no replica loads or drains and the target is reached, so that the other
// replicas can carry the load.
func (planner *planner) upgrade() {
	service := planner.input.Service
	if planner.loading > 0 || planner.draining() > 0 || planner.active < planner.target {
		return
	}
	for _, replica := range planner.input.Replicas {
		current := replica.Replica.Model == service.Model && replica.Replica.Version == service.Version
		if current || planner.hasAction[replica.Replica.ID] || replica.Replica.State != group.StateServing {
			continue
		}
		planner.drain(replica, "its model or version is out of date")
		return
	}
}

func (planner *planner) draining() int {
	count := 0
	for _, replica := range planner.input.Replicas {
		if replica.Replica.State == group.StateDraining {
			count++
		}
	}
	return count
}

func (planner *planner) drain(replica Replica, reason string) {
	planner.active--
	planner.add(replica.Replica, Drain{Replica: replica.Replica, Reason: reason})
}

// shrink drains the replicas whose drain operators requested and those on draining
// hosts, then the replicas that demand does not need.
func (planner *planner) shrink() {
	for _, replica := range planner.input.Replicas {
		if replica.Replica.State != group.StateServing || planner.hasAction[replica.Replica.ID] {
			continue
		}
		if replica.DrainRequested {
			planner.drain(replica, "operators requested the drain")
		} else if planner.hasDrainingHost(replica.Replica) {
			planner.drain(replica, "one of its hosts is draining")
		}
	}
	for planner.input.MayShrink && planner.active > planner.target {
		replica, found := planner.drainCandidate()
		if !found {
			return
		}
		planner.drain(replica, "demand has fallen")
	}
}

func (planner *planner) hasDrainingHost(replica group.Replica) bool {
	return slices.ContainsFunc(replica.Members, func(member group.Member) bool {
		host, known := planner.input.host(member.Host)
		return known && host.Draining
	})
}

// drainCandidate returns the replica to drain first when there are too many.
func (planner *planner) drainCandidate() (Replica, bool) {
	activeInDomain := map[string]int{}
	for _, replica := range planner.input.Replicas {
		if replica.Replica.State == group.StateServing || replica.Replica.State == group.StateLoading {
			activeInDomain[replica.Replica.Domain]++
		}
	}
	var candidate Replica
	found := false
	for _, replica := range planner.input.Replicas {
		active := replica.Replica.State == group.StateServing || replica.Replica.State == group.StateLoading
		if !active || planner.hasAction[replica.Replica.ID] {
			continue
		}
		if !found || planner.drainsBefore(replica.Replica, candidate.Replica, activeInDomain) {
			candidate, found = replica, true
		}
	}
	return candidate, found
}

// drainsBefore orders replicas for draining: first those of the zone with the
// most replicas if replicas are spread, then those that still load, then those
// of the domain with the fewest replicas, which becomes empty soonest. IDs
// break ties.
func (planner *planner) drainsBefore(a, b group.Replica, activeInDomain map[string]int) bool {
	if planner.input.Service.SpreadZones {
		if x, y := planner.activeInZone(a.Zone), planner.activeInZone(b.Zone); x != y {
			return x > y
		}
	}
	if a.State != b.State {
		return a.State == group.StateLoading
	}
	if x, y := activeInDomain[a.Domain], activeInDomain[b.Domain]; x != y {
		return x < y
	}
	return a.ID > b.ID
}

// handBack hands back free hosts that have been idle for long enough and that
// are not kept as spares of their domain. While there are fewer replicas than
// the target, it keeps the hosts that could form one and hands back only the
// remainder.
func (planner *planner) handBack() {
	if !planner.input.MayShrink {
		return
	}
	now := planner.input.Now
	for _, domain := range sortedKeys(planner.freeHosts) {
		hosts := planner.freeHosts[domain]
		keep := planner.sparesToKeep(planner.replicasInDomain(domain))
		if planner.active < planner.target {
			keep += len(hosts) - len(hosts)%planner.input.Service.HostsPerReplica
		}
		for _, host := range hosts[min(keep, len(hosts)):] {
			idleLong := now.Sub(host.IdleSince) >= planner.input.Policy.HandBackAfter
			if !host.IdleSince.IsZero() && idleLong {
				planner.actions = append(planner.actions, HandBack{Host: host})
			}
		}
	}
}

func (planner *planner) replicasInDomain(domain string) int {
	count := 0
	for _, replica := range planner.input.Replicas {
		if replica.Replica.Domain == domain && replica.Replica.State != group.StateReleased {
			count++
		}
	}
	return count
}

func sortedKeys(domains map[string][]Host) []string {
	keys := make([]string, 0, len(domains))
	for domain := range domains {
		keys = append(keys, domain)
	}
	slices.Sort(keys)
	return keys
}
