package fleet_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hickorybend/core/fleet"
	"hickorybend/core/site"
)

// step is how far each call of advance moves the simulated time. Commands and
// reports take no simulated time.
const step = 100 * time.Millisecond

// stallTimeout is how long a first host that lacks a member stalls before it
// breaks.
const stallTimeout = 6 * time.Second

// runner is the real state of an endpoint's process.
type runner struct {
	id              string
	domain          string
	alive           bool
	isolated        bool // no node reaches it or gets its reports, but it continues serving; isolated runners reach one another
	startedAt       time.Time
	commandCount    int64
	epoch           int64
	replica         string
	members         []string
	rank            int
	phase           fleet.Phase
	readyAt         time.Time // when joining is done
	lastModel       string
	staged          string // model whose weights are on its host
	staging         string // model that its host is loading
	stageDoneAt     time.Time
	stalledSince    time.Time // when it first lacked a member as first host of its replica; zero if it never did
	formerReplica   string    // replica that it was told to leave; the first host may not have noticed
	formerFirstHost string
}

// simulation holds the runners and checks the two invariants of the package at
// each command and each step: no request starts in a replica with a member that
// was never ready in it, and no member joins another replica while its first host
// may serve.
type simulation struct {
	t         *rapid.T
	now       time.Time
	runners   map[string]*runner
	ids       []string
	ready     map[string]map[string]bool // by replica: members that were ready in it
	delayed   []delayedCommand
	violation string // of an invariant; empty while there is none
	peak      fleet.Peak
}

// delayedCommand is a command that arrives late.
type delayedCommand struct {
	at      time.Time
	command fleet.Command
}

// newSimulation returns a simulation with a number of domains and, in each of
// them, a number of runners that belong to no replica and have no weights.
func newSimulation(t *rapid.T, domains, perDomain int) *simulation {
	simulation := &simulation{t: t, now: time.Unix(1000, 0), runners: map[string]*runner{}, ready: map[string]map[string]bool{}}
	for d := range domains {
		for i := range perDomain {
			id := fmt.Sprintf("e%d-%d", d, i)
			simulation.runners[id] = &runner{id: id, domain: fmt.Sprintf("d%d", d), alive: true, startedAt: simulation.now}
			simulation.ids = append(simulation.ids, id)
		}
	}
	return simulation
}

var engine = &site.Engine{
	Slots: 17, LoadsPerSec: 5, MaxConcurrentLoads: 7,
	Models: []site.Model{
		{Name: "large", ReplicaSize: 4, InitialShare: 0.5, TimeFactor: 1, LoadTime: 16 * time.Second, WarmTime: 1600 * time.Millisecond},
		{Name: "small", ReplicaSize: 2, InitialShare: 0.5, TimeFactor: 0.6, LoadTime: 12 * time.Second, WarmTime: 1100 * time.Millisecond},
	},
}

// endpoints lists the endpoints as the platform's table and their reports show
// them: those that are isolated or not alive are missing.
func (simulation *simulation) endpoints() []fleet.Endpoint {
	var listed []fleet.Endpoint
	for _, id := range simulation.ids {
		runner := simulation.runners[id]
		if !runner.alive || runner.isolated {
			continue
		}
		endpoint := fleet.Endpoint{
			ID: id, Domain: runner.domain, Address: id, StartedAt: runner.startedAt, CommandCount: runner.commandCount, CommandCountKnown: true,
			Membership: fleet.Membership{Replica: runner.replica, Epoch: runner.epoch, Rank: runner.rank, Phase: simulation.phaseOf(runner)},
		}
		if runner.replica == "" {
			endpoint.Membership = fleet.Membership{}
		}
		if runner.staged != "" {
			endpoint.Staged = []string{runner.staged}
		}
		listed = append(listed, endpoint)
	}
	return listed
}

// phaseOf returns a runner's phase. It first moves the runner from joining to ready
// if that is due.
func (simulation *simulation) phaseOf(runner *runner) fleet.Phase {
	if runner.phase == fleet.PhaseJoining && !simulation.now.Before(runner.readyAt) {
		runner.phase = fleet.PhaseReady
		simulation.noteReady(runner)
	}
	return runner.phase
}

// noteReady records that a runner is ready in its replica.
func (simulation *simulation) noteReady(runner *runner) {
	if simulation.ready[runner.replica] == nil {
		simulation.ready[runner.replica] = map[string]bool{}
	}
	simulation.ready[runner.replica][runner.id] = true
}

// apply carries out a command as an endpoint does and returns the reply.
func (simulation *simulation) apply(command fleet.Command) fleet.Reply {
	runner := simulation.runners[command.Endpoint]
	if !runner.alive || runner.isolated {
		return fleet.Unknown{}
	}
	simulation.phaseOf(runner)
	if command.ExpectedCommandCount != runner.commandCount {
		return fleet.Rejected{}
	}
	switch operation := command.Operation.(type) {
	case fleet.Join:
		return simulation.join(runner, operation)
	case fleet.Open:
		if runner.replica != operation.Replica || runner.rank != 0 || runner.phase != fleet.PhaseReady {
			return fleet.Rejected{}
		}
		runner.phase = fleet.PhaseOpen
	case fleet.Close:
		if runner.replica != operation.Replica || runner.phase != fleet.PhaseOpen {
			return fleet.Rejected{}
		}
		runner.phase = fleet.PhaseReady
	case fleet.Leave:
		if runner.replica != operation.Replica {
			return fleet.AlreadyApplied{}
		}
		runner.formerReplica, runner.formerFirstHost = runner.replica, runner.members[0]
		runner.replica, runner.members, runner.phase, runner.stalledSince = "", nil, fleet.PhaseNone, time.Time{}
		runner.commandCount++
		return fleet.AlreadyApplied{}
	case fleet.Stage:
		if runner.staging != "" {
			return fleet.Rejected{}
		}
		runner.staging, runner.stageDoneAt = operation.Model, simulation.now.Add(12*time.Second)
	}
	runner.commandCount++
	return fleet.Accepted{}
}

// join makes a runner join a replica, whose model follows from the number of
// members. The runner is ready after 200 ms if its last replica was of the same
// model, after 1.6 s if its host has the weights, and after 16 s otherwise.
func (simulation *simulation) join(runner *runner, join fleet.Join) fleet.Reply {
	if join.Epoch < runner.epoch || join.Epoch == runner.epoch && runner.replica == join.Replica && !slices.Equal(join.Members, runner.members) {
		return fleet.Rejected{}
	}
	if runner.replica == join.Replica {
		return fleet.AlreadyApplied{}
	}
	simulation.checkJoin(runner, join)
	wait := 16 * time.Second
	model := engine.Models[1].Name
	if len(join.Members) == engine.Models[0].ReplicaSize {
		model = engine.Models[0].Name
	}
	switch {
	case runner.lastModel == model:
		wait = 200 * time.Millisecond
	case runner.staged == model:
		wait = 1600 * time.Millisecond
	}
	runner.replica, runner.epoch, runner.members = join.Replica, join.Epoch, join.Members
	runner.rank = slices.Index(join.Members, runner.id)
	runner.phase, runner.readyAt, runner.lastModel, runner.stalledSince = fleet.PhaseJoining, simulation.now.Add(wait), model, time.Time{}
	runner.formerReplica = ""
	runner.commandCount++
	return fleet.Accepted{}
}

// checkJoin records a violation if a runner joins a replica while the first host
// of its present or former replica is open, even if that first host stalls and has
// not broken yet.
func (simulation *simulation) checkJoin(runner *runner, join fleet.Join) {
	replica, firstHostID := runner.replica, ""
	if replica != "" {
		firstHostID = runner.members[0]
	} else if runner.formerReplica != "" {
		replica, firstHostID = runner.formerReplica, runner.formerFirstHost
	}
	if replica == "" || replica == join.Replica {
		return
	}
	firstHost := simulation.runners[firstHostID]
	if firstHost.alive && firstHost.replica == replica && firstHost.phase == fleet.PhaseOpen {
		simulation.violation = fmt.Sprintf("%s joins %s while %s serves %s", runner.id, join.Replica, firstHostID, replica)
	}
}

// advance advances the time by one step: delayed commands arrive, loads finish,
// first hosts that lack a member stall or break, and the others run a request.
func (simulation *simulation) advance() {
	simulation.now = simulation.now.Add(step)
	for i := 0; i < len(simulation.delayed); i++ {
		if !simulation.now.Before(simulation.delayed[i].at) {
			simulation.apply(simulation.delayed[i].command)
			simulation.delayed = slices.Delete(simulation.delayed, i, i+1)
			i--
		}
	}
	for _, id := range simulation.ids {
		runner := simulation.runners[id]
		simulation.phaseOf(runner)
		if runner.staging != "" && !simulation.now.Before(runner.stageDoneAt) {
			runner.staged, runner.staging = runner.staging, ""
		}
		if runner.alive && runner.phase == fleet.PhaseOpen {
			simulation.serve(runner)
		}
	}
}

// serve runs a request on a first host, which stalls if a member is missing, and
// breaks after the stall timeout. It records a violation if a member was never
// ready in the replica.
func (simulation *simulation) serve(firstHost *runner) {
	for _, id := range firstHost.members {
		member := simulation.runners[id]
		if !member.alive || member.replica != firstHost.replica || member.isolated != firstHost.isolated {
			if firstHost.stalledSince.IsZero() {
				firstHost.stalledSince = simulation.now
			}
			if simulation.now.Sub(firstHost.stalledSince) >= stallTimeout {
				firstHost.phase = fleet.PhaseBroken
			}
			if !simulation.ready[firstHost.replica][id] && member.alive {
				simulation.violation = fmt.Sprintf("%s serves %s, in which %s was never ready", firstHost.id, firstHost.replica, id)
			}
			continue
		}
		if !simulation.ready[firstHost.replica][id] {
			simulation.violation = fmt.Sprintf("%s serves %s, in which %s was never ready", firstHost.id, firstHost.replica, id)
		}
	}
}

// holder is a node that plans. It may be a former holder that has not noticed the
// loss of its lease yet.
type holder struct {
	planner      *fleet.Planner
	fence        int64
	frozen       bool                 // it plans nothing
	holderReport fleet.HolderReport   // of the previous holder
	planned      bool                 // it has run a pass; it reports nothing before
	reports      []fleet.HolderReport // one of each pass but the first
	sightings    sightings
}

// sightings are the endpoints that a node has last seen in no replica, in what state
// and since when.
type sightings map[string]fleet.Endpoint

// look returns the endpoints with the times since when the node has seen them in
// their present states, and belonging to no replica.
func (sightings sightings) look(simulation *simulation) []fleet.Endpoint {
	listed := simulation.endpoints()
	for i, endpoint := range listed {
		seen, found := sightings[endpoint.ID]
		switch {
		case endpoint.Membership.Replica != "":
			delete(sightings, endpoint.ID)
			continue
		case found && seen.StartedAt.Equal(endpoint.StartedAt) && seen.CommandCount == endpoint.CommandCount:
			listed[i].FreeSince = seen.FreeSince
		default:
			listed[i].FreeSince = simulation.now
		}
		sightings[endpoint.ID] = listed[i]
	}
	return listed
}

// newHolder returns a holder that has seen no endpoint and has no report.
func newHolder(fence int64) *holder {
	return &holder{planner: fleet.NewPlanner(fleet.DefaultPolicy(), "llm"), fence: fence, sightings: sightings{}}
}

// deliver sends a command and passes the reply to the planner. By its outcome the
// command is answered, takes effect without a reply, takes effect 2 to 12 s later
// without a reply, or is dropped.
func (simulation *simulation) deliver(holder *holder, command fleet.Command, outcome string) {
	reply := fleet.Reply(fleet.Unknown{})
	switch outcome {
	case "answered":
		reply = simulation.apply(command)
	case "answer lost":
		simulation.apply(command)
	case "late":
		simulation.delayed = append(simulation.delayed, delayedCommand{at: simulation.now.Add(time.Duration(rapid.IntRange(2000, 12000).Draw(simulation.t, "delay")) * time.Millisecond), command: command})
	}
	holder.planner.Resolve(simulation.now, command, reply)
	simulation.t.Logf("%s fence %d: %s %+v: %s, %T", simulation.now.Sub(time.Unix(1000, 0)), holder.fence, command.Endpoint, command.Operation, outcome, reply)
}

// plan runs one pass of a holder and delivers its commands.
func (simulation *simulation) plan(holder *holder, outcomes []string) {
	if holder.frozen {
		return
	}
	input := fleet.Input{Now: simulation.now, Fence: holder.fence, Engine: engine, Endpoints: holder.sightings.look(simulation), Unresponsive: map[string]bool{}, InFlight: map[string]int{}}
	input.HolderReport, input.Peak = holder.holderReport, simulation.peak
	if holder.planned {
		holder.reports = append(holder.reports, fleet.HolderReport{Fence: holder.fence, ReceivedAt: simulation.now, Cleared: maps.Clone(holder.planner.Cleared())})
	}
	holder.planned = true
	for _, command := range holder.planner.Plan(input) {
		simulation.deliver(holder, command, rapid.SampledFrom(outcomes).Draw(simulation.t, "outcome"))
	}
}

// drawHolderReport draws which report of a holder is the last one that another node
// received: a report of one to thirty passes ago that arrived up to half a second
// late.
func (simulation *simulation) drawHolderReport(holder *holder) fleet.HolderReport {
	if len(holder.reports) == 0 {
		return fleet.HolderReport{}
	}
	ago := rapid.IntRange(1, min(len(holder.reports), 30)).Draw(simulation.t, "report")
	holderreport := holder.reports[len(holder.reports)-ago]
	late := time.Duration(rapid.IntRange(0, 500).Draw(simulation.t, "report delay")) * time.Millisecond
	holderreport.ReceivedAt = holderreport.ReceivedAt.Add(late)
	return holderreport
}

// simulatedPeaks are the peaks of the demand that planners are told: none, so that they
// follow the recent demand, and one that needs nearly all hosts.
var simulatedPeaks = map[string]fleet.Peak{"recent demand": {}, "peak": {Hosts: map[string]float64{"large": 3, "small": 4}, Known: 1}}

// TestPlacementInvariants checks the invariants under faults. Holders replace one
// another, and the former one keeps planning for up to 15 s. The new one may not have
// looked at the endpoints for a while. Runners crash, restart under their ID, are
// isolated and become reachable again. Commands and replies are lost or late.
func TestPlacementInvariants(t *testing.T) {
	for name, peak := range simulatedPeaks {
		t.Run(name, func(t *testing.T) { rapid.Check(t, func(t *rapid.T) { simulateInvariants(t, peak) }) })
	}
}

// simulateInvariants runs one simulation of TestPlacementInvariants.
func simulateInvariants(t *rapid.T, peak fleet.Peak) {
	simulation := newSimulation(t, 2, 6)
	simulation.peak = peak
	outcomes := []string{"answered", "answered", "answered", "answered", "answer lost", "late", "dropped"}
	current := newHolder(1)
	other := sightings{}
	var former *holder // keeps planning beside the new holder for a while
	var formerUntil time.Time
	for range rapid.IntRange(100, 400).Draw(t, "steps") {
		simulation.injectFault(rapid.IntRange(0, 60).Draw(t, "fault"))
		if rapid.IntRange(0, 80).Draw(t, "change of holder") == 0 {
			holderreport := simulation.drawHolderReport(current)
			former, formerUntil = current, simulation.now.Add(time.Duration(rapid.IntRange(0, 15).Draw(t, "former holder keeps planning"))*time.Second)
			current = newHolder(current.fence + 1)
			current.holderReport, current.sightings, other = holderreport, other, sightings{}
		}
		if rapid.IntRange(0, 20).Draw(t, "another node looks") == 0 {
			other.look(simulation)
		}
		simulation.plan(current, outcomes)
		if simulation.now.Before(formerUntil) {
			simulation.plan(former, outcomes)
		}
		simulation.advance()
		if simulation.violation != "" {
			t.Fatalf("after %s: %s", simulation.now.Sub(time.Unix(1000, 0)), simulation.violation)
		}
	}
}

// injectFault injects the fault that a drawn number stands for, if any: a crash, a
// restart, or a partition of one runner or of several of its domain.
func (simulation *simulation) injectFault(number int) {
	if number > 4 {
		return
	}
	runner := simulation.runners[rapid.SampledFrom(simulation.ids).Draw(simulation.t, "runner")]
	simulation.t.Logf("%s: fault %d at %s", simulation.now.Sub(time.Unix(1000, 0)), number, runner.id)
	switch number {
	case 0:
		runner.alive = false
	case 1:
		simulation.restart(runner)
	case 2, 3:
		runner.isolated = !runner.isolated
	case 4:
		for _, id := range simulation.ids {
			if simulation.runners[id].domain == runner.domain {
				simulation.runners[id].isolated = !runner.isolated
			}
		}
	}
}

// restart replaces a runner by a new incarnation on the same host.
func (simulation *simulation) restart(old *runner) {
	simulation.runners[old.id] = &runner{id: old.id, domain: old.domain, alive: true, startedAt: simulation.now, staged: old.staged}
}

// TestAllServeOnceFaultsEnd injects faults, then keeps every runner alive and
// answers every command. It guards against endpoints that stay quarantined or
// without a replica for good: 70 s after the last fault at least 8 of the 12 hosts
// must serve.
func TestAllServeOnceFaultsEnd(t *testing.T) {
	for name, peak := range simulatedPeaks {
		t.Run(name, func(t *testing.T) { rapid.Check(t, func(t *rapid.T) { checkAllServe(t, peak) }) })
	}
}

// checkAllServe runs one simulation of TestAllServeOnceFaultsEnd.
func checkAllServe(t *rapid.T, peak fleet.Peak) {
	simulation := newSimulation(t, 2, 6)
	simulation.peak = peak
	current := newHolder(1)
	for range rapid.IntRange(50, 200).Draw(t, "steps") {
		simulation.injectFault(rapid.IntRange(0, 40).Draw(t, "fault"))
		simulation.plan(current, []string{"answered", "answer lost", "dropped"})
		simulation.advance()
	}
	for _, id := range simulation.ids {
		if !simulation.runners[id].alive {
			simulation.restart(simulation.runners[id])
		}
		simulation.runners[id].isolated = false
	}
	for range 700 {
		simulation.plan(current, []string{"answered"})
		simulation.advance()
	}
	serving := fleet.ServingReplicas(engine, simulation.endpoints(), func(string) bool { return false })
	hosts := 0
	for _, replica := range serving {
		model, _ := engine.Model(replica.Model)
		hosts += model.ReplicaSize
	}
	if hosts < 8 {
		stats := current.planner.Stats(fleet.Input{Now: simulation.now, Engine: engine, Endpoints: simulation.endpoints()})
		t.Fatalf("%d of 12 hosts serve: %+v", hosts, stats)
	}
}
