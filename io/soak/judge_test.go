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

func (bench *bench) ask(id string, kind kind) fakes.Ask {
	ask := fakes.Ask{Method: "POST", Path: "/p/x", ID: id, Key: firstKey, Body: []byte("{}")}
	bench.sent(ask, kind, 0)
	return ask
}

func (bench *bench) run(id, runner string) {
	bench.Run(fakes.Run{Request: id, Runner: runner, Method: "POST", Target: "/p/x", Team: fakes.Team, Body: "{}"})
}

func (bench *bench) beat(id, group, phase string, epoch int64, members ...string) {
	bench.Beat(fakes.Standing{ID: id, Born: 1, Group: group, Epoch: epoch, Phase: phase, Members: members})
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
		found = append(found, finding.Promise)
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
		{"another's answer", func(b *bench) { b.ask("a", kindSafe); b.run("a", "r"); b.answered("a", whole("b", "r")) }, []string{PromiseWhole}},
		{"another's receipt", func(b *bench) { b.ask("a", kindSafe); b.run("a", "r"); b.answered("a", whole("a", "q")) }, []string{PromiseWhole}},
		{"an answer of nobody", func(b *bench) { b.ask("a", kindSafe); b.answered("a", whole("a", "r")) }, []string{PromiseWhole}},
		{"a stream that lacks its end", func(b *bench) {
			b.ask("a", kindStream)
			b.run("a", "r")
			b.answered("a", fakes.Answer{Status: http.StatusOK, Receipt: fakes.ReceiptOf("r"), Body: fakes.WholeStream("a", 2)})
		}, []string{PromiseWhole}},
		{"bytes beyond an answer", func(b *bench) {
			b.ask("a", kindSafe)
			b.run("a", "r")
			answer := whole("a", "r")
			answer.Extra = true
			b.answered("a", answer)
		}, []string{PromiseWhole}},
		{"twice", func(b *bench) { b.ask("a", kindOnce); b.run("a", "r"); b.run("a", "q") }, []string{PromiseOnce}},
		{"twice where it may", func(b *bench) { b.ask("a", kindSafe); b.run("a", "r"); b.run("a", "q") }, nil},
		{"not run, though it had", func(b *bench) { b.ask("a", kindOnce); b.run("a", "r"); b.answered("a", refusal) }, []string{PromiseNotRun}},
		{"not run, and runs later", func(b *bench) { b.ask("a", kindOnce); b.answered("a", refusal); b.run("a", "r") }, []string{PromiseNotRun}},
		{"refused without a time", func(b *bench) {
			b.ask("a", kindOnce)
			b.answered("a", fakes.Answer{Status: http.StatusServiceUnavailable})
		}, []string{PromiseEntry}},
		{"denied", func(b *bench) { b.ask("a", kindOnce); b.answered("a", fakes.Answer{Status: http.StatusNotFound}) }, []string{PromiseEntry}},
		{"denied with a key that was taken away", func(b *bench) {
			b.ask("a", kindOnce)
			b.revoke(firstKey)
			b.answered("a", fakes.Answer{Status: http.StatusUnauthorized})
		}, nil},
		{"nobody's request", func(b *bench) { b.run("a", "r") }, []string{PromiseSame}},
		{"another body", func(b *bench) {
			b.ask("a", kindOnce)
			b.Run(fakes.Run{Request: "a", Runner: "r", Method: "POST", Target: "/p/x", Team: fakes.Team, Body: "{ }"})
		}, []string{PromiseSame}},
		{"the key passed on", func(b *bench) {
			b.ask("a", kindOnce)
			b.Run(fakes.Run{Request: "a", Runner: "r", Method: "POST", Target: "/p/x", Team: fakes.Team, Body: "{}", Keyed: true})
		}, []string{PromiseSame}},
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
		b.Run(fakes.Run{Request: "a", Runner: "h", Group: "g", Epoch: 1, Method: "POST", Target: "/p/x", Team: fakes.Team, Body: "{}"})
	}
	for _, test := range []struct {
		name     string
		play     func(b *bench)
		promises []string
	}{
		{"whole", func(b *bench) { form(b, "h", "m"); run(b) }, nil},
		{"a member never ready", func(b *bench) { form(b, "h"); run(b) }, []string{PromiseReplica}},
		{"a member joins while its first host is open", func(b *bench) { form(b, "h", "m"); b.beat("m", "g2", "joining", 2, "m") }, []string{PromiseOne}},
		{"it leaves first, and the first host stands still", func(b *bench) {
			form(b, "h", "m")
			b.beat("m", "", "", 0)
			b.beat("m", "g2", "joining", 2, "m")
		}, []string{PromiseOne}},
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
		{"answers lost at a calm node", lose, []string{PromiseLost}},
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
		}, []string{PromiseDrain}},
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
		}, []string{PromiseGone}},
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
		}, []string{PromiseBudget}},
	} {
		t.Run(test.name, func(t *testing.T) { expectFindings(t, test.play, test.promises...) })
	}
}

// TestDrawIsFixed wants the same troubles of a seed each time, and others of
// another one.
func TestDrawIsFixed(t *testing.T) {
	size := Size{Nodes: 3, Models: 10, Plains: 3, Callers: 1, Length: 10 * time.Second}
	assert.DeepEqual(t, Draw(7, size), Draw(7, size))
	assert.Assert(t, len(Draw(7, size)) > 5)
	kinds := map[Fault]bool{}
	for seed := range uint64(200) {
		for _, step := range Draw(seed, size) {
			if _, many := step.Fault.(NodesKilled); !many {
				kinds[step.Fault] = true
			}
		}
	}
	assert.Assert(t, kinds[StoreAway{}] && kinds[RouteDropped{}] && kinds[RunnerDrains{Runner: 0}])
}
