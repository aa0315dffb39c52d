package place

import (
	"cmp"
	"slices"

	"hickorybend/core/group"
)

// Decide gives the moves that are due now, the most urgent first. It depends
// on nothing but its input.
func Decide(input Input) []Action {
	planner := newPlanner(input)
	planner.target = min(input.WantedReplicas+planner.reserved, input.Service.MaxReplicas)
	planner.serve()
	planner.mend()
	planner.finishDrains()
	planner.grow()
	planner.upgrade()
	planner.shrink()
	planner.handBack()
	return planner.moves
}

// planner gathers moves; what one move uses is out of reach of the next.
type planner struct {
	input    Input
	free     map[string][]Host
	working  int
	loading  int
	reserved int
	target   int
	moves    []Action
	touched  map[string]bool
}

func newPlanner(input Input) *planner {
	planner := &planner{
		input: input, free: input.free(), working: input.working(), loading: input.loading(),
		touched: map[string]bool{}, target: input.WantedReplicas,
	}
	planner.reserved = planner.reserve()
	return planner
}

func (planner *planner) add(replica group.Replica, action Action) {
	planner.touched[replica.ID] = true
	planner.moves = append(planner.moves, action)
}

func (planner *planner) serve() {
	for _, replica := range planner.input.Replicas {
		if replica.Replica.State == group.StateLoading && replica.Complete {
			planner.add(replica.Replica, Serve{Replica: replica.Replica})
			planner.loading--
		}
	}
}

// mend deals with each replica that lacks a host. The replica of the domain
// with the most spares left comes last, for it can wait for what others need.
func (planner *planner) mend() {
	broken := slices.DeleteFunc(slices.Clone(planner.input.Replicas), func(replica Replica) bool {
		return len(replica.Lost) == 0 || planner.touched[replica.Replica.ID]
	})
	slices.SortStableFunc(broken, func(a, b Replica) int { return cmp.Compare(len(a.Lost), len(b.Lost)) })
	for _, replica := range broken {
		planner.mendOne(replica)
	}
}

func (planner *planner) mendOne(replica Replica) {
	if replica.Replica.State == group.StateDraining {
		planner.release(replica, "it lost a host while it drained")
		return
	}
	if planner.input.MayShrink && planner.working > planner.target {
		planner.release(replica, "it lost a host and is not needed")
		return
	}
	if members, all := planner.returned(replica); all {
		planner.add(replica.Replica, Rejoin{Replica: replica.Replica, Members: members})
		return
	}
	spares := planner.free[replica.Replica.Domain]
	if len(spares) >= len(planner.gone(replica)) {
		planner.repair(replica, planner.gone(replica)[0])
		return
	}
	if planner.roomElsewhere(replica) {
		planner.release(replica, "it lost a host and another fabric domain has room")
	}
}

func (planner *planner) repair(replica Replica, lost string) {
	spares := planner.free[replica.Replica.Domain]
	spare := spares[0]
	planner.free[replica.Replica.Domain] = spares[1:]
	planner.add(replica.Replica, Repair{Replica: replica.Replica, Lost: lost, Spare: spare})
}

func (planner *planner) release(replica Replica, why string) {
	if replica.Replica.State != group.StateDraining {
		planner.working--
	}
	planner.add(replica.Replica, Release{Replica: replica.Replica, Reason: why})
}

// gone lists the lost members whose hosts cannot be used.
func (planner *planner) gone(replica Replica) []string {
	return slices.DeleteFunc(slices.Clone(replica.Lost), func(name string) bool {
		host, known := planner.input.host(name)
		return known && host.Usable && !host.Draining
	})
}

// returned gives the members with their hosts' new incarnations, and whether
// every lost host is back.
func (planner *planner) returned(replica Replica) ([]group.Member, bool) {
	if len(planner.gone(replica)) > 0 {
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

// roomElsewhere tells whether another domain has the free hosts for a whole
// replica, which then is up sooner than this one.
func (planner *planner) roomElsewhere(replica Replica) bool {
	for domain, hosts := range planner.free {
		if domain != replica.Replica.Domain && len(hosts) >= planner.input.Service.HostsPerReplica {
			return true
		}
	}
	return false
}

func (planner *planner) finishDrains() {
	for _, replica := range planner.input.Replicas {
		if replica.Replica.State == group.StateDraining && replica.Drained && !planner.touched[replica.Replica.ID] {
			planner.release(replica, "it has drained")
		}
	}
}

func (planner *planner) grow() {
	for planner.working < planner.target && planner.loading < planner.input.Policy.LoadsAtOnce {
		hosts, found := planner.bestDomain()
		if !found {
			return
		}
		planner.moves = append(planner.moves, Form{Hosts: hosts})
		planner.working++
		planner.loading++
	}
}

// bestDomain picks where to form a replica: the zone with the fewest replicas
// when they are to be spread, then the domain that keeps a spare and wastes
// the fewest hosts.
func (planner *planner) bestDomain() ([]Host, bool) {
	size := planner.input.Service.HostsPerReplica
	var best []Host
	var lowest domainRank
	for _, domain := range sortedKeys(planner.free) {
		hosts := planner.free[domain]
		if len(hosts) < size {
			continue
		}
		rank := planner.rank(hosts, size)
		if best == nil || rank.before(lowest) {
			best, lowest = hosts, rank
		}
	}
	if best == nil {
		return nil, false
	}
	planner.free[best[0].Domain] = best[size:]
	return best[:size], true
}

// domainRank orders domains for a new replica; lower is better.
type domainRank struct {
	zoneReplicas int
	noSpare      int
	left         int
}

func (domainrank domainRank) before(other domainRank) bool {
	if domainrank.zoneReplicas != other.zoneReplicas {
		return domainrank.zoneReplicas < other.zoneReplicas
	}
	if domainrank.noSpare != other.noSpare {
		return domainrank.noSpare < other.noSpare
	}
	return domainrank.left < other.left
}

func (planner *planner) rank(hosts []Host, size int) domainRank {
	rank := domainRank{left: (len(hosts) - size) % size}
	if planner.input.Service.SpreadZones {
		rank.zoneReplicas = planner.inZone(hosts[0].Zone)
	}
	if len(hosts) == size && planner.spares(1) > 0 {
		rank.noSpare = 1
	}
	return rank
}

// inZone counts the working replicas of a zone, formed ones of this decision too.
func (planner *planner) inZone(zone string) int {
	count := 0
	for _, replica := range planner.input.Replicas {
		state := replica.Replica.State
		if replica.Replica.Zone == zone && (state == group.StateServing || state == group.StateLoading) {
			count++
		}
	}
	for _, action := range planner.moves {
		if form, ok := action.(Form); ok && form.Hosts[0].Zone == zone {
			count++
		}
	}
	return count
}

// upgrade drains one replica of an old version at a time while the others can
// carry the load.
func (planner *planner) upgrade() {
	service := planner.input.Service
	if planner.loading > 0 || planner.draining() > 0 || planner.working < planner.target {
		return
	}
	for _, replica := range planner.input.Replicas {
		current := replica.Replica.Model == service.Model && replica.Replica.Version == service.Version
		if current || planner.touched[replica.Replica.ID] || replica.Replica.State != group.StateServing {
			continue
		}
		planner.drain(replica, "its version is old")
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

func (planner *planner) drain(replica Replica, why string) {
	planner.working--
	planner.add(replica.Replica, Drain{Replica: replica.Replica, Reason: why})
}

// shrink drains what is not needed: first replicas on leaving hosts, then those
// whose going empties a fabric domain soonest.
func (planner *planner) shrink() {
	for _, replica := range planner.input.Replicas {
		if replica.Replica.State != group.StateServing || planner.touched[replica.Replica.ID] {
			continue
		}
		if replica.DrainRequested {
			planner.drain(replica, "operators ordered it")
		} else if planner.onLeaving(replica.Replica) {
			planner.drain(replica, "one of its hosts is leaving")
		}
	}
	for planner.input.MayShrink && planner.working > planner.target {
		replica, found := planner.leastUseful()
		if !found {
			return
		}
		planner.drain(replica, "demand has fallen")
	}
}

func (planner *planner) onLeaving(replica group.Replica) bool {
	return slices.ContainsFunc(replica.Members, func(member group.Member) bool {
		host, known := planner.input.host(member.Host)
		return known && host.Draining
	})
}

func (planner *planner) leastUseful() (Replica, bool) {
	inDomain := map[string]int{}
	for _, replica := range planner.input.Replicas {
		if replica.Replica.State == group.StateServing || replica.Replica.State == group.StateLoading {
			inDomain[replica.Replica.Domain]++
		}
	}
	var best Replica
	found := false
	for _, replica := range planner.input.Replicas {
		working := replica.Replica.State == group.StateServing || replica.Replica.State == group.StateLoading
		if !working || planner.touched[replica.Replica.ID] {
			continue
		}
		if !found || planner.lessUseful(replica.Replica, best.Replica, inDomain) {
			best, found = replica, true
		}
	}
	return best, found
}

func (planner *planner) lessUseful(a, b group.Replica, inDomain map[string]int) bool {
	if planner.input.Service.SpreadZones {
		if x, y := planner.inZone(a.Zone), planner.inZone(b.Zone); x != y {
			return x > y
		}
	}
	if a.State != b.State {
		return a.State == group.StateLoading
	}
	if x, y := inDomain[a.Domain], inDomain[b.Domain]; x != y {
		return x < y
	}
	return a.ID > b.ID
}

// handBack gives back hosts that no replica and no domain's spares need and
// that have been idle for long enough. While replicas are missing, only hosts
// that are too few to form one go.
func (planner *planner) handBack() {
	if !planner.input.MayShrink {
		return
	}
	now := planner.input.Now
	for _, domain := range sortedKeys(planner.free) {
		hosts := planner.free[domain]
		keep := planner.spares(planner.replicasIn(domain))
		if planner.working < planner.target {
			keep += len(hosts) - len(hosts)%planner.input.Service.HostsPerReplica
		}
		for _, host := range hosts[min(keep, len(hosts)):] {
			idleLong := now.Sub(host.IdleSince) >= planner.input.Policy.HandBackAfter
			if !host.IdleSince.IsZero() && idleLong {
				planner.moves = append(planner.moves, HandBack{Host: host})
			}
		}
	}
}

func (planner *planner) replicasIn(domain string) int {
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
