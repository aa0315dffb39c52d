package place_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/group"
	"hickorybend/core/intent"
	"hickorybend/core/place"
)

// month simulates a service for a month. It calls the decision function once a
// step and applies the actions, while a list of outages that depends only on the
// seed takes hosts away: single hosts fail and return, one fabric domain fails,
// and all hosts are replaced one after another. Demand falls over the month.
type month struct {
	service      intent.Service
	objective    intent.Objective
	policy       place.Policy
	hosts        map[string]*hostState
	replicas     map[string]*replicaState
	now          time.Time
	formedCount  int
	downtime     time.Duration // of wanted replicas, summed
	strandedTime time.Duration // of stranded hosts, summed
	heldTime     time.Duration // of hosts not handed back, summed
	handedBack   int
	peakReplicas int
	mayShrink    bool
	decide       func(place.Input) []place.Action
}

type hostState struct {
	place.Host
	returnsAt  time.Time
	handedBack bool
	hasWeights bool
}

type replicaState struct {
	replica    group.Replica
	readyAt    time.Time
	drainStart time.Time
}

// outage takes hosts away for some time. They return as the incarnation with the
// number serial.
type outage struct {
	start  time.Time
	hosts  []string
	end    time.Time
	serial int
}

const (
	monthStep = time.Minute
	monthDays = 30
	// failuresPerHostDay leaves out the domain outage and the rolling replacement.
	// Policy.FailuresPerHostDay counts them too.
	failuresPerHostDay = 0.014
)

func newMonth(service intent.Service, objective intent.Objective, domains, hostsPerDomain int, decide func(place.Input) []place.Action) *month {
	month := &month{
		service: service, objective: objective, policy: place.DefaultPolicy(), hosts: map[string]*hostState{},
		replicas: map[string]*replicaState{}, now: time.Unix(1_800_000_000, 0), decide: decide,
	}
	for d := range domains {
		for h := range hostsPerDomain {
			name := fmt.Sprintf("z%d-d%d-h%02d", d%3, d, h)
			month.hosts[name] = &hostState{Host: place.Host{
				Row: group.Host{Name: name}, Zone: fmt.Sprintf("z%d", d%3), Domain: fmt.Sprintf("z%d-d%d", d%3, d),
				Incarnation: "0", Usable: true, IdleSince: month.now,
			}}
		}
	}
	return month
}

// outages lists the outages of a month for the hosts as they are at its start,
// so that they are the same for every decision function.
func (month *month) outages(seed uint64) []outage {
	random := rand.New(rand.NewPCG(seed, 77))
	var names []string
	for name := range month.hosts {
		names = append(names, name)
	}
	slices.Sort(names)
	var outages []outage
	for _, name := range names {
		at := month.now
		for {
			at = at.Add(time.Duration(random.ExpFloat64() / failuresPerHostDay * float64(24*time.Hour)))
			if at.Sub(month.now) > monthDays*24*time.Hour {
				break
			}
			downtime := time.Duration(random.ExpFloat64() * float64(month.policy.HostRecovery))
			outages = append(outages, outage{start: at, hosts: []string{name}, end: at.Add(downtime)})
		}
	}
	outageStart := month.now.Add(time.Duration(random.IntN(monthDays*24)) * time.Hour)
	domain := month.hosts[names[random.IntN(len(names))]].Domain
	outages = append(outages, outage{start: outageStart, hosts: month.inDomain(domain), end: outageStart.Add(2 * time.Hour)})
	rollingStart := month.now.Add(20 * 24 * time.Hour)
	for i, name := range names {
		at := rollingStart.Add(time.Duration(i) * 20 * time.Minute)
		outages = append(outages, outage{start: at, hosts: []string{name}, end: at.Add(10 * time.Minute)})
	}
	slices.SortFunc(outages, func(a, b outage) int { return a.start.Compare(b.start) })
	for i := range outages {
		outages[i].serial = i + 1
	}
	return outages
}

func (month *month) inDomain(domain string) []string {
	var names []string
	for name, host := range month.hosts {
		if host.Domain == domain {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// wantedReplicas returns the number of wanted replicas, which falls over the
// month and varies with the time of day.
func (month *month) wantedReplicas(start time.Time) int {
	days := month.now.Sub(start).Hours() / 24
	share := 1 - 0.35*days/monthDays
	share *= 0.85 + 0.15*math.Sin(2*math.Pi*days)
	return min(max(int(math.Ceil(share*float64(month.peakReplicas))), month.service.MinReplicas), month.service.MaxReplicas)
}

func (month *month) run(outages []outage) {
	start := month.now
	month.warmUp(start)
	month.downtime, month.strandedTime, month.heldTime = 0, 0, 0
	demand := place.NewDemand(month.policy)
	for month.now.Sub(start) < monthDays*24*time.Hour {
		for len(outages) > 0 && !outages[0].start.After(month.now) {
			month.beginOutage(outages[0])
			outages = outages[1:]
		}
		month.recover()
		streams := float64(month.wantedReplicas(start)*month.service.ReplicaStreams) * month.policy.TargetUtilization
		demand.Record(streams, month.now)
		month.mayShrink = demand.CoversWindow(month.now)
		month.applyDecisions(demand.WantedReplicas(month.service, month.now))
		month.measure(month.wantedReplicas(start))
		month.now = month.now.Add(monthStep)
	}
}

// warmUp lets the first replicas form before the measurement starts.
func (month *month) warmUp(start time.Time) {
	for range 10 {
		month.applyDecisions(month.wantedReplicas(start))
		month.now = month.now.Add(monthStep)
	}
}

func (month *month) beginOutage(outage outage) {
	for _, name := range outage.hosts {
		host := month.hosts[name]
		if host.handedBack {
			continue
		}
		host.Usable, host.hasWeights = false, false
		host.Incarnation = fmt.Sprint(outage.serial)
		if outage.end.After(host.returnsAt) {
			host.returnsAt = outage.end
		}
	}
}

// recover makes the hosts whose outage has ended usable again.
func (month *month) recover() {
	for _, host := range month.hosts {
		if !host.Usable && !host.handedBack && !month.now.Before(host.returnsAt) {
			host.Usable = true
		}
	}
}

func (month *month) input(wanted int) place.Input {
	input := place.Input{Now: month.now, Policy: month.policy, Service: month.service, Objective: month.objective, WantedReplicas: wanted, MayShrink: month.mayShrink}
	for _, host := range month.hosts {
		if !host.handedBack {
			input.Hosts = append(input.Hosts, host.Host)
		}
	}
	slices.SortFunc(input.Hosts, func(a, b place.Host) int { return compare(a.Row.Name, b.Row.Name) })
	for _, state := range month.replicas {
		input.Replicas = append(input.Replicas, place.Replica{
			Replica: state.replica, Lost: month.lostMembers(state.replica),
			Complete: len(month.lostMembers(state.replica)) == 0 && !month.now.Before(state.readyAt),
			Drained:  state.replica.State == group.StateDraining && month.now.Sub(state.drainStart) >= 2*time.Minute,
		})
	}
	slices.SortFunc(input.Replicas, func(a, b place.Replica) int { return compare(a.Replica.ID, b.Replica.ID) })
	return input
}

func compare(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

func (month *month) lostMembers(replica group.Replica) []string {
	var lost []string
	for _, member := range replica.Members {
		host := month.hosts[member.Host]
		if !host.Usable || host.Incarnation != member.Incarnation {
			lost = append(lost, member.Host)
		}
	}
	return lost
}

func (month *month) applyDecisions(wanted int) {
	for range 20 {
		actions := month.decide(month.input(wanted))
		if len(actions) == 0 {
			return
		}
		for _, action := range actions {
			month.make(action)
		}
	}
}

// make carries out an action at once.
func (month *month) make(action place.Action) {
	switch typed := action.(type) {
	case place.Form:
		month.formedCount++
		state := &replicaState{replica: group.Replica{
			ID: fmt.Sprintf("r%05d", month.formedCount), Service: month.service.Name, Zone: typed.Hosts[0].Zone, Domain: typed.Hosts[0].Domain,
			Model: month.service.Model, Version: month.service.Version, State: group.StateLoading,
		}}
		for rank, host := range typed.Hosts {
			state.replica.Members = append(state.replica.Members, month.join(state, host, rank))
		}
		month.replicas[state.replica.ID] = state
	case place.Serve:
		month.replicas[typed.Replica.ID].replica.State = group.StateServing
	case place.Repair:
		state := month.replicas[typed.Replica.ID]
		for i, member := range state.replica.Members {
			if member.Host == typed.Lost {
				month.freeHost(typed.Lost)
				state.replica.Members[i] = month.join(state, typed.Spare, i)
			}
		}
		state.replica.State = group.StateLoading
	case place.Rejoin:
		state := month.replicas[typed.Replica.ID]
		for i, member := range typed.Members {
			state.replica.Members[i] = month.join(state, month.hosts[member.Host].Host, i)
		}
		state.replica.State = group.StateLoading
	case place.Drain:
		state := month.replicas[typed.Replica.ID]
		state.replica.State, state.drainStart = group.StateDraining, month.now
	case place.Release:
		for _, member := range month.replicas[typed.Replica.ID].replica.Members {
			month.freeHost(member.Host)
		}
		delete(month.replicas, typed.Replica.ID)
	case place.HandBack:
		month.hosts[typed.Host.Row.Name].handedBack = true
		month.handedBack++
	}
}

// join makes a host a member of a replica. Loading the weights delays the
// replica, unless the host has them.
func (month *month) join(state *replicaState, host place.Host, rank int) group.Member {
	joined := month.hosts[host.Row.Name]
	joined.Row.Replica = state.replica.ID
	ready := month.now
	if !joined.hasWeights {
		ready = month.now.Add(month.policy.LoadTime)
		joined.hasWeights = true
	}
	if ready.After(state.readyAt) {
		state.readyAt = ready
	}
	return group.Member{Host: host.Row.Name, Incarnation: joined.Incarnation, Rank: rank}
}

func (month *month) freeHost(name string) {
	month.hosts[name].Row.Replica = ""
	month.hosts[name].IdleSince = month.now
}

// measure adds a step to the sums. Downtime counts replicas that are wanted and
// cannot serve; stranded time counts held hosts that serve in no complete replica.
func (month *month) measure(wanted int) {
	servingReplicas, servingHosts := 0, 0
	for _, state := range month.replicas {
		complete := len(month.lostMembers(state.replica)) == 0 && !month.now.Before(state.readyAt) && state.replica.State != group.StateLoading
		if complete && state.replica.State == group.StateServing {
			servingReplicas++
		}
		if complete {
			servingHosts += len(state.replica.Members)
		}
	}
	heldHosts := 0
	for _, host := range month.hosts {
		if !host.handedBack {
			heldHosts++
		}
	}
	month.downtime += time.Duration(max(wanted-servingReplicas, 0)) * monthStep
	month.heldTime += time.Duration(heldHosts) * monthStep
	month.strandedTime += time.Duration(heldHosts-servingHosts) * monthStep
}

type deployment struct {
	name           string
	peakReplicas   int
	service        intent.Service
	objective      intent.Objective
	domains        int
	hostsPerDomain int
}

var deployments = []deployment{
	{"muscat", 27, intent.Service{Name: "tutor-models", HostsPerReplica: 2, MinReplicas: 12, MaxReplicas: 30, ReplicaStreams: 16, SpreadZones: true}, intent.Objective{DowntimeWeight: 1000, StrandedWeight: 1}, 6, 10},
	{"ravenala", 12, intent.Service{Name: "assistant-llm", HostsPerReplica: 4, MinReplicas: 6, MaxReplicas: 14, ReplicaStreams: 16, SpreadZones: true}, intent.Objective{DowntimeWeight: 1, StrandedWeight: 3}, 6, 10},
}

func runMonth(deployment deployment, seed uint64, decide func(place.Input) []place.Action) *month {
	month := newMonth(deployment.service, deployment.objective, deployment.domains, deployment.hostsPerDomain, decide)
	month.peakReplicas = deployment.peakReplicas
	month.run(month.outages(seed))
	return month
}

const monthSeeds = 5

// TestMonthAgainstTheTwin prints the downtime and the stranded time of Decide and
// of the baseline for the same outages. It runs only if HICKORYBEND_MONTH is set,
// because it measures and asserts nothing.
func TestMonthAgainstTheTwin(t *testing.T) {
	if os.Getenv("HICKORYBEND_MONTH") == "" {
		t.Skip("HICKORYBEND_MONTH is not set")
	}
	for _, deployment := range deployments {
		var down, stranded, baselineDown, baselineStranded time.Duration
		for seed := range uint64(monthSeeds) {
			own, baseline := runMonth(deployment, seed+1, place.Decide), runMonth(deployment, seed+1, place.DecideNaively)
			down, stranded = down+own.downtime, stranded+own.strandedTime
			baselineDown, baselineStranded = baselineDown+baseline.downtime, baselineStranded+baseline.strandedTime
			t.Logf("%s seed %d: downtime %.1f h, baseline %.1f h; stranded %.0f host-h, baseline %.0f; held %.0f host-h, baseline %.0f; handed back %d, baseline %d",
				deployment.name, seed+1, own.downtime.Hours(), baseline.downtime.Hours(), own.strandedTime.Hours(), baseline.strandedTime.Hours(),
				own.heldTime.Hours(), baseline.heldTime.Hours(), own.handedBack, baseline.handedBack)
		}
		t.Logf("%s: downtime %.2f of the baseline's, stranded %.2f of the baseline's", deployment.name, down.Hours()/baselineDown.Hours(), stranded.Hours()/baselineStranded.Hours())
	}
}

// TestDecisionsOfAMonthAreValid guards against decisions that use a host twice,
// mix fabric domains in a replica or take a host that is not free, and against
// hosts that are never handed back. It checks each decision of a simulated month.
func TestDecisionsOfAMonthAreValid(t *testing.T) {
	for _, deployment := range deployments {
		month := newMonth(deployment.service, deployment.objective, deployment.domains, deployment.hostsPerDomain, func(input place.Input) []place.Action {
			actions := place.Decide(input)
			assertValidActions(t, input, actions)
			return actions
		})
		month.peakReplicas = deployment.peakReplicas
		month.run(month.outages(9))
		assert.Assert(t, month.handedBack > 0, "demand fell and no host was handed back")
	}
}

// assertValidActions checks a decision: no host is used twice, the hosts of a
// replica share a fabric domain, and only free, usable hosts are used.
func assertValidActions(t *testing.T, input place.Input, actions []place.Action) {
	t.Helper()
	used := map[string]bool{}
	use := func(host place.Host, domain string) {
		t.Helper()
		assert.Assert(t, !used[host.Row.Name], "host %s is used twice", host.Row.Name)
		assert.Assert(t, host.Usable && !host.Draining && host.Row.Replica == "")
		assert.Equal(t, host.Domain, domain)
		used[host.Row.Name] = true
	}
	for _, action := range actions {
		switch typed := action.(type) {
		case place.Form:
			assert.Equal(t, len(typed.Hosts), input.Service.HostsPerReplica)
			for _, host := range typed.Hosts {
				use(host, typed.Hosts[0].Domain)
			}
		case place.Repair:
			use(typed.Spare, typed.Replica.Domain)
		case place.HandBack:
			use(typed.Host, typed.Host.Domain)
		}
	}
}

func BenchmarkDecideFor2400Hosts(b *testing.B) {
	deployment := deployment{service: intent.Service{Name: "s", HostsPerReplica: 8, MinReplicas: 1, MaxReplicas: 280, ReplicaStreams: 16, SpreadZones: true}, domains: 60, hostsPerDomain: 40}
	month := newMonth(deployment.service, intent.Objective{DowntimeWeight: 1, StrandedWeight: 1}, deployment.domains, deployment.hostsPerDomain, place.Decide)
	for range 60 {
		month.applyDecisions(270)
		month.now = month.now.Add(monthStep)
	}
	input := month.input(275)
	for b.Loop() {
		place.Decide(input)
	}
}
