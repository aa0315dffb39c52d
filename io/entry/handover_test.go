package entry

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"hickorybend/core/reach"
	"hickorybend/core/retry"
	"hickorybend/core/site"
	"hickorybend/io/pool"
)

const testPatience = 10 * time.Millisecond

// endpointScript says what an endpoint does with an attempt: after a delay, or never if it
// is 0, it gives the result. Canceling the attempt ends it sooner.
type endpointScript struct {
	delay  time.Duration
	result result
}

// scriptedHandover is a request that is sent to scripted endpoints. Each takes one request
// at a time, and they are chosen in the order of the scripts.
type scriptedHandover struct {
	t          *testing.T
	server     *Server
	request    *request
	handover   *handover
	scripts    map[string]endpointScript
	candidates []*reach.Candidate
}

func newScriptedHandover(t *testing.T, maxAttempts int, scripts ...endpointScript) *scriptedHandover {
	scripted := &scriptedHandover{t: t, scripts: map[string]endpointScript{}}
	for i, script := range scripts {
		id := fmt.Sprint("e", i)
		scripted.scripts[id] = script
		scripted.candidates = append(scripted.candidates, &reach.Candidate{ID: id, Slots: 1, SameZone: true, TieBreak: float64(i) / 10, Load: &reach.Load{}})
	}
	snapshot := &atomic.Pointer[reach.Snapshot]{}
	snapshot.Store(&reach.Snapshot{Nodes: 1, Services: map[string]*reach.ServicePool{"app": {Service: "app", Plain: scripted.candidates}}})
	policy := DefaultPolicy()
	policy.AnswerPatience, policy.HandoverInterval, policy.GoneAfter, policy.MaxEndpoints = testPatience, testPatience, 4*testPatience, 4
	scripted.server = New(pool.New(), snapshot, WithPolicy(policy), WithRetryBudget(retry.Policy{Extra: 100, Window: time.Second, UsableShare: 1}))
	scripted.request = &request{
		server: scripted.server, snapshot: snapshot.Load(), service: "app", receivedAt: time.Now(), deadline: time.Now().Add(time.Minute),
		route: &site.Route{Kind: site.Idempotent{}, MaxAttempts: maxAttempts, LatencyObjective: time.Minute},
	}
	scripted.handover = newHandover(t.Context(), scripted.request, scripted.attend)
	return scripted
}

// attend follows the script of the attempt's endpoint.
func (scriptedhandover *scriptedHandover) attend(attempt *attempt) bool {
	script := scriptedhandover.scripts[attempt.candidate.ID]
	var due <-chan time.Time
	if script.delay > 0 {
		due = time.After(script.delay)
	}
	select {
	case <-due:
		attempt.result = script.result
	case <-attempt.ctx.Done():
		attempt.result = incomplete{cause: context.Cause(attempt.ctx)}
	}
	_, news := attempt.result.(answered)
	return news
}

// run sends the request to the first endpoint, and returns the endpoint whose answer came,
// or the cause of the failure.
func (scriptedhandover *scriptedHandover) run() string { return scriptedhandover.runSlowly(0, 0) }

// runSlowly does the same with an answer that is passed on some time after it has come,
// and takes some time to be passed on.
func (scriptedhandover *scriptedHandover) runSlowly(before, meanwhile time.Duration) string {
	handover := scriptedhandover.handover
	answeredBy := ""
	outcome := handover.run(scriptedhandover.candidates[0], func(attempt *attempt) result {
		result := handover.await(attempt)
		if _, ok := result.(answered); !ok {
			return result
		}
		time.Sleep(before)
		if !handover.advance("x") {
			return incomplete{cause: errTakenOver}
		}
		time.Sleep(meanwhile)
		if attempt.ctx.Err() != nil {
			return incomplete{cause: context.Cause(attempt.ctx)}
		}
		answeredBy = attempt.candidate.ID
		return result
	})
	switch outcome := outcome.(type) {
	case answered:
		return answeredBy
	case incomplete:
		return outcome.cause.Error()
	default:
		return fmt.Sprintf("%T", outcome)
	}
}

// expectNothingLeft checks that all attempts have ended and no timer runs on.
func (scriptedhandover *scriptedHandover) expectNothingLeft() {
	scriptedhandover.t.Helper()
	assert.Check(scriptedhandover.t, len(scriptedhandover.server.attempts) == 0, "%v", scriptedhandover.server.attempts)
	for _, candidate := range scriptedhandover.candidates {
		assert.Check(scriptedhandover.t, candidate.Load.OwnInFlight() == 0, "%s has requests in flight", candidate.ID)
	}
}

// runInBubble runs a test on a clock that moves only while everything waits.
func runInBubble(t *testing.T, name string, test func(*testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, test) })
}

// TestSilentAttemptIsTakenOver checks whose answer a caller gets when the first endpoint is
// silent, and that nobody waits in vain.
func TestSilentAttemptIsTakenOver(t *testing.T) {
	broken := incomplete{cause: errors.New("broken")}
	never := endpointScript{}
	for _, test := range []struct {
		name        string
		maxAttempts int
		scripts     []endpointScript
		want        string
		tried       int
		mayHaveRun  bool
	}{
		{"the first answers in time", 3, []endpointScript{{testPatience / 5, answered{}}, {testPatience / 5, answered{}}}, "e0", 1, true},
		{"the other one answers first", 3, []endpointScript{never, {testPatience, answered{}}}, "e1", 2, true},
		{"the silent one goes on first", 3, []endpointScript{{4 * testPatience, answered{}}, never}, "e0", 2, true},
		{"the other one rejects, the silent one goes on", 2, []endpointScript{{6 * testPatience, answered{}}, {testPatience, notExecuted{}}}, "e0", 2, true},
		{"the other one breaks off, a third answers", 3, []endpointScript{never, {testPatience, broken}, {testPatience, answered{}}}, "e2", 3, true},
		{"the silent one breaks off, the other one answers", 2, []endpointScript{{3 * testPatience, broken}, {6 * testPatience, answered{}}}, "e1", 2, true},
		{"the silent one breaks off, the other one is silent, a third answers", 3, []endpointScript{{3 * testPatience, broken}, never, {testPatience, answered{}}}, "e2", 3, true},
		{"two are silent, a third answers", 3, []endpointScript{{100 * testPatience, answered{}}, never, {testPatience / 2, answered{}}}, "e2", 3, true},
		{"the other one rejects at once, a third answers", 2, []endpointScript{{100 * testPatience, answered{}}, {testPatience / 5, notExecuted{}}, {testPatience / 2, answered{}}}, "e2", 3, true},
		{"both break off", 2, []endpointScript{{3 * testPatience, broken}, {4 * testPatience, broken}}, "broken", 2, true},
		{"both reject", 2, []endpointScript{{3 * testPatience, notExecuted{}}, {4 * testPatience, notExecuted{}}}, "entry.notExecuted", 2, false},
		{"the other one breaks off, the silent one rejects", 2, []endpointScript{{6 * testPatience, notExecuted{}}, {testPatience, broken}}, "entry.notExecuted", 2, true},
		{"no other attempt is allowed", 1, []endpointScript{{5 * testPatience, answered{}}, {testPatience, answered{}}}, "e0", 1, true},
	} {
		runInBubble(t, test.name, func(t *testing.T) {
			scripted := newScriptedHandover(t, test.maxAttempts, test.scripts...)
			assert.Equal(t, scripted.run(), test.want)
			assert.Equal(t, len(scripted.request.tried), test.tried)
			assert.Equal(t, scripted.request.mayHaveRun, test.mayHaveRun)
			scripted.expectNothingLeft()
		})
	}
}

// TestAnswerComesFromOneAttempt guards against answers of two attempts that are joined: an
// attempt may not go on when another one has taken over, nor the other way round.
func TestAnswerComesFromOneAttempt(t *testing.T) {
	for _, test := range []struct {
		name              string
		before, meanwhile time.Duration
		want              string
	}{
		{"the other one takes over before the answer is passed on", 10 * testPatience, 0, "e1"},
		{"the other one would answer while the answer is passed on", 0, 10 * testPatience, "e0"},
	} {
		runInBubble(t, test.name, func(t *testing.T) {
			scripted := newScriptedHandover(t, 2, endpointScript{3 * testPatience, answered{}}, endpointScript{4 * testPatience, answered{}})
			assert.Equal(t, scripted.runSlowly(test.before, test.meanwhile), test.want)
			scripted.expectNothingLeft()
		})
	}
}

// TestEndedAttemptIsNotContinued guards against a second attempt that goes on although it
// has been ended, because the first one had gone on and then broke off: it would bring an
// event again.
func TestEndedAttemptIsNotContinued(t *testing.T) {
	runInBubble(t, "", func(t *testing.T) {
		scripted := newScriptedHandover(t, 2, endpointScript{3 * testPatience, answered{}}, endpointScript{4 * testPatience, answered{}})
		handover, attempts := scripted.handover, 0
		outcome := handover.run(scripted.candidates[0], func(attempt *attempt) result {
			attempts++
			handover.await(attempt)
			assert.Check(t, handover.advance("8"))
			return incomplete{cause: errors.New("broken")}
		})
		assert.Equal(t, outcome.(incomplete).cause.Error(), "broken")
		assert.Equal(t, attempts, 1)
		scripted.expectNothingLeft()
	})
}

// TestSlowCallerIsNoSilence guards against an endpoint that is taken for silent because the
// caller does not read its events.
func TestSlowCallerIsNoSilence(t *testing.T) {
	runInBubble(t, "", func(t *testing.T) {
		scripted := newScriptedHandover(t, 2, endpointScript{}, endpointScript{testPatience, answered{}})
		scripted.handover.run(scripted.candidates[0], func(attempt *attempt) result {
			attempt.forwarding.Store(true)
			time.Sleep(10 * testPatience)
			return answered{}
		})
		assert.Equal(t, len(scripted.request.tried), 1)
		scripted.expectNothingLeft()
	})
}

// TestUnneededAttemptIsNoFailure guards against an endpoint that is blamed, probed and
// avoided because the node has ended an attempt there that was no longer needed.
func TestUnneededAttemptIsNoFailure(t *testing.T) {
	scripted := newScriptedHandover(t, 2, endpointScript{})
	scripted.request.r = httptest.NewRequest(http.MethodGet, "/", nil)
	scripted.server.suspect = func(endpoint string) { t.Errorf("%s is probed", endpoint) }
	attempt := &attempt{candidate: scripted.candidates[0], sentAt: time.Now()}
	attempt.ctx, attempt.cancel = context.WithCancelCause(t.Context())
	attempt.cancel(errNotNeeded)
	for _, err := range []error{errors.Mark(errors.New("dialing"), pool.ErrUnsent), errors.Mark(errors.New("reading"), pool.ErrIncompleteResponse)} {
		scripted.request.handleFailure(attempt, err)
		load := scripted.candidates[0].Load
		assert.Equal(t, load.FailureRate(time.Now()), 0.0)
		assert.Assert(t, !load.Avoided(time.Now()))
	}
}

// TestSecondAttemptsFindRoom guards against requests that are silent together and all choose
// the same last room.
func TestSecondAttemptsFindRoom(t *testing.T) {
	const requests = 24
	runInBubble(t, "", func(t *testing.T) {
		first := newScriptedHandover(t, 2, endpointScript{30 * testPatience, answered{}}, endpointScript{30 * testPatience, answered{}})
		first.candidates[0].Slots, first.candidates[1].Slots = requests, 4
		var waitgroup sync.WaitGroup
		for range requests {
			scripted := *first
			request := &request{
				server: first.server, snapshot: first.request.snapshot, service: "app", receivedAt: time.Now(), deadline: time.Now().Add(time.Minute), route: first.request.route,
			}
			scripted.request, scripted.handover = request, newHandover(t.Context(), request, scripted.attend)
			waitgroup.Go(func() { scripted.run() })
		}
		time.Sleep(20 * testPatience)
		allowed := int(4 * (1 + first.server.routing.PlainQueueAllowance))
		assert.Check(t, first.candidates[1].Load.OwnInFlight() <= allowed, "%d requests at an endpoint that is chosen for %d", first.candidates[1].Load.OwnInFlight(), allowed)
		waitgroup.Wait()
		first.expectNothingLeft()
	})
}

// TestLostEndpointIsGivenUp guards against a request that waits until its deadline for an
// endpoint that has been reported as lost, and against one that gives up an endpoint that
// answers probes again, or that has been lost for a short time twice.
func TestLostEndpointIsGivenUp(t *testing.T) {
	lost, found := (*Server).ReportLost, (*Server).ReportFound
	for _, test := range []struct {
		name    string
		reports []func(*Server, []string) // one each 3 * testPatience; an endpoint counts as gone after 4
		want    string
	}{
		{"it stays lost", []func(*Server, []string){lost}, errGone.Error()},
		{"another member is lost, too", []func(*Server, []string){lost, lost}, errGone.Error()},
		{"it is found", []func(*Server, []string){lost, found}, "e0"},
		{"it pauses twice", []func(*Server, []string){lost, found, lost, found}, "e0"},
	} {
		runInBubble(t, test.name, func(t *testing.T) {
			scripted := newScriptedHandover(t, 1, endpointScript{20 * testPatience, answered{}})
			for i, report := range test.reports {
				time.AfterFunc(time.Duration(3*i+1)*testPatience, func() { report(scripted.server, []string{"e0"}) })
			}
			startedAt := time.Now()
			assert.Equal(t, scripted.run(), test.want)
			assert.Check(t, test.want == "e0" || time.Since(startedAt) >= 5*testPatience, "given up after %s", time.Since(startedAt))
			scripted.expectNothingLeft()
		})
	}
}
