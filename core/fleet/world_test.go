package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hickorybend/core/fleet"
	"hickorybend/core/site"
)

// step is how far the world's time moves at once; the orders and the rows of
// endpoints take no time of their own.
const step = 100 * time.Millisecond

const stall = 6 * time.Second

// runner is an endpoint as it really is.
type runner struct {
	id      string
	domain  string
	alive   bool
	cut     bool // nobody hears it or reaches it, and it serves on
	born    time.Time
	freeAt  time.Time // since when it belongs to nothing
	orders  int64
	epoch   int64
	group   string
	members []string
	rank    int
	phase   fleet.Phase
	readyAt time.Time
	last    string
	staged  string
	stages  string
	stageAt time.Time
	stalled time.Time // since when a first host stands still
	former  string    // the replica it left by itself, whose first host may not know
	formerH string
}

// world holds the runners and checks, at each order and each step, the two
// promises: no request begins in a replica that is not whole, and no member
// joins elsewhere while its first host may serve.
type world struct {
	t       *rapid.T
	now     time.Time
	runners map[string]*runner
	ids     []string
	ready   map[string]map[string]bool // by replica: members that were ready under it
	late    []delayed
	broken  string
}

type delayed struct {
	at      time.Time
	command fleet.Command
}

func newWorld(t *rapid.T, domains, each int) *world {
	w := &world{t: t, now: time.Unix(1000, 0), runners: map[string]*runner{}, ready: map[string]map[string]bool{}}
	for d := range domains {
		for i := range each {
			id := fmt.Sprintf("e%d-%d", d, i)
			w.runners[id] = &runner{id: id, domain: fmt.Sprintf("d%d", d), alive: true, born: w.now, freeAt: w.now}
			w.ids = append(w.ids, id)
		}
	}
	return w
}

var engine = &site.Engine{
	Slots: 17, LoadsPerSec: 5, MaxConcurrentLoads: 7,
	Models: []site.Model{
		{Name: "large", ReplicaSize: 4, InitialShare: 0.5, TimeFactor: 1, LoadTime: 16 * time.Second, WarmTime: 1600 * time.Millisecond},
		{Name: "small", ReplicaSize: 2, InitialShare: 0.5, TimeFactor: 0.6, LoadTime: 12 * time.Second, WarmTime: 1100 * time.Millisecond},
	},
}

// seen is the endpoints as the platform's list shows them.
func (w *world) seen() []fleet.Endpoint {
	var listed []fleet.Endpoint
	for _, id := range w.ids {
		runner := w.runners[id]
		if !runner.alive || runner.cut {
			continue
		}
		endpoint := fleet.Endpoint{
			ID: id, Domain: runner.domain, Address: id, StartedAt: runner.born, CommandCount: runner.orders, CommandCountKnown: true,
			Membership: fleet.Membership{Replica: runner.group, Epoch: runner.epoch, Rank: runner.rank, Phase: w.phase(runner)},
		}
		if runner.group == "" {
			endpoint.Membership = fleet.Membership{}
			endpoint.FreeSince = runner.freeAt
		}
		if runner.staged != "" {
			endpoint.Staged = []string{runner.staged}
		}
		listed = append(listed, endpoint)
	}
	return listed
}

func (w *world) phase(runner *runner) fleet.Phase {
	if runner.phase == fleet.PhaseJoining && !w.now.Before(runner.readyAt) {
		runner.phase = fleet.PhaseReady
		w.noteReady(runner)
	}
	return runner.phase
}

func (w *world) noteReady(runner *runner) {
	if w.ready[runner.group] == nil {
		w.ready[runner.group] = map[string]bool{}
	}
	w.ready[runner.group][runner.id] = true
}

// apply carries an order out as a runner does.
func (w *world) apply(command fleet.Command) fleet.Reply {
	runner := w.runners[command.Endpoint]
	if !runner.alive || runner.cut {
		return fleet.Unknown{}
	}
	w.phase(runner)
	if command.ExpectedCommandCount != runner.orders {
		return fleet.Rejected{}
	}
	switch order := command.Operation.(type) {
	case fleet.Join:
		return w.join(runner, order)
	case fleet.Open:
		if runner.group != order.Replica || runner.rank != 0 || runner.phase != fleet.PhaseReady {
			return fleet.Rejected{}
		}
		runner.phase = fleet.PhaseOpen
	case fleet.Close:
		if runner.group != order.Replica || runner.phase != fleet.PhaseOpen {
			return fleet.Rejected{}
		}
		runner.phase = fleet.PhaseReady
	case fleet.Leave:
		if runner.group != order.Replica {
			return fleet.AlreadyApplied{}
		}
		runner.former, runner.formerH = runner.group, runner.members[0]
		runner.group, runner.members, runner.phase, runner.stalled = "", nil, fleet.PhaseNone, time.Time{}
		runner.freeAt = w.now
		runner.orders++
		return fleet.AlreadyApplied{}
	case fleet.Stage:
		if runner.stages != "" {
			return fleet.Rejected{}
		}
		runner.stages, runner.stageAt = order.Model, w.now.Add(12*time.Second)
	}
	runner.orders++
	return fleet.Accepted{}
}

func (w *world) join(runner *runner, order fleet.Join) fleet.Reply {
	if order.Epoch < runner.epoch || order.Epoch == runner.epoch && runner.group == order.Replica && !slices.Equal(order.Members, runner.members) {
		return fleet.Rejected{}
	}
	if runner.group == order.Replica {
		return fleet.AlreadyApplied{}
	}
	w.checkTwo(runner, order)
	wait := 16 * time.Second
	model := engine.Models[1].Name
	if len(order.Members) == engine.Models[0].ReplicaSize {
		model = engine.Models[0].Name
	}
	switch {
	case runner.last == model:
		wait = 200 * time.Millisecond
	case runner.staged == model:
		wait = 1600 * time.Millisecond
	}
	runner.group, runner.epoch, runner.members = order.Replica, order.Epoch, order.Members
	runner.rank = slices.Index(order.Members, runner.id)
	runner.phase, runner.readyAt, runner.last, runner.stalled = fleet.PhaseJoining, w.now.Add(wait), model, time.Time{}
	runner.former = ""
	runner.orders++
	return fleet.Accepted{}
}

// checkTwo notes a member that joins another replica while the first host of
// its own one is open, also where that stands still and has not broken yet.
func (w *world) checkTwo(runner *runner, order fleet.Join) {
	group, head := runner.group, ""
	if group != "" {
		head = runner.members[0]
	} else if runner.former != "" {
		group, head = runner.former, runner.formerH
	}
	if group == "" || group == order.Replica {
		return
	}
	first := w.runners[head]
	if first.alive && first.group == group && first.phase == fleet.PhaseOpen {
		w.broken = fmt.Sprintf("%s joins %s while %s serves %s", runner.id, order.Replica, head, group)
	}
}

// advance lets time pass: late orders arrive, first hosts that lack a member
// stand still and break, and every one that does not is asked to run a request.
func (w *world) advance() {
	w.now = w.now.Add(step)
	for i := 0; i < len(w.late); i++ {
		if !w.now.Before(w.late[i].at) {
			w.apply(w.late[i].command)
			w.late = slices.Delete(w.late, i, i+1)
			i--
		}
	}
	for _, id := range w.ids {
		runner := w.runners[id]
		w.phase(runner)
		if runner.stages != "" && !w.now.Before(runner.stageAt) {
			runner.staged, runner.stages = runner.stages, ""
		}
		if runner.alive && runner.phase == fleet.PhaseOpen {
			w.serve(runner)
		}
	}
}

func (w *world) serve(head *runner) {
	for _, id := range head.members {
		member := w.runners[id]
		if !member.alive || member.group != head.group || member.cut != head.cut {
			if head.stalled.IsZero() {
				head.stalled = w.now
			}
			if w.now.Sub(head.stalled) >= stall {
				head.phase = fleet.PhaseBroken
			}
			if !w.ready[head.group][id] && member.alive {
				w.broken = fmt.Sprintf("%s serves %s and %s never was ready in it", head.id, head.group, id)
			}
			continue
		}
		if !w.ready[head.group][id] {
			w.broken = fmt.Sprintf("%s serves %s and %s never was ready in it", head.id, head.group, id)
		}
	}
}

// holder is a node that plans, or that stands still and believes that it does.
type holder struct {
	planner *fleet.Planner
	fence   int64
	frozen  bool
	told    fleet.HolderReport // by the holder before
	planned bool               // it has nothing to say before
	words   []fleet.HolderReport
}

// deliver sends a command with the fate drawn for it.
func (w *world) deliver(holder *holder, command fleet.Command, fate string) {
	reply := fleet.Reply(fleet.Unknown{})
	switch fate {
	case "answered":
		reply = w.apply(command)
	case "answer lost":
		w.apply(command)
	case "late":
		w.late = append(w.late, delayed{at: w.now.Add(time.Duration(rapid.IntRange(2000, 12000).Draw(w.t, "late")) * time.Millisecond), command: command})
	}
	holder.planner.Resolve(w.now, command, reply)
	w.t.Logf("%s fence %d: %s %+v: %s, %T", w.now.Sub(time.Unix(1000, 0)), holder.fence, command.Endpoint, command.Operation, fate, reply)
}

func (w *world) plan(holder *holder, fates []string) {
	if holder.frozen {
		return
	}
	input := fleet.Input{Now: w.now, Fence: holder.fence, Engine: engine, Endpoints: w.seen(), Unresponsive: map[string]bool{}, InFlight: map[string]int{}}
	input.HolderReport = holder.told
	if holder.planned {
		holder.words = append(holder.words, fleet.HolderReport{Fence: holder.fence, ReceivedAt: w.now, Quarantined: heldOf(holder.planner, w.now)})
	}
	holder.planned = true
	for _, command := range holder.planner.Plan(input) {
		w.deliver(holder, command, rapid.SampledFrom(fates).Draw(w.t, "fate"))
	}
}

func heldOf(planner *fleet.Planner, now time.Time) map[string]bool {
	held := map[string]bool{}
	for _, id := range planner.Quarantined(now) {
		held[id] = true
	}
	return held
}

// told draws which word of a holder is the last that another node heard: from
// before its latest plans or long ago, and heard up to half a second late.
func (w *world) told(holder *holder) fleet.HolderReport {
	if len(holder.words) == 0 {
		return fleet.HolderReport{}
	}
	ago := rapid.IntRange(1, min(len(holder.words), 30)).Draw(w.t, "word")
	holderreport := holder.words[len(holder.words)-ago]
	late := time.Duration(rapid.IntRange(0, 500).Draw(w.t, "heard late")) * time.Millisecond
	holderreport.ReceivedAt = holderreport.ReceivedAt.Add(late)
	return holderreport
}

// TestPromisesOfPlacement runs holders that replace one another over runners
// that die, restart under their id, are cut off and return, while orders and
// answers are lost or late.
func TestPromisesOfPlacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 2, 6)
		fates := []string{"answered", "answered", "answered", "answered", "answer lost", "late", "dropped"}
		current := &holder{planner: fleet.NewPlanner(fleet.DefaultPolicy(), "llm"), fence: 1}
		var former *holder // goes on beside the new one for a while
		var formerUntil time.Time
		for range rapid.IntRange(100, 400).Draw(t, "steps") {
			w.trouble(rapid.IntRange(0, 60).Draw(t, "trouble"))
			if rapid.IntRange(0, 80).Draw(t, "change of holder") == 0 {
				holderreport := w.told(current)
				former, formerUntil = current, w.now.Add(time.Duration(rapid.IntRange(0, 15).Draw(t, "former goes on"))*time.Second)
				current = &holder{planner: fleet.NewPlanner(fleet.DefaultPolicy(), "llm"), fence: current.fence + 1, told: holderreport}
			}
			w.plan(current, fates)
			if w.now.Before(formerUntil) {
				w.plan(former, fates)
			}
			w.advance()
			if w.broken != "" {
				t.Fatalf("after %s: %s", w.now.Sub(time.Unix(1000, 0)), w.broken)
			}
		}
	})
}

// trouble strikes one runner where the number drawn says so.
func (w *world) trouble(number int) {
	if number > 4 {
		return
	}
	runner := w.runners[rapid.SampledFrom(w.ids).Draw(w.t, "runner")]
	w.t.Logf("%s trouble %d at %s", w.now.Sub(time.Unix(1000, 0)), number, runner.id)
	switch number {
	case 0:
		runner.alive = false
	case 1:
		w.restart(runner)
	case 2, 3:
		runner.cut = !runner.cut
	case 4:
		for _, id := range w.ids {
			if w.runners[id].domain == runner.domain {
				w.runners[id].cut = !runner.cut
			}
		}
	}
}

func (w *world) restart(old *runner) {
	w.runners[old.id] = &runner{id: old.id, domain: old.domain, alive: true, born: w.now, freeAt: w.now, staged: old.staged}
}

// TestAllServeAfterCalm has every runner alive and every order answered: all
// that can serve do.
func TestAllServeAfterCalm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 2, 6)
		current := &holder{planner: fleet.NewPlanner(fleet.DefaultPolicy(), "llm"), fence: 1}
		for range rapid.IntRange(50, 200).Draw(t, "steps") {
			w.trouble(rapid.IntRange(0, 40).Draw(t, "trouble"))
			w.plan(current, []string{"answered", "answer lost", "dropped"})
			w.advance()
		}
		for _, id := range w.ids {
			if !w.runners[id].alive {
				w.restart(w.runners[id])
			}
			w.runners[id].cut = false
		}
		for range 700 {
			w.plan(current, []string{"answered"})
			w.advance()
		}
		serving := fleet.ServingReplicas(engine, w.seen(), func(string) bool { return false })
		hosts := 0
		for _, replica := range serving {
			model, _ := engine.Model(replica.Model)
			hosts += model.ReplicaSize
		}
		if hosts < 8 {
			stats := current.planner.Stats(fleet.Input{Now: w.now, Engine: engine, Endpoints: w.seen()})
			t.Fatalf("%d of 12 hosts serve: %+v", hosts, stats)
		}
	})
}
