package reach_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/batch"
	"hickorybend/core/reach"
	"hickorybend/core/site"
)

const (
	replayZones  = 3
	replayFor    = 40 * time.Second
	replayAnswer = 116 // tokens, mean
	replayPrompt = 1460
	bytesOfToken = 4
)

var replayEngine = &site.Engine{
	Slots: 20, StepTime: 6070 * time.Microsecond, StepPerSlot: 241 * time.Microsecond, PrefillTokensPerSec: 46000, PassSteps: 5, PassTokens: 2048,
	UsualPromptTokens: replayPrompt, UsualAnswerTokens: replayAnswer,
}

// replayShape is a deployment.
type replayShape struct {
	name      string
	replicas  int // of a zone
	nodes     int // of a zone
	objective time.Duration
	rate      float64       // requests per second that a replica serves on time
	lag       time.Duration // age of the other nodes' figures
	delay     time.Duration // between zones
}

// replayShapes are many nodes whose requests are drawn from all replicas, many whose zone has
// enough of them to draw from, and few nodes that compare all.
var replayShapes = []replayShape{
	{"many nodes", 4, 8, 500 * time.Millisecond, 7.5, time.Second, 3 * time.Millisecond},
	{"many replicas", 8, 8, 500 * time.Millisecond, 7.5, time.Second, 900 * time.Microsecond},
	{"few nodes", 2, 2, 350 * time.Millisecond, 5, 100 * time.Millisecond, 3 * time.Millisecond},
}

// replayRequest is a request in a replay.
type replayRequest struct {
	node, prompt, answer int
	cameAt, arrivesAt    time.Duration
	load                 *reach.Load
	held                 int // tokens of its prompt and answer
	away                 bool
	begun                bool
	rest                 int // prompt tokens to prefill
}

// replayReplica is an engine as core/batch describes it.
type replayReplica struct {
	zone             int
	gone             bool
	held             int // tokens of the requests that were sent to it
	coming           []*replayRequest
	waiting, running []*replayRequest
	passEnds         time.Duration
	prefilled        []*replayRequest // by the present pass
	decoding         int              // requests that the present pass decodes, the first of running
}

// replayCase is what happens in a replay.
type replayCase struct {
	name string
	load func(zone int, node float64, at time.Duration) float64 // of what the replicas of a zone serve on time
	lost func(zone int, replica float64, at time.Duration) bool // gone from then on
	lag  time.Duration                                          // age of the other nodes' figures; that of the shape if 0
}

// replayResult is what callers saw, and what went between zones.
type replayResult struct {
	requests, onTime, late, rejected int
	megabytes                        float64
	mostHeld                         int     // tokens at one replica
	swing                            float64 // mean change of the fraction that goes to another zone, from one half second to the next
}

// value counts a late answer as a quarter.
func (replayresult replayResult) value() float64 {
	return (float64(replayresult.onTime) + float64(replayresult.late)/4) / float64(replayresult.requests)
}

func (replayresult replayResult) String() string {
	return fmt.Sprintf("%d requests, on time %.3f, late %.3f, rejected %.3f, value %.3f, %.1f MB between zones, swing %.3f", replayresult.requests,
		float64(replayresult.onTime)/float64(replayresult.requests), float64(replayresult.late)/float64(replayresult.requests),
		float64(replayresult.rejected)/float64(replayresult.requests), replayresult.value(), replayresult.megabytes, replayresult.swing)
}

// replay is the nodes and replicas of a replay.
type replay struct {
	replayCase
	shape    replayShape
	policy   reach.Policy
	random   *rand.Rand
	now      time.Duration
	replicas []*replayReplica
	nodes    [][]*reach.Candidate // by node, in the order of the replicas
	history  [][][]int            // per 50 ms: in flight, pending and held tokens by node and replica, three numbers each
	result   replayResult
	away     []float64 // requests that went to another zone, by half second
	sent     []float64 // all that were sent
}

const (
	replayTick   = time.Millisecond
	replayDigest = 50 * time.Millisecond
)

func newReplay(replaycase replayCase, replayshape replayShape, spills bool, seed uint64) *replay {
	replaycase.lag = cmp.Or(replaycase.lag, replayshape.lag)
	replay := &replay{replayCase: replaycase, shape: replayshape, policy: reach.DefaultPolicy(), random: rand.New(rand.NewPCG(seed, 7))}
	for i := range replayZones * replayshape.replicas {
		replay.replicas = append(replay.replicas, &replayReplica{zone: i / replayshape.replicas})
	}
	for node := range replayZones * replayshape.nodes {
		var candidates []*reach.Candidate
		for i, replica := range replay.replicas {
			candidate := &reach.Candidate{ID: fmt.Sprint(i), SameZone: replica.zone == node/replayshape.nodes, Slots: replayEngine.Slots, PrefillTokensPerSec: replayEngine.PrefillTokensPerSec, TieBreak: replay.random.Float64(), Load: &reach.Load{}}
			if spills {
				candidate.Speed = reach.Speed{Replica: batch.Replica{Engine: replayEngine, Model: site.Model{TimeFactor: 1}}, DelayKnown: true}
				if !candidate.SameZone {
					candidate.Speed.Delay = replayshape.delay
				}
			}
			candidates = append(candidates, candidate)
		}
		replay.nodes = append(replay.nodes, candidates)
	}
	return replay
}

// run plays the case and returns the result.
func (replay *replay) run() replayResult {
	for ; replay.now < replayFor; replay.now += replayTick {
		if replay.now%replayDigest == 0 {
			replay.exchange()
		}
		for node := range replay.nodes {
			shape := replay.shape
			rate := replay.load(node/shape.nodes, float64(node%shape.nodes)/float64(shape.nodes), replay.now) * shape.rate * float64(shape.replicas) / float64(shape.nodes)
			if replay.random.Float64() < rate*replayTick.Seconds() {
				replay.send(node)
			}
		}
		for i, replica := range replay.replicas {
			if replay.lost != nil && !replica.gone && replay.lost(replica.zone, float64(i%replay.shape.replicas)/float64(replay.shape.replicas), replay.now) {
				replay.lose(replica)
			}
			replay.step(replica)
		}
	}
	replay.measureSwing()
	return replay.result
}

// exchange records what each node has at the replicas, and tells each the others' figures, which
// are as old as the lag.
func (replay *replay) exchange() {
	var present [][]int
	for _, candidates := range replay.nodes {
		var figures []int
		for _, candidate := range candidates {
			figures = append(figures, candidate.Load.OwnInFlight(), candidate.Load.OwnPendingTokens(), candidate.Load.OwnHeldTokens())
		}
		present = append(present, figures)
	}
	replay.history = append(replay.history, present)
	past := replay.history[max(0, len(replay.history)-1-int(replay.lag/replayDigest))]
	for node, candidates := range replay.nodes {
		for i, candidate := range candidates {
			inFlight, pending, held := 0, 0, 0
			for other, figures := range past {
				if other != node {
					inFlight, pending, held = inFlight+figures[3*i], pending+figures[3*i+1], held+figures[3*i+2]
				}
			}
			candidate.Load.SetPeerLoad(inFlight, pending)
			candidate.Load.SetPeerHeldTokens(held)
		}
	}
}

// send lets a node choose a replica for a new request.
func (replay *replay) send(node int) {
	request := &replayRequest{node: node, cameAt: replay.now, prompt: 1 + int(replay.random.ExpFloat64()*replayPrompt/2+replayPrompt/2), answer: 5 + int(replay.random.ExpFloat64()*(replayAnswer-5))}
	request.rest = request.prompt
	now := start.Add(replay.now)
	var usable []*reach.Candidate
	for i, candidate := range replay.nodes[node] {
		if !replay.replicas[i].gone {
			usable = append(usable, candidate)
		}
	}
	decision := reach.Choose(replay.policy, poolOf(usable...), reach.Request{
		Model: "m", Now: now, Deadline: now.Add(replay.shape.objective), Priority: 2, SampleSize: replay.policy.SampleSizeFor(len(replay.nodes)), Random: replay.random.Float64(),
		Nodes: len(replay.nodes), PromptTokens: request.prompt, AnswerTokens: request.answer, Bytes: (request.prompt + replayAnswer) * bytesOfToken,
	})
	replay.result.requests++
	sent, isSent := decision.(reach.Send)
	if !isSent {
		replay.result.rejected++
		return
	}
	var index int
	_, _ = fmt.Sscan(sent.Candidate.ID, &index)
	request.load, request.away, request.arrivesAt = sent.Candidate.Load, !sent.Candidate.SameZone, replay.now+replayTick
	period := int(replay.now / (500 * time.Millisecond))
	for len(replay.sent) <= period {
		replay.sent, replay.away = append(replay.sent, 0), append(replay.away, 0)
	}
	replay.sent[period]++
	if request.away {
		request.arrivesAt += replay.shape.delay
		replay.away[period]++
		replay.result.megabytes += float64((request.prompt+request.answer)*bytesOfToken) / 1e6
	}
	request.load.Begin()
	request.load.AddPendingTokens(request.prompt)
	request.held = request.prompt + request.answer
	request.load.Hold(request.held, now)
	replay.replicas[index].held += request.held
	replay.result.mostHeld = max(replay.result.mostHeld, replay.replicas[index].held)
	replay.replicas[index].coming = append(replay.replicas[index].coming, request)
}

// limitMemory has the nodes heed that the replicas' memory holds so many tokens.
func (replay *replay) limitMemory(tokens int) *replay {
	for _, candidates := range replay.nodes {
		for _, candidate := range candidates {
			candidate.MemoryTokens = tokens
		}
	}
	return replay
}

// step lets a replica take what has arrived, and end its pass and begin the next one if it is due.
func (replay *replay) step(replica *replayReplica) {
	for len(replica.coming) > 0 && replica.coming[0].arrivesAt <= replay.now {
		replica.waiting, replica.coming = append(replica.waiting, replica.coming[0]), replica.coming[1:]
	}
	if replica.gone || replay.now < replica.passEnds {
		return
	}
	replay.endPass(replica)
	decode := time.Duration(0)
	if replica.decoding = len(replica.running); replica.decoding > 0 {
		decode = time.Duration(replayEngine.PassSteps) * (replayEngine.StepTime + time.Duration(replica.decoding)*replayEngine.StepPerSlot)
	}
	left := replayEngine.PassTokens
	for len(replica.waiting) > 0 && left > 0 && len(replica.running)+len(replica.prefilled) < replayEngine.Slots {
		first := replica.waiting[0]
		chunk := min(left, first.rest)
		first.rest, left = first.rest-chunk, left-chunk
		if first.rest > 0 {
			break
		}
		replica.prefilled, replica.waiting = append(replica.prefilled, first), replica.waiting[1:]
	}
	prefill := time.Duration(float64(replayEngine.PassTokens-left) / replayEngine.PrefillTokensPerSec * float64(time.Second))
	replica.passEnds = replay.now + decode + prefill
}

// endPass gives the requests that were decoded their tokens, and lets the prefilled ones run.
func (replay *replay) endPass(replica *replayReplica) {
	var running []*replayRequest
	for i, request := range replica.running {
		if i < replica.decoding {
			replay.giveTokens(replica, request)
		}
		if request.answer > 0 {
			running = append(running, request)
		}
	}
	replica.running, replica.prefilled = append(running, replica.prefilled...), nil
}

func (replay *replay) giveTokens(replica *replayReplica, request *replayRequest) {
	if !request.begun {
		request.begun = true
		request.load.AddPendingTokens(-request.prompt)
		took := replay.now - request.cameAt
		if request.away {
			took += replay.shape.delay
		}
		if took <= replay.shape.objective {
			replay.result.onTime++
		} else {
			replay.result.late++
		}
	}
	if request.answer -= replayEngine.PassSteps; request.answer <= 0 {
		replica.held -= request.held
		request.load.EndHold(request.held)
		request.load.End()
	}
}

// lose ends a replica with its requests, which nobody counts as served.
func (replay *replay) lose(replica *replayReplica) {
	replica.gone = true
	for _, requests := range [][]*replayRequest{replica.coming, replica.waiting, replica.running, replica.prefilled} {
		for _, request := range requests {
			if !request.begun {
				request.load.AddPendingTokens(-request.prompt)
			}
			request.load.EndHold(request.held)
			request.load.End()
		}
	}
}

func (replay *replay) measureSwing() {
	for period := 1; period < len(replay.sent); period++ {
		before, after := replay.away[period-1]/max(1, replay.sent[period-1]), replay.away[period]/max(1, replay.sent[period])
		replay.result.swing += math.Abs(after-before) / float64(len(replay.sent)-1)
	}
}

// periodic is a load of a mean with ±0.55 and a period of 13 s, shifted by a phase for each zone.
func periodic(mean, phase float64) func(int, float64, time.Duration) float64 {
	return func(zone int, _ float64, at time.Duration) float64 {
		return mean * (1 + 0.55*math.Sin(2*math.Pi*(at.Seconds()/13+phase*float64(zone))))
	}
}

var replayCases = []replayCase{
	{name: "calm", load: periodic(0.5, 0)},
	{name: "in phase", load: periodic(0.8, 0.03)},
	{name: "out of phase", load: periodic(0.8, 1.0/3)},
	{name: "out of phase, fresh figures", load: periodic(0.8, 1.0/3), lag: 100 * time.Millisecond},
	{name: "a zone loses half", load: periodic(0.6, 1.0/3), lost: func(zone int, replica float64, at time.Duration) bool {
		return zone == 0 && replica < 0.5 && at > 10*time.Second
	}},
	{name: "all zones full", load: periodic(2, 0.03)},
	{name: "overloaded out of phase", load: periodic(1.5, 1.0/3)},
	{name: "half of the nodes spill at once", load: func(_ int, node float64, at time.Duration) float64 {
		if burst := int(at/time.Second)%10 >= 5; burst && node < 0.5 {
			return 2
		}
		return 0.4
	}},
	{name: "one zone bursts", load: func(zone int, _ float64, at time.Duration) float64 {
		if burst := int(at/time.Second)%10 >= 5; burst && zone == 0 {
			return 1.8
		}
		return 0.4
	}},
}

// playBoth plays a case in a shape with the constant penalty and with the decision of spill, and
// sums the results over some seeds.
func playBoth(replaycase replayCase, replayshape replayShape) (without, with replayResult) {
	const seeds = 3
	for seed := range uint64(seeds) {
		for spills, sum := range map[bool]*replayResult{true: &with, false: &without} {
			result := newReplay(replaycase, replayshape, spills, seed).run()
			sum.requests, sum.onTime, sum.late, sum.rejected = sum.requests+result.requests, sum.onTime+result.onTime, sum.late+result.late, sum.rejected+result.rejected
			sum.megabytes, sum.swing = sum.megabytes+result.megabytes/seeds, sum.swing+result.swing/seeds
		}
	}
	return without, with
}

// TestSpillReplays guards against callers who are served worse than with the constant penalty for
// another zone, and against more traffic between zones or larger swings of it.
func TestSpillReplays(t *testing.T) {
	for _, replayshape := range replayShapes {
		for _, replaycase := range replayCases {
			t.Run(replayshape.name+", "+replaycase.name, func(t *testing.T) {
				t.Parallel()
				without, with := playBoth(replaycase, replayshape)
				t.Logf("constant: %s", without)
				t.Logf("spill:    %s", with)
				assert.Check(t, with.value() >= without.value()-0.004, "callers are served worse")
				assert.Check(t, with.megabytes <= without.megabytes*1.1, "more traffic between zones")
				assert.Check(t, with.swing <= without.swing+0.03, "larger swings")
			})
		}
	}
}
