package queue_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/batch"
	"hickorybend/core/queue"
	"hickorybend/core/reach"
	"hickorybend/core/site"
)

// The replays serve one model of a deployment in three zones without a network. Engines work
// in passes as package batch describes; figures of other nodes and zones are as old as they
// are between processes.

var engine = &site.Engine{
	Slots: 34, StepTime: 6070 * time.Microsecond, StepPerSlot: 241 * time.Microsecond, PrefillTokensPerSec: 46000, PassSteps: 5, PassTokens: 2048,
}

// kind is one kind of request.
type kind struct {
	name      string
	work      batch.Work
	perSecond float64
	objective time.Duration
	priority  int
	burst     float64 // factor on the rate from the 10th to the 14th second
}

// load is what a replay serves.
type load struct {
	kinds    []kind
	replicas []int // number in each zone
	factor   float64
	scale    float64 // on the rates
	swing    float64 // of the rate, as a fraction
	nodes    int
	seconds  float64
	allRetry bool // the callers that are rejected all return at once
}

const (
	zones      = 3
	period     = 13.0 // seconds
	timeout    = 4 * time.Second
	pauseAim   = 300 * time.Millisecond
	lateValue  = 0.25
	reportLag  = 25 * time.Millisecond // of a report of start or end, on average
	digestLag  = 250 * time.Millisecond
	answerSpan = 2.0
)

// call is a request of a caller.
type call struct {
	kind       *kind
	work       batch.Work
	zone, node int
	arrivedAt  time.Time
	retried    bool
	replica    *sim
	left       float64 // prompt tokens, then answer tokens
	firstAt    time.Time
	lastAt     time.Time
	pause      time.Duration
	key        queue.Key
}

// sim is a replica.
type sim struct {
	id      string
	zone    int
	speed   batch.Replica
	waiting []*call // for a slot or for prefill
	decodes []*call
	idle    bool
}

func (sim *sim) inFlight() int { return len(sim.waiting) + len(sim.decodes) }

func (sim *sim) pendingTokens() int {
	tokens := 0
	for _, call := range sim.waiting {
		tokens += call.work.PromptTokens
	}
	return tokens
}

// happening is something that happens at a time.
type happening struct {
	at    time.Time
	order int
	do    func(now time.Time)
}

type happenings []happening

func (happenings happenings) Len() int { return len(happenings) }
func (happenings happenings) Less(a, b int) bool {
	if !happenings[a].at.Equal(happenings[b].at) {
		return happenings[a].at.Before(happenings[b].at)
	}
	return happenings[a].order < happenings[b].order
}
func (happenings happenings) Swap(a, b int) {
	happenings[a], happenings[b] = happenings[b], happenings[a]
}
func (happenings *happenings) Push(any any) { *happenings = append(*happenings, any.(happening)) }
func (happenings *happenings) Pop() any {
	last := (*happenings)[len(*happenings)-1]
	*happenings = (*happenings)[:len(*happenings)-1]
	return last
}

// chooser decides where calls are served.
type chooser interface {
	arrive(call *call, now time.Time)
	started(call *call, now time.Time)
	ended(call *call, now time.Time)
}

// world is a replay.
type world struct {
	load    load
	random  *rand.Rand // of the calls, the same whoever chooses
	choice  *rand.Rand // of the choices
	sims    []*sim
	future  happenings
	order   int
	chooser chooser
	scores  map[string]*tally
	start   time.Time
}

// tally counts the outcomes of a kind.
type tally struct{ offered, onTime, late, rejected int }

func (tally *tally) value() float64 {
	return (float64(tally.onTime) + lateValue*float64(tally.late)) / float64(max(1, tally.offered))
}

func (world *world) at(at time.Time, do func(now time.Time)) {
	world.order++
	heap.Push(&world.future, happening{at: at, order: world.order, do: do})
}

// replay runs a load and returns the outcomes by kind.
func replay(load load, seed uint64, newChooser func(world *world) chooser) map[string]*tally {
	world := &world{load: load, random: rand.New(rand.NewPCG(seed, 1)), choice: rand.New(rand.NewPCG(seed, 2)), scores: map[string]*tally{}, start: time.Unix(1000, 0)}
	for zone, count := range load.replicas {
		for i := range count {
			world.sims = append(world.sims, &sim{id: fmt.Sprintf("z%d-%d", zone, i), zone: zone, idle: true, speed: batch.Replica{Engine: engine, Model: site.Model{TimeFactor: load.factor}}})
		}
	}
	world.chooser = newChooser(world)
	for i := range load.kinds {
		world.scores[load.kinds[i].name] = &tally{}
		world.at(world.start, func(now time.Time) { world.offer(&load.kinds[i], now) })
	}
	for world.future.Len() > 0 {
		next := heap.Pop(&world.future).(happening)
		next.do(next.at)
	}
	return world.scores
}

// offer has the next calls of a kind arrive: at the peak rate, thinned to the present one.
func (world *world) offer(kind *kind, now time.Time) {
	elapsed := now.Sub(world.start).Seconds()
	if elapsed > world.load.seconds {
		return
	}
	peak := kind.perSecond * world.load.scale * (1 + world.load.swing) * max(1, kind.burst)
	rate := kind.perSecond * world.load.scale * (1 + world.load.swing*math.Sin(2*math.Pi*elapsed/period))
	if kind.burst > 0 && elapsed >= 10 && elapsed < 14 {
		rate *= kind.burst
	}
	if world.random.Float64() < rate/peak {
		spread := math.Exp(0.5*world.random.NormFloat64() - 0.125)
		call := &call{kind: kind, zone: world.random.IntN(zones), arrivedAt: now, work: batch.Work{
			PromptTokens: max(16, int(float64(kind.work.PromptTokens)*spread)), AnswerTokens: 1 + int(float64(kind.work.AnswerTokens-1)*world.random.ExpFloat64())}}
		call.node = call.zone*world.load.nodes/zones + world.random.IntN(world.load.nodes/zones)
		world.scores[kind.name].offered++
		world.chooser.arrive(call, now)
	}
	world.at(now.Add(time.Duration(world.random.ExpFloat64()/peak*float64(time.Second))), func(now time.Time) { world.offer(kind, now) })
}

// send has a replica serve a call.
func (world *world) send(call *call, sim *sim, now time.Time) {
	delay := 2 * time.Millisecond
	if call.zone != sim.zone {
		delay = 3 * time.Millisecond
	}
	call.replica, call.left = sim, float64(call.work.PromptTokens)
	world.at(now.Add(delay), func(now time.Time) {
		sim.waiting = append(sim.waiting, call)
		if sim.idle {
			sim.idle = false
			world.pass(sim, now)
		}
	})
}

// pass runs one pass of a replica: a chunk of prefill, and steps of decoding.
func (world *world) pass(sim *sim, now time.Time) {
	took := time.Duration(0)
	if len(sim.decodes) > 0 {
		took = time.Duration(float64(engine.PassSteps) * float64(sim.speed.StepTime(batch.Load{Running: len(sim.decodes)})))
	}
	var ready []*call
	budget := float64(engine.PassTokens)
	used := 0.0
	for len(sim.waiting) > 0 && budget > 0 && len(sim.decodes)+len(ready) < engine.Slots {
		first := sim.waiting[0]
		tokens := min(first.left, budget)
		first.left, budget, used = first.left-tokens, budget-tokens, used+tokens
		if first.left <= 0 {
			ready, sim.waiting = append(ready, first), sim.waiting[1:]
		}
	}
	took += sim.speed.PrefillTime(int(used))
	if took <= 0 {
		sim.idle = true
		return
	}
	decoded := sim.decodes
	world.at(now.Add(took), func(now time.Time) { world.endPass(sim, decoded, ready, now) })
}

func (world *world) endPass(sim *sim, decoded, ready []*call, now time.Time) {
	sim.decodes = nil
	for _, call := range decoded {
		if call.firstAt.IsZero() {
			call.firstAt = now
			world.chooser.started(call, now)
		} else {
			call.pause = max(call.pause, now.Sub(call.lastAt))
		}
		call.lastAt = now
		if call.left -= float64(engine.PassSteps); call.left > 0 {
			sim.decodes = append(sim.decodes, call)
			continue
		}
		world.end(call, now)
	}
	for _, call := range ready {
		call.left = float64(call.work.AnswerTokens)
		sim.decodes = append(sim.decodes, call)
	}
	world.pass(sim, now)
}

// end counts a call that has been served.
func (world *world) end(call *call, now time.Time) {
	world.chooser.ended(call, now)
	score := world.scores[call.kind.name]
	if call.firstAt.Sub(call.arrivedAt) <= call.kind.objective && call.pause <= pauseAim {
		score.onTime++
		return
	}
	score.late++
}

// reject has a caller return at a time, once; one that has is lost. The objective counts from
// its return: a call that is retried and served on time has its full value.
func (world *world) reject(call *call, retryAt, now time.Time) {
	if call.retried || retryAt.Sub(now) > timeout/3 {
		world.scores[call.kind.name].rejected++
		return
	}
	call.retried = true
	if world.load.allRetry {
		retryAt = now.Add(300 * time.Millisecond)
	}
	world.at(retryAt, func(now time.Time) {
		call.arrivedAt = now
		world.chooser.arrive(call, now)
	})
}

// byStale chooses as nodes do by themselves: the best of a sample by stale figures.
type byStale struct {
	world  *world
	policy reach.Policy
	pools  []*reach.ServicePool
}

func newStale(world *world) chooser {
	stale := &byStale{world: world, policy: reach.DefaultPolicy()}
	for node := range world.load.nodes {
		pool := &reach.ServicePool{Service: "s", Engine: engine, Models: map[string][]*reach.Candidate{}}
		for _, sim := range world.sims {
			pool.Models["m"] = append(pool.Models["m"], &reach.Candidate{
				ID: sim.id, SameZone: sim.zone == node*zones/world.load.nodes, Slots: engine.Slots, PrefillTokensPerSec: engine.PrefillTokensPerSec / world.load.factor, TieBreak: world.choice.Float64(), Speed: reach.Speed{Replica: sim.speed}, Load: &reach.Load{}})
		}
		stale.pools = append(stale.pools, pool)
		world.at(world.start.Add(time.Duration(world.choice.Float64()*float64(time.Second))), func(now time.Time) { stale.refresh(node, now) })
	}
	return stale
}

// refresh has a node learn what the others have at each replica, which it applies later.
func (stale *byStale) refresh(node int, now time.Time) {
	if now.Sub(stale.world.start).Seconds() > stale.world.load.seconds+answerSpan {
		return
	}
	for i, sim := range stale.world.sims {
		load := stale.pools[node].Models["m"][i].Load
		inFlight, pending := sim.inFlight()-load.OwnInFlight(), sim.pendingTokens()-load.OwnPendingTokens()
		stale.world.at(now.Add(300*time.Millisecond), func(time.Time) { load.SetPeerLoad(max(0, inFlight), max(0, pending)) })
	}
	stale.world.at(now.Add(time.Duration((0.2+0.3*stale.world.choice.Float64())*float64(time.Second))), func(now time.Time) { stale.refresh(node, now) })
}

func (stale *byStale) arrive(call *call, now time.Time) {
	decision := reach.Choose(stale.policy, stale.pools[call.node], reach.Request{
		Model: "m", Now: now, Deadline: call.arrivedAt.Add(call.kind.objective), Priority: call.kind.priority, SampleSize: 3, Random: stale.world.choice.Float64(), PromptTokens: call.work.PromptTokens})
	stale.world.follow(decision, call, stale.load, now)
}

// follow sends or rejects a call as package reach has decided. load returns what a call's node knows of a replica.
func (world *world) follow(decision reach.Decision, call *call, load func(call *call, sim int) *reach.Load, now time.Time) {
	switch decision := decision.(type) {
	case reach.Send:
		for i, sim := range world.sims {
			if sim.id == decision.Candidate.ID {
				load(call, i).Begin()
				load(call, i).AddPendingTokens(call.work.PromptTokens)
				call.key.ID = uint64(i)
				world.send(call, sim, now)
			}
		}
	case reach.Reject:
		world.reject(call, decision.RetryAt, now)
	}
}

func (stale *byStale) load(call *call, sim int) *reach.Load {
	return stale.pools[call.node].Models["m"][sim].Load
}

func (stale *byStale) started(call *call, _ time.Time) {
	stale.load(call, int(call.key.ID)).AddPendingTokens(-call.work.PromptTokens)
}
func (stale *byStale) ended(call *call, now time.Time) {
	load := stale.load(call, int(call.key.ID))
	load.End()
	load.RecordResult(now, false, now.Sub(call.arrivedAt))
}

// firstCome sends each call, in the order in which they come, to the replica with the fewest
// requests, which it knows exactly.
type firstCome struct{ world *world }

func newFirstCome(world *world) chooser { return &firstCome{world: world} }

func (firstcome *firstCome) arrive(call *call, now time.Time) {
	best := firstcome.world.sims[0]
	for _, sim := range firstcome.world.sims {
		if sim.inFlight() < best.inFlight() {
			best = sim
		}
	}
	firstcome.world.send(call, best, now)
}
func (firstcome *firstCome) started(*call, time.Time) {}
func (firstcome *firstCome) ended(*call, time.Time)   {}

// byLeader has one queue in each zone.
type byLeader struct {
	world  *world
	queues []*queue.Queue
	byID   map[string]*sim
	nextID uint64
}

func newLeaders(world *world) chooser {
	leaders := &byLeader{world: world, byID: map[string]*sim{}}
	for zone := range zones {
		each := queue.New(rejecting())
		var replicas []queue.Replica
		for _, sim := range world.sims {
			leaders.byID[sim.id] = sim
			replicas = append(replicas, queue.Replica{ID: sim.id, Speed: sim.speed, Slots: engine.Slots, SameZone: sim.zone == zone})
		}
		each.SetReplicas(replicas)
		leaders.queues = append(leaders.queues, each)
	}
	world.at(world.start, leaders.exchange)
	return leaders
}

// exchange has each leader learn the counts of the others, which are digestLag old.
func (leaders *byLeader) exchange(now time.Time) {
	if now.Sub(leaders.world.start).Seconds() > leaders.world.load.seconds+answerSpan {
		return
	}
	for zone, each := range leaders.queues {
		sum := map[string]queue.Counts{}
		for other, others := range leaders.queues {
			for id, counts := range others.InFlight() {
				if other != zone {
					sum[id] = queue.Counts{InFlight: sum[id].InFlight + counts.InFlight, PendingTokens: sum[id].PendingTokens + counts.PendingTokens}
				}
			}
		}
		leaders.world.at(now.Add(digestLag), func(time.Time) {
			for id, counts := range sum {
				each.SetOthers(id, counts)
			}
		})
	}
	leaders.world.at(now.Add(100*time.Millisecond), leaders.exchange)
}

func (leaders *byLeader) arrive(call *call, now time.Time) {
	leaders.nextID++
	call.key = queue.Key{Node: "n", ID: leaders.nextID}
	decision := leaders.queues[call.zone].Place(queue.Request{
		Key: call.key, Work: call.work, FirstBy: call.arrivedAt.Add(call.kind.objective), Deadline: now.Add(timeout), Pause: pauseAim, Priority: call.kind.priority, Team: call.kind.name}, now)
	switch decision := decision.(type) {
	case queue.Assign:
		leaders.world.send(call, leaders.byID[decision.Replica], now.Add(time.Millisecond))
	case queue.Reject:
		leaders.world.reject(call, decision.RetryAt, now)
	}
}

func (leaders *byLeader) started(call *call, now time.Time) {
	leaders.world.at(now.Add(reportLag), func(time.Time) { leaders.queues[call.zone].Started(call.key) })
}
func (leaders *byLeader) ended(call *call, now time.Time) {
	leaders.world.at(now.Add(reportLag), func(time.Time) { leaders.queues[call.zone].Ended(call.key) })
}

// largeModel is the load of the larger model of a large deployment, and smallModel that of
// its smaller one.
func largeModel(scale float64, replicas ...int) load {
	return load{
		kinds: []kind{
			{name: "long", work: batch.Work{PromptTokens: 1460, AnswerTokens: 116}, perSecond: 50.4, objective: 500 * time.Millisecond, priority: 2},
			{name: "brief", work: batch.Work{PromptTokens: 2000, AnswerTokens: 23}, perSecond: 31.5, objective: 500 * time.Millisecond, priority: 2},
		},
		replicas: replicas, factor: 1, scale: scale, swing: 0.55, nodes: 132, seconds: 52,
	}
}

func smallModel(scale float64) load {
	return load{
		kinds:    []kind{{name: "small", work: batch.Work{PromptTokens: 714, AnswerTokens: 116}, perSecond: 306, objective: 300 * time.Millisecond, priority: 2}},
		replicas: []int{6, 6, 6}, factor: 0.6, scale: scale, swing: 0.55, nodes: 132, seconds: 39,
	}
}

// value returns the value served over that offered, of all kinds.
func value(scores map[string]*tally) float64 {
	sum, offered := 0.0, 0
	for _, score := range scores {
		sum += score.value() * float64(score.offered)
		offered += score.offered
	}
	return sum / float64(offered)
}

// TestReplay checks that a queue in each zone serves more value than nodes that choose by
// stale figures from a sample, and not much less than one queue that knows all at once. Without
// rejections the latter makes all late beyond the capacity.
func TestReplay(t *testing.T) {
	burst := largeModel(1, 3, 3, 3)
	burst.kinds[1].burst = 3
	urgent := largeModel(1.3, 3, 3, 3)
	urgent.kinds[1].priority = 0
	returning := largeModel(1.3, 3, 3, 3)
	returning.allRetry = true
	sizes := func(scale float64) load {
		load := largeModel(scale, 3, 3, 3)
		load.kinds = []kind{
			{name: "short", work: batch.Work{PromptTokens: 400, AnswerTokens: 60}, perSecond: 100, objective: 500 * time.Millisecond, priority: 2},
			{name: "huge", work: batch.Work{PromptTokens: 3500, AnswerTokens: 60}, perSecond: 22, objective: 500 * time.Millisecond, priority: 2},
		}
		return load
	}
	for _, test := range []struct {
		name string
		load load
		gain float64 // in value over nodes that choose alone
	}{
		{"short and huge prompts 1.0", sizes(1), 0},
		{"short and huge prompts 1.3", sizes(1.3), 0.1},
		{"short and huge prompts 2.0", sizes(2), 0.1},
		{"large 0.8, 9 replicas", largeModel(0.8, 3, 3, 3), 0.05},
		{"large 1.0, 9 replicas", largeModel(1, 3, 3, 3), 0.1},
		{"large 1.0, 9 replicas unevenly", largeModel(1, 5, 3, 1), 0.1},
		{"large 1.3, 9 replicas", largeModel(1.3, 3, 3, 3), 0.2},
		{"large 1.3, all return at once", returning, 0.2},
		{"large 1.3, long prompts urgent", urgent, 0.2},
		{"large 1.0, burst of long prompts", burst, 0.1},
		{"large 1.0, 6 replicas", largeModel(1, 2, 2, 2), 0.2},
		{"large 2.0, 9 replicas", largeModel(2, 3, 3, 3), 0.2},
		{"small 0.8", smallModel(0.8), 0.03},
		{"small 1.0", smallModel(1), 0.1},
		{"small 1.3", smallModel(1.3), 0.15},
	} {
		t.Run(test.name, func(t *testing.T) {
			stale, first, leaders := replay(test.load, 1, newStale), replay(test.load, 1, newFirstCome), replay(test.load, 1, newLeaders)
			if os.Getenv("REPLAY") != "" {
				for name := range leaders {
					t.Logf("%s: stale %+v, first-come %+v, leaders %+v", name, *stale[name], *first[name], *leaders[name])
				}
			}
			t.Logf("value: stale %.3f, first-come %.3f, leaders %.3f", value(stale), value(first), value(leaders))
			assert.Assert(t, value(leaders) > value(stale)+test.gain)
			assert.Assert(t, value(leaders) > value(first)-0.02)
			expectShares(t, leaders)
		})
	}
}

// expectShares checks that no kind is served on time less than a third as often as the best one.
func expectShares(t *testing.T, scores map[string]*tally) {
	t.Helper()
	least, most := 1.0, 0.0
	for _, score := range scores {
		share := float64(score.onTime) / float64(max(1, score.offered))
		least, most = min(least, share), max(most, share)
	}
	assert.Assert(t, least >= most/3, "%.3f and %.3f", least, most)
}
