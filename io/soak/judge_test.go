package soak

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/platform/fakes"
)

// bench is a judge whose clock the test moves.
type bench struct {
	*judge
	at time.Time
}

func newBench() *bench {
	bench := &bench{at: time.Unix(1000, 0)}
	bench.judge = newJudge(newCalm(), 3)
	bench.now = func() time.Time { return bench.at }
	return bench
}

func (bench *bench) pass(length time.Duration) { bench.at = bench.at.Add(length) }

func (bench *bench) ask(id string, kind kind) fakes.Request {
	request := fakes.Request{Method: "POST", Path: "/p/x", ID: id, Key: firstKey, Body: []byte("{}")}
	bench.sent(request, kind, 0)
	return request
}

func (bench *bench) run(id, runner string) {
	bench.BeginExecution(fakes.Execution{RequestID: id, Runner: runner, Method: "POST", Target: "/p/x", Team: fakes.Team, Body: "{}"})
}

func (bench *bench) beat(id, group, phase string, epoch int64, members ...string) {
	bench.Heartbeat(fakes.Heartbeat{ID: id, StartedAt: 1, Replica: group, Epoch: epoch, Phase: phase, Members: members})
}

func whole(id, runner string) fakes.Answer {
	return fakes.Answer{Status: http.StatusOK, Receipt: fakes.ReceiptOf(runner), Body: fakes.WholeAnswer(id)}
}

// expectFindings plays records to a judge and wants the promises, in order,
// that it finds broken.
func expectFindings(t *testing.T, play func(bench *bench), promises ...string) {
	t.Helper()
	bench := newBench()
	play(bench)
	var found []string
	for _, finding := range bench.end() {
		found = append(found, finding.Invariant)
	}
	assert.DeepEqual(t, found, promises)
}

// TestJudgeOfAnswers has one thing wrong at a time with what a caller gets.
func TestJudgeOfAnswers(t *testing.T) {
	refusal := fakes.Answer{Status: http.StatusServiceUnavailable, RetryAfter: time.Second}
	for _, test := range []struct {
		name     string
		play     func(bench *bench)
		promises []string
	}{
		{"as it should be", func(b *bench) { b.ask("a", kindOnce); b.run("a", "r"); b.answered("a", whole("a", "r")) }, nil},
		{"another's answer", func(b *bench) { b.ask("a", kindSafe); b.run("a", "r"); b.answered("a", whole("b", "r")) }, []string{InvariantIntactAnswers}},
		{"another's receipt", func(b *bench) { b.ask("a", kindSafe); b.run("a", "r"); b.answered("a", whole("a", "q")) }, []string{InvariantIntactAnswers}},
		{"an answer of nobody", func(b *bench) { b.ask("a", kindSafe); b.answered("a", whole("a", "r")) }, []string{InvariantIntactAnswers}},
		{"a stream that lacks its end", func(b *bench) {
			b.ask("a", kindStream)
			b.run("a", "r")
			b.answered("a", fakes.Answer{Status: http.StatusOK, Receipt: fakes.ReceiptOf("r"), Body: fakes.WholeStream("a", 2)})
		}, []string{InvariantIntactAnswers}},
		{"bytes beyond an answer", func(b *bench) {
			b.ask("a", kindSafe)
			b.run("a", "r")
			answer := whole("a", "r")
			answer.TrailingBytes = true
			b.answered("a", answer)
		}, []string{InvariantIntactAnswers}},
		{"twice", func(b *bench) { b.ask("a", kindOnce); b.run("a", "r"); b.run("a", "q") }, []string{InvariantAtMostOnce}},
		{"twice where it may", func(b *bench) { b.ask("a", kindSafe); b.run("a", "r"); b.run("a", "q") }, nil},
		{"not run, though it had", func(b *bench) { b.ask("a", kindOnce); b.run("a", "r"); b.answered("a", refusal) }, []string{InvariantNotRun}},
		{"not run, and runs later", func(b *bench) { b.ask("a", kindOnce); b.answered("a", refusal); b.run("a", "r") }, []string{InvariantNotRun}},
		{"refused without a time", func(b *bench) {
			b.ask("a", kindOnce)
			b.answered("a", fakes.Answer{Status: http.StatusServiceUnavailable})
		}, []string{InvariantAccess}},
		{"denied", func(b *bench) { b.ask("a", kindOnce); b.answered("a", fakes.Answer{Status: http.StatusNotFound}) }, []string{InvariantAccess}},
		{"denied with a key that was taken away", func(b *bench) {
			b.ask("a", kindOnce)
			b.revoke(firstKey)
			b.answered("a", fakes.Answer{Status: http.StatusUnauthorized})
		}, nil},
		{"nobody's request", func(b *bench) { b.run("a", "r") }, []string{InvariantUnchangedRequest}},
		{"another body", func(b *bench) {
			b.ask("a", kindOnce)
			b.BeginExecution(fakes.Execution{RequestID: "a", Runner: "r", Method: "POST", Target: "/p/x", Team: fakes.Team, Body: "{ }"})
		}, []string{InvariantUnchangedRequest}},
		{"the key passed on", func(b *bench) {
			b.ask("a", kindOnce)
			b.BeginExecution(fakes.Execution{RequestID: "a", Runner: "r", Method: "POST", Target: "/p/x", Team: fakes.Team, Body: "{}", HasKey: true})
		}, []string{InvariantUnchangedRequest}},
	} {
		t.Run(test.name, func(t *testing.T) { expectFindings(t, test.play, test.promises...) })
	}
}

// TestJudgeOfReplicas has members that join, open and run.
func TestJudgeOfReplicas(t *testing.T) {
	form := func(b *bench, ready ...string) {
		for _, id := range []string{"h", "m"} {
			b.beat(id, "g", "joining", 1, "h", "m")
		}
		for _, id := range ready {
			b.beat(id, "g", "ready", 1, "h", "m")
		}
		b.beat("h", "g", "open", 1, "h", "m")
	}
	run := func(b *bench) {
		b.ask("a", kindStream)
		b.BeginExecution(fakes.Execution{RequestID: "a", Runner: "h", Replica: "g", Epoch: 1, Method: "POST", Target: "/p/x", Team: fakes.Team, Body: "{}"})
	}
	for _, test := range []struct {
		name     string
		play     func(b *bench)
		promises []string
	}{
		{"whole", func(b *bench) { form(b, "h", "m"); run(b) }, nil},
		{"a member never ready", func(b *bench) { form(b, "h"); run(b) }, []string{InvariantReplicaReady}},
		{"a member joins while its first host is open", func(b *bench) { form(b, "h", "m"); b.beat("m", "g2", "joining", 2, "m") }, []string{InvariantOneReplicaPerHost}},
		{"it leaves first, and the first host stands still", func(b *bench) {
			form(b, "h", "m")
			b.beat("m", "", "", 0)
			b.beat("m", "g2", "joining", 2, "m")
		}, []string{InvariantOneReplicaPerHost}},
		{"the first host has left", func(b *bench) {
			form(b, "h", "m")
			b.beat("h", "", "", 0)
			b.beat("m", "g2", "joining", 2, "m")
		}, nil},
		{"the first host is dead", func(b *bench) { form(b, "h", "m"); b.ended("h"); b.beat("m", "g2", "joining", 2, "m") }, nil},
		{"the first host has been paused for long", func(b *bench) {
			form(b, "h", "m")
			b.pass(stall + time.Millisecond)
			b.beat("m", "g2", "joining", 2, "m")
		}, nil},
	} {
		t.Run(test.name, func(t *testing.T) { expectFindings(t, test.play, test.promises...) })
	}
}

// TestJudgeOfTimes has bounds that hold only where all in the way was calm.
func TestJudgeOfTimes(t *testing.T) {
	cut := fakes.Answer{Err: errors.New("reset")}
	lose := func(b *bench) {
		for range mostLost + 1 {
			b.ask("a", kindOnce)
			b.run("a", "r")
			b.answered("a", cut)
		}
	}
	for _, test := range []struct {
		name     string
		play     func(b *bench)
		promises []string
	}{
		{"answers lost at a calm node", lose, []string{InvariantNoLostAnswers}},
		{"answers lost at a node that was killed", func(b *bench) {
			b.calm.begin(partNode(0), b.at)(b.at.Add(time.Second))
			b.pass(2 * time.Second)
			lose(b)
		}, nil},
		{"answers lost where a member was silent meanwhile", func(b *bench) {
			b.beat("r", "g", "open", 1, "r", "m")
			b.beat("m", "g", "ready", 1, "r", "m")
			b.pass(time.Second)
			b.beat("r", "g", "open", 1, "r", "m")
			b.beat("m", "g", "ready", 1, "r", "m")
			lose(b)
		}, nil},
		{"answers lost while the machine did not keep up", func(b *bench) {
			b.calm.note(partMachine, b.at, b.at.Add(time.Second))
			b.pass(time.Second)
			lose(b)
		}, nil},
		{"work for a runner that leaves", func(b *bench) {
			b.draining("r")
			b.pass(changeLimit + time.Second)
			b.ask("a", kindSafe)
			b.run("a", "r")
		}, []string{InvariantDrain}},
		{"the same while the store was away", func(b *bench) {
			b.draining("r")
			b.calm.begin(partStore, b.at)
			b.pass(changeLimit + time.Second)
			b.ask("a", kindSafe)
			b.run("a", "r")
		}, nil},
		{"work of callers that left", func(b *bench) {
			for range mostGone + 1 {
				b.ask("a", kindSafe)
				b.left("a")
				b.pass(time.Second)
				b.run("a", "r")
			}
		}, []string{InvariantCancellation}},
		{"more repeats than the budget", func(b *bench) {
			for range int(budgetExtra) + 2 {
				b.ask("a", kindSafe)
				b.run("a", "r")
				b.run("a", "r")
			}
			b.pass(time.Second)
			for range 5 {
				b.run("a", "r")
			}
		}, []string{InvariantRetryBudget}},
	} {
		t.Run(test.name, func(t *testing.T) { expectFindings(t, test.play, test.promises...) })
	}
}

// TestDrawIsFixed wants the same troubles of a seed each time, and others of
// another one.
func TestDrawIsFixed(t *testing.T) {
	scale := Scale{Nodes: 3, ModelRunners: 10, PlainRunners: 3, Callers: 1, Duration: 10 * time.Second}
	assert.DeepEqual(t, GenerateSchedule(7, scale), GenerateSchedule(7, scale))
	assert.Assert(t, len(GenerateSchedule(7, scale)) > 5)
	kinds := map[Fault]bool{}
	for seed := range uint64(200) {
		for _, scheduledfault := range GenerateSchedule(seed, scale) {
			if _, many := scheduledfault.Fault.(NodesKilled); !many {
				kinds[scheduledfault.Fault] = true
			}
		}
	}
	assert.Assert(t, kinds[StoreOutage{}] && kinds[RouteDropped{}] && kinds[RunnerDrained{Runner: 0}])
}
