package soak

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"reflect"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/platform/fakes"
)

// harness is a checker whose clock the test sets.
type harness struct {
	heartbeats int64 // sent so far
	*checker
	clock time.Time
}

func newHarness() *harness {
	harness := &harness{clock: time.Unix(1000, 0)}
	harness.checker = newChecker(newTimeline(), 3)
	harness.now = func() time.Time { return harness.clock }
	return harness
}

func (harness *harness) advance(duration time.Duration) { harness.clock = harness.clock.Add(duration) }

func (harness *harness) send(id string, kind kind) fakes.Request {
	request := fakes.Request{Method: "POST", Path: "/p/x", ID: id, Key: firstKey, Body: []byte("{}")}
	harness.requestSent(request, kind, 0)
	return request
}

func (harness *harness) execute(id, runner string) { harness.executeAttempt(id, runner, 0) }

// sendAgain sends a further attempt at a request, to another node.
func (harness *harness) sendAgain(id string, kind kind, attempt int) {
	request := fakes.Request{Method: "POST", Path: "/p/x", ID: id, Key: firstKey, Body: []byte("{}"), Attempt: attempt}
	harness.requestSent(request, kind, 1)
}

func (harness *harness) executeAttempt(id, runner string, attempt int) {
	harness.BeginExecution(fakes.Execution{RequestID: id, Runner: runner, Method: "POST", Target: "/p/x", Team: fakes.Team, Body: "{}", Attempt: attempt})
}

func (harness *harness) heartbeat(id, replica, phase string, epoch int64, members ...string) {
	harness.heartbeats++
	harness.Heartbeat(fakes.Heartbeat{ID: id, StartedAt: 1, Sequence: harness.heartbeats, Replica: replica, Epoch: epoch, Phase: phase, Members: members})
}

func completeAnswer(id, runner string) fakes.Answer {
	return fakes.Answer{Status: http.StatusOK, Receipt: fakes.ReceiptOf(runner), Body: fakes.AnswerBody(id)}
}

// expectFindings runs a scenario and checks which invariants the checker reports
// as violated, in order.
func expectFindings(t *testing.T, scenario func(harness *harness), invariants ...string) {
	t.Helper()
	harness := newHarness()
	scenario(harness)
	var found []string
	for _, finding := range harness.finish() {
		found = append(found, finding.Invariant)
	}
	assert.DeepEqual(t, found, invariants)
}

// TestCheckerAnswers guards against a checker that misses a violation: each
// scenario has one defect in an answer or execution, or a legal variant that must
// give no finding.
func TestCheckerAnswers(t *testing.T) {
	rejection := fakes.Answer{Status: http.StatusServiceUnavailable, RetryAfter: time.Second}
	for _, test := range []struct {
		name       string
		scenario   func(harness *harness)
		invariants []string
	}{
		{"correct answer", func(harness *harness) {
			harness.send("a", kindAtMostOnce)
			harness.execute("a", "r")
			harness.answerReceived("a", completeAnswer("a", "r"))
		}, nil},
		{"answer to another request", func(harness *harness) {
			harness.send("a", kindIdempotent)
			harness.execute("a", "r")
			harness.answerReceived("a", completeAnswer("b", "r"))
		}, []string{InvariantIntactAnswers}},
		{"receipt of another runner", func(harness *harness) {
			harness.send("a", kindIdempotent)
			harness.execute("a", "r")
			harness.answerReceived("a", completeAnswer("a", "q"))
		}, []string{InvariantIntactAnswers}},
		{"answer without an execution", func(harness *harness) {
			harness.send("a", kindIdempotent)
			harness.answerReceived("a", completeAnswer("a", "r"))
		}, []string{InvariantIntactAnswers}},
		{"truncated stream", func(harness *harness) {
			harness.send("a", kindStream)
			harness.execute("a", "r")
			harness.answerReceived("a", fakes.Answer{Status: http.StatusOK, Receipt: fakes.ReceiptOf("r"), Body: fakes.StreamBody("a", 2)})
		}, []string{InvariantIntactAnswers}},
		{"bytes after the answer", func(harness *harness) {
			harness.send("a", kindIdempotent)
			harness.execute("a", "r")
			answer := completeAnswer("a", "r")
			answer.TrailingBytes = true
			harness.answerReceived("a", answer)
		}, []string{InvariantIntactAnswers}},
		{"at-most-once request runs twice", func(harness *harness) {
			harness.send("a", kindAtMostOnce)
			harness.execute("a", "r")
			harness.execute("a", "q")
		}, []string{InvariantAtMostOnce}},
		{"idempotent request runs twice", func(harness *harness) {
			harness.send("a", kindIdempotent)
			harness.execute("a", "r")
			harness.execute("a", "q")
		}, nil},
		{"not run after it ran", func(harness *harness) {
			harness.send("a", kindAtMostOnce)
			harness.execute("a", "r")
			harness.answerReceived("a", rejection)
		}, []string{InvariantNotRun}},
		{"not run and runs later", func(harness *harness) {
			harness.send("a", kindAtMostOnce)
			harness.answerReceived("a", rejection)
			harness.execute("a", "r")
		}, []string{InvariantNotRun}},
		{"rejection without Retry-After", func(harness *harness) {
			harness.send("a", kindAtMostOnce)
			harness.answerReceived("a", fakes.Answer{Status: http.StatusServiceUnavailable})
		}, []string{InvariantAccess}},
		{"allowed request denied", func(harness *harness) {
			harness.send("a", kindAtMostOnce)
			harness.answerReceived("a", fakes.Answer{Status: http.StatusNotFound})
		}, []string{InvariantAccess}},
		{"denied with a revoked key", func(harness *harness) {
			harness.send("a", kindAtMostOnce)
			harness.keyRevoked(firstKey)
			harness.answerReceived("a", fakes.Answer{Status: http.StatusUnauthorized})
		}, nil},
		{"request that no caller sent", func(harness *harness) { harness.execute("a", "r") }, []string{InvariantUnchangedRequest}},
		{"changed body", func(harness *harness) {
			harness.send("a", kindAtMostOnce)
			harness.BeginExecution(fakes.Execution{RequestID: "a", Runner: "r", Method: "POST", Target: "/p/x", Team: fakes.Team, Body: "{ }"})
		}, []string{InvariantUnchangedRequest}},
		{"key passed to the endpoint", func(harness *harness) {
			harness.send("a", kindAtMostOnce)
			harness.BeginExecution(fakes.Execution{RequestID: "a", Runner: "r", Method: "POST", Target: "/p/x", Team: fakes.Team, Body: "{}", HasKey: true})
		}, []string{InvariantUnchangedRequest}},
	} {
		t.Run(test.name, func(t *testing.T) { expectFindings(t, test.scenario, test.invariants...) })
	}
}

// TestCheckerAttempts guards against a checker that misses what it can tell only from all attempts
// of a caller at one request, or that reports an attempt which may run.
func TestCheckerAttempts(t *testing.T) {
	rejection := fakes.Answer{Status: http.StatusServiceUnavailable, RetryAfter: time.Second}
	badGateway := fakes.Answer{Status: http.StatusBadGateway}
	// again has a first attempt answered, after runs of it at runner r, and a second one sent.
	again := func(harness *harness, kind kind, answer fakes.Answer, runs int) {
		harness.send("a", kind)
		for range runs {
			harness.execute("a", "r")
		}
		harness.answerReceived("a", answer)
		harness.sendAgain("a", kind, 1)
	}
	for _, test := range []struct {
		name       string
		scenario   func(harness *harness)
		invariants []string
	}{
		{"runs after a refusal", func(harness *harness) {
			again(harness, kindAtMostOnce, rejection, 0)
			harness.executeAttempt("a", "r", 1)
			harness.answerReceived("a", completeAnswer("a", "r"))
		}, nil},
		{"runs after four refusals", func(harness *harness) {
			again(harness, kindAtMostOnce, rejection, 0)
			for _, status := range []int{http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest} {
				attempt := harness.requests["a"].request.Attempt
				harness.answerReceived("a", fakes.Answer{Status: status, RetryAfter: time.Second})
				harness.sendAgain("a", kindAtMostOnce, attempt+1)
			}
			harness.executeAttempt("a", "r", 4)
			harness.answerReceived("a", completeAnswer("a", "r"))
		}, nil},
		{"runs after a refusal and is refused", func(harness *harness) {
			again(harness, kindAtMostOnce, rejection, 0)
			harness.executeAttempt("a", "r", 1)
			harness.answerReceived("a", rejection)
		}, []string{InvariantNotRun}},
		{"runs twice after a refusal", func(harness *harness) {
			again(harness, kindAtMostOnce, rejection, 0)
			harness.executeAttempt("a", "r", 1)
			harness.executeAttempt("a", "q", 1)
		}, []string{InvariantAtMostOnce}},
		{"runs twice after a refusal, idempotent", func(harness *harness) {
			again(harness, kindIdempotent, rejection, 0)
			harness.executeAttempt("a", "r", 1)
			harness.executeAttempt("a", "q", 1)
			harness.answerReceived("a", completeAnswer("a", "q"))
		}, nil},
		{"refused attempt runs while the next one waits", func(harness *harness) {
			again(harness, kindAtMostOnce, rejection, 0)
			harness.execute("a", "r")
		}, []string{InvariantNotRun}},
		{"refused attempt runs beside the next one", func(harness *harness) {
			again(harness, kindAtMostOnce, rejection, 0)
			harness.executeAttempt("a", "q", 1)
			harness.execute("a", "r")
		}, []string{InvariantAtMostOnce, InvariantNotRun}},
		{"refused attempt runs beside the next one, idempotent", func(harness *harness) {
			again(harness, kindIdempotent, rejection, 0)
			harness.executeAttempt("a", "q", 1)
			harness.execute("a", "r")
		}, []string{InvariantNotRun}},
		{"refused attempt has run, and so does the next one", func(harness *harness) {
			again(harness, kindAtMostOnce, rejection, 1)
			harness.executeAttempt("a", "q", 1)
		}, []string{InvariantNotRun, InvariantAtMostOnce}},
		{"both are refused, and one runs later", func(harness *harness) {
			again(harness, kindAtMostOnce, rejection, 0)
			harness.answerReceived("a", rejection)
			harness.executeAttempt("a", "r", 1)
		}, []string{InvariantNotRun}},
		{"runs in each of two attempts without a promise", func(harness *harness) {
			again(harness, kindAtMostOnce, badGateway, 1)
			harness.executeAttempt("a", "q", 1)
			harness.answerReceived("a", completeAnswer("a", "q"))
		}, nil},
		{"runs late in an attempt without a promise", func(harness *harness) {
			again(harness, kindAtMostOnce, badGateway, 0)
			harness.answerReceived("a", rejection)
			harness.execute("a", "r")
		}, nil},
		{"runs twice in an attempt without a promise", func(harness *harness) {
			again(harness, kindAtMostOnce, badGateway, 0)
			harness.execute("a", "r")
			harness.execute("a", "q")
		}, []string{InvariantAtMostOnce}},
		{"answer of the attempt before", func(harness *harness) {
			again(harness, kindIdempotent, badGateway, 1)
			harness.answerReceived("a", completeAnswer("a", "r"))
		}, []string{InvariantIntactAnswers}},
		{"attempt that no caller sent", func(harness *harness) {
			harness.send("a", kindIdempotent)
			harness.executeAttempt("a", "r", 1)
		}, []string{InvariantUnchangedRequest}},
		{"earlier attempts at too many endpoints", func(harness *harness) {
			for attempt := range toleratedViolations + 1 {
				harness.sendAgain("a", kindIdempotent, attempt)
				for _, runner := range []string{"r", "q", "p"} {
					harness.executeAttempt("a", runner, attempt)
				}
			}
		}, []string{InvariantRetryBudget}},
		{"different endpoints in each attempt", func(harness *harness) {
			for attempt := range toleratedViolations + 1 {
				harness.sendAgain("a", kindIdempotent, attempt)
				harness.executeAttempt("a", fmt.Sprint("r", attempt), attempt)
			}
		}, nil},
	} {
		t.Run(test.name, func(t *testing.T) { expectFindings(t, test.scenario, test.invariants...) })
	}
}

// TestCheckerReplicas guards against a checker that misses a request in an
// incomplete replica, or a host that joins a replica while the first host of its
// previous one may still serve.
func TestCheckerReplicas(t *testing.T) {
	formReplica := func(harness *harness, ready ...string) {
		for _, id := range []string{"h", "m"} {
			harness.heartbeat(id, "g", "joining", 1, "h", "m")
		}
		for _, id := range ready {
			harness.heartbeat(id, "g", "ready", 1, "h", "m")
		}
		harness.heartbeat("h", "g", "open", 1, "h", "m")
	}
	run := func(harness *harness) {
		harness.send("a", kindStream)
		harness.BeginExecution(fakes.Execution{RequestID: "a", Runner: "h", Replica: "g", Epoch: 1, Method: "POST", Target: "/p/x", Team: fakes.Team, Body: "{}"})
	}
	for _, test := range []struct {
		name       string
		scenario   func(harness *harness)
		invariants []string
	}{
		{"complete replica", func(harness *harness) { formReplica(harness, "h", "m"); run(harness) }, nil},
		{"member never ready", func(harness *harness) { formReplica(harness, "h"); run(harness) }, []string{InvariantReplicaReady}},
		{"member joins while its first host is open", func(harness *harness) {
			formReplica(harness, "h", "m")
			harness.heartbeat("m", "g2", "joining", 2, "m")
		}, []string{InvariantOneReplicaPerHost}},
		{"member leaves before it joins, first host still open", func(harness *harness) {
			formReplica(harness, "h", "m")
			harness.heartbeat("m", "", "", 0)
			harness.heartbeat("m", "g2", "joining", 2, "m")
		}, []string{InvariantOneReplicaPerHost}},
		{"first host has left its replica", func(harness *harness) {
			formReplica(harness, "h", "m")
			harness.heartbeat("h", "", "", 0)
			harness.heartbeat("m", "g2", "joining", 2, "m")
		}, nil},
		{"first host has exited", func(harness *harness) {
			formReplica(harness, "h", "m")
			harness.runnerExited("h")
			harness.heartbeat("m", "g2", "joining", 2, "m")
		}, nil},
		{"heartbeats of before both left are handled after they have joined", func(harness *harness) {
			formReplica(harness, "h", "m")
			late := []fakes.Heartbeat{harness.runners["h"].Heartbeat, harness.runners["m"].Heartbeat}
			harness.heartbeat("h", "", "", 0)
			harness.heartbeat("h", "g2", "joining", 2, "h", "m")
			harness.heartbeat("m", "g2", "joining", 2, "h", "m")
			for _, heartbeat := range late {
				harness.Heartbeat(heartbeat)
			}
			harness.heartbeat("h", "g2", "ready", 2, "h", "m")
			harness.heartbeat("m", "g2", "ready", 2, "h", "m")
		}, nil},
		{"first host without heartbeats for the stall timeout", func(harness *harness) {
			formReplica(harness, "h", "m")
			harness.advance(stallTimeout + time.Millisecond)
			harness.heartbeat("m", "g2", "joining", 2, "m")
		}, nil},
	} {
		t.Run(test.name, func(t *testing.T) { expectFindings(t, test.scenario, test.invariants...) })
	}
}

// passOnLeaving has a runner say in an answer that it leaves.
func passOnLeaving(harness *harness) {
	harness.send("a", kindIdempotent)
	harness.execute("a", "r")
	answer := completeAnswer("a", "r")
	answer.Header = http.Header{"Server-Leaving": {"1"}}
	harness.answerReceived("a", answer)
}

// TestCheckerTiming guards against a checker that misses an exceeded bound on time
// or retries, or that reports one which an injected fault explains.
func TestCheckerTiming(t *testing.T) {
	cut := fakes.Answer{Err: errors.New("reset")}
	loseAnswers := func(harness *harness) {
		for range toleratedViolations + 1 {
			harness.send("a", kindAtMostOnce)
			harness.execute("a", "r")
			harness.answerReceived("a", cut)
		}
	}
	for _, test := range []struct {
		name       string
		scenario   func(harness *harness)
		invariants []string
	}{
		{"answers lost without a fault", loseAnswers, []string{InvariantNoLostAnswers}},
		{"answers lost at a killed node", func(harness *harness) {
			harness.timeline.beginFault(nodeComponent(0), harness.clock)(harness.clock.Add(time.Second))
			harness.advance(2 * time.Second)
			loseAnswers(harness)
		}, nil},
		{"answers lost while a member was unresponsive", func(harness *harness) {
			harness.heartbeat("r", "g", "open", 1, "r", "m")
			harness.heartbeat("m", "g", "ready", 1, "r", "m")
			harness.advance(time.Second)
			harness.heartbeat("r", "g", "open", 1, "r", "m")
			harness.heartbeat("m", "g", "ready", 1, "r", "m")
			loseAnswers(harness)
		}, nil},
		{"answers lost while the machine was overloaded", func(harness *harness) {
			harness.timeline.addFault(machineComponent, harness.clock, harness.clock.Add(time.Second))
			harness.advance(time.Second)
			loseAnswers(harness)
		}, nil},
		{"request for a draining runner", func(harness *harness) {
			harness.runnerDraining("r")
			harness.advance(drainBound + time.Millisecond)
			harness.send("a", kindIdempotent)
			harness.execute("a", "r")
		}, []string{InvariantDrain}},
		{"request for a runner that has just begun to drain", func(harness *harness) {
			harness.runnerDraining("r")
			harness.advance(drainBound)
			harness.send("a", kindIdempotent)
			harness.execute("a", "r")
		}, nil},
		{"request for a draining runner during a store outage", func(harness *harness) {
			harness.runnerDraining("r")
			harness.timeline.beginFault(storeComponent, harness.clock)
			harness.advance(propagationTimeout + time.Second)
			harness.send("a", kindIdempotent)
			harness.execute("a", "r")
		}, nil},
		{"request for a runner that has said that it leaves", func(harness *harness) {
			passOnLeaving(harness)
			harness.advance(leavingBound + time.Millisecond)
			harness.send("b", kindIdempotent)
			harness.execute("b", "r")
		}, []string{InvariantLeaving}},
		{"request sent before that was passed on", func(harness *harness) {
			harness.send("b", kindIdempotent)
			passOnLeaving(harness)
			harness.advance(time.Second)
			harness.execute("b", "r")
		}, nil},
		{"request for such a runner from a node that was paused", func(harness *harness) {
			passOnLeaving(harness)
			harness.timeline.beginFault(nodeComponent(0), harness.clock)(harness.clock.Add(time.Second))
			harness.advance(2 * time.Second)
			harness.send("b", kindIdempotent)
			harness.execute("b", "r")
		}, nil},
		{"requests of disconnected callers", func(harness *harness) {
			for range toleratedLateStarts + 1 {
				harness.send("a", kindIdempotent)
				harness.callerDisconnected("a")
				harness.advance(time.Second)
				harness.execute("a", "r")
			}
		}, []string{InvariantCancellation}},
		{"retries beyond the budget", func(harness *harness) {
			for range int(budgetExtra) + 2 {
				harness.send("a", kindIdempotent)
				harness.execute("a", "r")
				harness.execute("a", "r")
			}
			harness.advance(time.Second)
			for range 5 {
				harness.execute("a", "r")
			}
		}, []string{InvariantRetryBudget}},
	} {
		t.Run(test.name, func(t *testing.T) { expectFindings(t, test.scenario, test.invariants...) })
	}
}

// TestCheckerPauses guards against a checker that excuses an answer that is cut off by a
// pause of its runner, or that reports one which another fault explains.
func TestCheckerPauses(t *testing.T) {
	cut := fakes.Answer{Err: errors.New("reset")}
	badGateway := fakes.Answer{Status: http.StatusBadGateway}
	beat := func(harness *harness) {
		for _, id := range []string{"r", "m"} {
			harness.heartbeat(id, "g", "open", 1, "r", "m")
		}
	}
	// during has a request run at r, and answered after all runners in paused have paused.
	during := func(answer fakes.Answer, fault string, paused ...string) func(harness *harness) {
		return func(harness *harness) {
			beat(harness)
			if fault != "" {
				harness.timeline.addFault(fault, harness.clock, harness.clock.Add(time.Second))
			}
			harness.send("a", kindStream)
			harness.execute("a", "r")
			for _, id := range paused {
				harness.timeline.addFault(pauseComponent(id), harness.clock, harness.clock.Add(maxPause))
			}
			harness.advance(maxPause)
			beat(harness)
			harness.advance(time.Millisecond)
			harness.answerReceived("a", answer)
		}
	}
	for _, test := range []struct {
		name       string
		scenario   func(harness *harness)
		invariants []string
	}{
		{"cut while its runner pauses", during(cut, "", "r", "m"), []string{InvariantPauses}},
		{"502 while its runner pauses", during(badGateway, "", "r", "m"), []string{InvariantPauses}},
		{"answered after the pause", during(completeAnswer("a", "r"), "", "r", "m"), []string{InvariantIntactAnswers}}, // no stream
		{"504 at the timeout of the route", during(fakes.Answer{Status: http.StatusGatewayTimeout}, "", "r", "m"), nil},
		{"cut beside a fault of the node", during(cut, nodeComponent(0), "r", "m"), nil},
		{"cut beside another node whose connections are reset", during(cut, cutComponent, "r", "m"), nil},
		{"502 beside another node whose connections are reset", during(badGateway, cutComponent, "r", "m"), nil},
		{"cut after another node's connections were reset", func(harness *harness) {
			harness.timeline.addFault(cutComponent, harness.clock, harness.clock.Add(time.Millisecond))
			harness.advance(time.Millisecond)
			during(cut, "", "r", "m")(harness)
		}, []string{InvariantPauses}},
		{"cut while the other member does not respond", during(cut, "", "r"), nil},
		{"502 beside a fault of another runner", func(harness *harness) {
			harness.heartbeat("q", "", "", 0)
			during(badGateway, runnerComponent("q"), "r", "m")(harness)
		}, nil},
		{"cut beside a planned restart of the node, once", during(cut, nodeRestartComponent(0), "r", "m"), nil},
		{"cut beside a planned restart of the node, more often", func(harness *harness) {
			for range toleratedViolations + 1 {
				during(cut, nodeRestartComponent(0), "r", "m")(harness)
			}
		}, []string{InvariantNoLostAnswers}},
		{"cut by a replica that breaks", func(harness *harness) {
			during(cut, "", "r", "m")(harness)
			harness.heartbeat("r", "g", "broken", 1, "r", "m")
		}, nil},
		{"cut by a runner that crashes", func(harness *harness) {
			during(cut, "", "r", "m")(harness)
			harness.Heartbeat(fakes.Heartbeat{ID: "r", StartedAt: 2})
		}, nil},
		{"cut before the paused runner begins the request", func(harness *harness) {
			harness.send("a", kindStream)
			harness.timeline.addFault(pauseComponent("r"), harness.clock, harness.clock.Add(maxPause))
			harness.advance(time.Second)
			harness.answerReceived("a", cut)
			harness.advance(time.Second)
			harness.execute("a", "r")
		}, []string{InvariantPauses}},
	} {
		t.Run(test.name, func(t *testing.T) { expectFindings(t, test.scenario, test.invariants...) })
	}
}

// TestCheckerCrashWithoutRestart guards against a checker that reports answers that a
// crash has cut off, if the runner's process was ended before it started again; without a
// crash they are findings.
func TestCheckerCrashWithoutRestart(t *testing.T) {
	for _, test := range []struct {
		part       string
		invariants []string
	}{{crashPart, nil}, {"sound", []string{InvariantNoLostAnswers}}} {
		expectFindings(t, func(harness *harness) {
			harness.heartbeat("r", "g", "open", 1, "r")
			for i := range toleratedViolations + 1 {
				harness.send(fmt.Sprint("a", i), kindStream)
				harness.execute(fmt.Sprint("a", i), "r")
			}
			harness.requestSent(fakes.Request{Method: "POST", Path: "/p/x", ID: "c", Key: firstKey, Body: []byte("{}"), Parts: test.part + ":60"}, kindStream, 0)
			harness.execute("c", "r")
			harness.advance(50 * time.Millisecond)
			for i := range toleratedViolations + 1 {
				harness.answerReceived(fmt.Sprint("a", i), fakes.Answer{Err: errors.New("reset")})
			}
		}, test.invariants...)
	}
}

// TestCheckerBusyRunners guards against a checker that misses requests for a runner that
// has asked for none, or on which runners crash.
func TestCheckerBusyRunners(t *testing.T) {
	reject := func(harness *harness, runner, retryAfter string) {
		harness.send("a", kindIdempotent)
		harness.RecordRejection(fakes.Rejection{RequestID: "a", Runner: runner, RetryAfter: retryAfter})
	}
	execute := func(harness *harness, runner string, count int) {
		for range count {
			harness.send("b", kindIdempotent)
			harness.execute("b", runner)
		}
	}
	crash := func(harness *harness, count int) {
		for range count {
			harness.Heartbeat(fakes.Heartbeat{ID: "r", StartedAt: harness.clock.UnixMilli()})
			request := fakes.Request{Method: "POST", Path: "/p/x", ID: "c", Key: firstKey, Body: []byte("{}"), Parts: "shared:40," + crashPart + ":60"}
			harness.requestSent(request, kindStream, 0)
			harness.execute("c", "r")
			harness.advance(crashDowntime)
		}
	}
	for _, test := range []struct {
		name       string
		scenario   func(harness *harness)
		invariants []string
	}{
		{"requests until the end of Retry-After", func(harness *harness) {
			reject(harness, "r", "2")
			harness.advance(time.Second)
			execute(harness, "r", toleratedBusy+1)
		}, []string{InvariantRetryAfter}},
		{"rejected requests until then", func(harness *harness) {
			reject(harness, "r", "9")
			for range toleratedBusy + 1 {
				harness.advance(time.Second)
				reject(harness, "r", "1")
			}
		}, []string{InvariantRetryAfter}},
		{"tolerated requests until then", func(harness *harness) {
			reject(harness, "r", "2")
			harness.advance(time.Second)
			execute(harness, "r", toleratedBusy)
		}, nil},
		{"requests at once and afterwards", func(harness *harness) {
			reject(harness, "r", "2")
			harness.advance(busyNotice)
			execute(harness, "r", 2*toleratedBusy)
			harness.advance(2*time.Second - busyNotice)
			execute(harness, "r", 2*toleratedBusy)
		}, nil},
		{"requests for another runner", func(harness *harness) {
			reject(harness, "r", "2")
			harness.advance(time.Second)
			execute(harness, "q", 2*toleratedBusy)
		}, nil},
		{"requests from a node that was restarted", func(harness *harness) {
			reject(harness, "r", "2")
			harness.timeline.addFault(nodeComponent(0), harness.clock, harness.clock.Add(time.Second))
			harness.advance(time.Second)
			execute(harness, "r", 2*toleratedBusy)
		}, nil},
		{"unreadable Retry-After", func(harness *harness) { reject(harness, "r", "soon") }, []string{InvariantUnchangedRequest}},
		{"requests that crash runners, not blocked", func(harness *harness) {
			crash(harness, crashesToBlock)
			harness.advance(crashNotice)
			crash(harness, toleratedBlocks+1)
		}, []string{InvariantCrashingPart}},
		{"requests that crash runners, blocked", func(harness *harness) {
			crash(harness, crashesToBlock)
			harness.advance(crashNotice)
			crash(harness, toleratedBlocks)
		}, nil},
		{"requests that crash runners, from a node without the store", func(harness *harness) {
			crash(harness, crashesToBlock)
			harness.advance(crashNotice)
			harness.timeline.beginFault(storeLinkComponent(0), harness.clock)
			crash(harness, 2*toleratedBlocks)
		}, nil},
		{"member of a crashed first host joins", func(harness *harness) {
			for _, id := range []string{"h", "m"} {
				harness.heartbeat(id, "g", "open", 1, "h", "m")
			}
			harness.requestSent(fakes.Request{Method: "POST", Path: "/p/x", ID: "c", Key: firstKey, Body: []byte("{}"), Parts: crashPart + ":60"}, kindStream, 0)
			harness.execute("c", "h")
			harness.heartbeat("m", "g2", "joining", 2, "m")
		}, nil},
	} {
		t.Run(test.name, func(t *testing.T) { expectFindings(t, test.scenario, test.invariants...) })
	}
}

// TestSeedsKeepTheirFaults guards against seeds that draw other faults than before: a
// seed that once had a finding is a regression case. Faults of drawSilences,
// drawContradictions, drawCopies and drawEvacuations were added later.
func TestSeedsKeepTheirFaults(t *testing.T) {
	scale := Scale{Nodes: 3, ModelRunners: 12, PlainRunners: 3, Callers: 12, Duration: 15 * time.Second}
	hashWithout := func(draws ...func(uint64, Scale) []Injection) string {
		hash := sha256.New()
		for seed := range uint64(500) {
			var added []Injection
			for _, draw := range draws {
				added = append(added, draw(seed, scale)...)
			}
			earlier := slices.DeleteFunc(GenerateSchedule(seed, scale), func(injection Injection) bool {
				return slices.ContainsFunc(added, func(later Injection) bool { return reflect.DeepEqual(later, injection) })
			})
			fmt.Fprintf(hash, "%+v\n", earlier)
		}
		return fmt.Sprintf("%x", hash.Sum(nil)[:8])
	}
	assert.Equal(t, hashWithout(drawSilences, drawContradictions, drawCopies, drawEvacuations), "2d522dc85c98b093")
	assert.Equal(t, hashWithout(drawCopies, drawEvacuations), "e5fc7c0a4ab2b137")
	assert.Equal(t, hashWithout(drawEvacuations), "b0e6c5f98b2cbd18")
}

// TestCopiesAreDrawn guards against a soak that leaves out a kind of copy, or runners of which
// copies come.
func TestCopiesAreDrawn(t *testing.T) {
	scale := Scale{Nodes: 3, ModelRunners: 12, PlainRunners: 3, Callers: 12, Duration: 15 * time.Second}
	drawn := map[string]bool{}
	for seed := range uint64(200) {
		for _, injection := range drawCopies(seed, scale) {
			switch fault := injection.Fault.(type) {
			case AnswersCopied:
				drawn[fmt.Sprintf("refusals %t, same ID %t, runners %d", fault.Duplicates.Refusals, fault.Duplicates.SameID, fault.Count)] = true
				assert.Check(t, fault.Duplicates.Delay > 0 && fault.Duplicates.Delay < maxCopyDelay)
			case ConnectionsKept:
				assert.Check(t, fault.Timeout >= minKeepAlive*time.Second && fault.Timeout <= maxKeepAlive*time.Second)
			case RunnersRefuse:
				drawn[fmt.Sprintf("refused by runners %d", fault.Count)] = true
				assert.Check(t, fault.RetryAfter < busyNotice)
			case NodeCutOff:
				drawn[fmt.Sprintf("node %d cut off", fault.Node)] = true
			}
		}
	}
	assert.Equal(t, len(drawn), 2*2*3+3+3, "%v", drawn)
}

// TestScheduleIsDeterministic checks that a seed gives the same schedule each time,
// and that 200 seeds draw faults of the store, the configuration and the runners.
func TestScheduleIsDeterministic(t *testing.T) {
	scale := Scale{Nodes: 3, ModelRunners: 10, PlainRunners: 3, Callers: 1, Duration: 10 * time.Second}
	assert.DeepEqual(t, GenerateSchedule(7, scale), GenerateSchedule(7, scale))
	assert.Assert(t, len(GenerateSchedule(7, scale)) > 5)
	kinds := map[Fault]bool{}
	for seed := range uint64(200) {
		for _, injection := range GenerateSchedule(seed, scale) {
			if _, nodesKilled := injection.Fault.(NodesKilled); !nodesKilled { // it holds a slice and cannot be a map key
				kinds[injection.Fault] = true
			}
		}
	}
	assert.Assert(t, kinds[RunnersPaused{First: 3, Count: 1}] && kinds[RunnersPaused{First: 3, Count: 6}] && kinds[CrashingRequests{}] && kinds[ConfigStorm{Count: 8}])
	assert.Assert(t, kinds[RunnerBusy{Runner: 3, RetryAfter: 3 * time.Second}] && kinds[RunnerLimited{Runner: 3, PerSecond: 2}] && kinds[RunnerContradicts{Runner: 3, Script: 2}])
	assert.Assert(t, kinds[StoreWentBack{Changes: 7}] && kinds[StoreOutage{}] && kinds[RouteDropped{}] && kinds[RunnerDrained{Runner: 0}])
}

// TestSeedsShareNetwork guards against nodes of two seeds that run at once and listen on the same addresses, so that one
// of the seeds has findings because its nodes do not start.
func TestSeedsShareNetwork(t *testing.T) {
	seeds := map[string]uint64{}
	for _, seed := range []uint64{1, 2, 6, 2137, 39999, 40006, 70004, 70006, 70025, 80006, 110006, 120006} {
		network := networkOf(seed)
		assert.Check(t, seeds[network] == 0, "%d and %d have %s", seeds[network], seed, network)
		seeds[network] = seed
	}
}
