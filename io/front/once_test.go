package front

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hickorybend/core/memory"
	"hickorybend/io/fakes"
)

// receipt is the body of the plain service's response to a call.
type receipt struct {
	Key string `json:"key"`
	Run int    `json:"run"`
}

// callMachine is a state machine for rapid. It sends at-most-once calls through
// several nodes while the store, the endpoint and the nodes fail, and compares each
// response with the endpoint's own count of executions.
type callMachine struct {
	harness    *harness
	t          *testing.T
	caseNumber int64
	storeDown  bool
}

func (callmachine *callMachine) call(t *rapid.T) {
	key := fmt.Sprintf("%d-%d", callmachine.caseNumber, rapid.IntRange(0, 3).Draw(t, "key"))
	payload := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "payload")
	node := rapid.IntRange(0, len(callmachine.harness.servers)-1).Draw(t, "node")
	var faultModes []memory.FaultMode
	for range 4 {
		faultModes = append(faultModes, rapid.SampledFrom([]memory.FaultMode{
			memory.NoFault, memory.NoFault, memory.ReplyLost, memory.Dropped, memory.Delayed,
		}).Draw(t, "fault mode"))
	}
	callmachine.harness.store.SetFaultModes(faultModes...)
	got := callmachine.harness.send(callmachine.t, node, http.MethodPost, "/ledger/loans", payload, headerIdempotencyKey, key)
	callmachine.harness.store.SetFaultModes()
	callmachine.checkResponse(t, key, got)
}

// checkResponse compares one response with the endpoint's count of executions.
func (callmachine *callMachine) checkResponse(t *rapid.T, key string, got clientResponse) {
	executions := callmachine.harness.counter.Executions(key)
	switch got.outcome {
	case OutcomeNotRun:
		if got.status != http.StatusUnprocessableEntity {
			assert.Equal(t, executions, 0, "outcome not-run, but the call ran: %d %s", got.status, got.body)
		}
	case OutcomeRan:
		assert.Equal(t, executions, 1)
		var receipt receipt
		assert.NilError(t, json.Unmarshal([]byte(got.body), &receipt))
		assert.Equal(t, receipt.Key, key)
		assert.Equal(t, receipt.Run, 1)
	case OutcomeUnknown:
	default:
		t.Fatalf("response without an outcome: %d %s", got.status, got.body)
	}
}

func (callmachine *callMachine) toggleStore(*rapid.T) {
	callmachine.storeDown = !callmachine.storeDown
	callmachine.harness.store.SetDown(callmachine.storeDown)
}

func (callmachine *callMachine) applyDelayed(*rapid.T) { callmachine.harness.store.ApplyDelayed() }

func (callmachine *callMachine) setEndpointFault(t *rapid.T) {
	callmachine.harness.plainInstance.SetFault(rapid.SampledFrom([]fakes.EndpointFault{
		{}, {}, {LoseAnswers: 1}, {LoseAnswers: 2}, {Dead: true},
	}).Draw(t, "fault"))
}

func (callmachine *callMachine) restartNode(t *rapid.T) {
	callmachine.harness.restartNode(callmachine.t, rapid.IntRange(0, len(callmachine.harness.servers)-1).Draw(t, "node"))
}

func (callmachine *callMachine) checkNoDuplicates(t *rapid.T) {
	duplicates, _ := callmachine.harness.counter.Duplicates()
	assert.Equal(t, duplicates, 0, "a call ran twice")
}

// caseCount numbers the cases of rapid.Check, so that no two share a key.
var caseCount atomic.Int64

func TestCallRunsAtMostOnceThroughAnyNode(t *testing.T) {
	harness := newHarness(t, 3)
	rapid.Check(t, func(r *rapid.T) {
		callmachine := &callMachine{harness: harness, t: t, caseNumber: caseCount.Add(1)}
		harness.store.SetDown(false)
		harness.plainInstance.SetFault(fakes.EndpointFault{})
		r.Repeat(map[string]func(*rapid.T){
			"call": callmachine.call, "call again": callmachine.call, "store": callmachine.toggleStore, "land": callmachine.applyDelayed,
			"endpoint": callmachine.setEndpointFault, "node dies": callmachine.restartNode, "": callmachine.checkNoDuplicates,
		})
	})
	duplicates, keys := harness.counter.Duplicates()
	t.Logf("%d keys ran, %d twice", keys, duplicates)
	assert.Assert(t, keys > 20, "too few calls ran for a conclusive test")
}

// TestRacingDuplicatesRunOnce sends duplicates through three nodes at once: only
// the one whose claim is committed may run, and later ones get its response.
func TestRacingDuplicatesRunOnce(t *testing.T) {
	harness := newHarness(t, 3)
	for round := range 20 {
		key := fmt.Sprintf("race-%d", round)
		var callers sync.WaitGroup
		for i := range 9 {
			callers.Go(func() { harness.send(t, i%3, http.MethodPost, "/ledger/loans", "x", headerIdempotencyKey, key) })
		}
		callers.Wait()
		assert.Equal(t, harness.counter.Executions(key), 1)
		again := harness.send(t, round%3, http.MethodPost, "/ledger/loans", "x", headerIdempotencyKey, key)
		assert.Equal(t, again.outcome, OutcomeRan, again.body)
	}
}

func TestOutcomesOfACall(t *testing.T) {
	harness := newHarness(t, 2)
	expectCall := func(name string, node int, key, body string, status int, outcome Outcome, executions int) {
		t.Helper()
		got := harness.send(t, node, http.MethodPost, "/ledger/loans", body, headerIdempotencyKey, key)
		assert.Equal(t, got.status, status, "%s: %s", name, got.body)
		assert.Equal(t, got.outcome, outcome, name)
		assert.Equal(t, harness.counter.Executions(key), executions, name)
	}
	none := harness.send(t, 0, http.MethodPost, "/ledger/loans", "x")
	assert.Equal(t, none.status, http.StatusBadRequest)
	expectCall("first call", 0, "k1", "x", http.StatusCreated, OutcomeRan, 1)
	expectCall("duplicate through another node", 1, "k1", "x", http.StatusCreated, OutcomeRan, 1)
	expectCall("another payload", 1, "k1", "y", http.StatusUnprocessableEntity, OutcomeNotRun, 1)
	harness.store.SetDown(true)
	expectCall("store down", 0, "k2", "x", http.StatusServiceUnavailable, OutcomeUnknown, 0)
	expectCall("store down after the call ran", 1, "k1", "x", http.StatusServiceUnavailable, OutcomeUnknown, 1)
	harness.store.SetDown(false)
	harness.plainInstance.SetFault(fakes.EndpointFault{LoseAnswers: 1})
	expectCall("answer lost", 0, "k3", "x", http.StatusBadGateway, OutcomeUnknown, 1)
	expectCall("duplicate after a lost answer", 1, "k3", "x", http.StatusBadGateway, OutcomeUnknown, 1)
	harness.store.SetFaultModes(memory.ReplyLost, memory.NoFault, memory.NoFault)
	expectCall("the store's answer to the claim lost", 0, "k4", "x", http.StatusCreated, OutcomeRan, 1)
	harness.store.SetFaultModes(memory.NoFault, memory.ReplyLost)
	expectCall("the store's answer to the record lost", 0, "k5", "x", http.StatusCreated, OutcomeRan, 1)
	expectCall("duplicate after a lost answer to the record", 1, "k5", "x", http.StatusCreated, OutcomeRan, 1)
}

// TestTransportDoesNotRepeatACall has the endpoint close connections without a
// response. On a connection that was used before, net/http then resends a request
// that has an Idempotency-Key by itself, and the call would run twice.
func TestTransportDoesNotRepeatACall(t *testing.T) {
	harness := newHarness(t, 1)
	for i := range 5 {
		key := fmt.Sprintf("warm-%d", i)
		harness.send(t, 0, http.MethodPost, "/ledger/loans", "x", headerIdempotencyKey, key)
		harness.plainInstance.SetFault(fakes.EndpointFault{LoseAnswers: 2})
		lost := fmt.Sprintf("lost-%d", i)
		harness.send(t, 0, http.MethodPost, "/ledger/loans", "x", headerIdempotencyKey, lost)
		harness.plainInstance.SetFault(fakes.EndpointFault{})
		assert.Equal(t, harness.counter.Executions(lost), 1)
	}
}

// TestLongResponseIsReplayedCompletely replays a response that is too long for a
// single row of the table service, so that it is stored in chunks.
func TestLongResponseIsReplayedCompletely(t *testing.T) {
	harness := newHarness(t, 2)
	harness.plainInstance.SetFault(fakes.EndpointFault{PadBytes: 900_000})
	first := harness.send(t, 0, http.MethodPost, "/ledger/loans", "x", headerIdempotencyKey, "long")
	again := harness.send(t, 1, http.MethodPost, "/ledger/loans", "x", headerIdempotencyKey, "long")
	assert.Equal(t, first.outcome, OutcomeRan)
	assert.Assert(t, len(first.body) > 900_000)
	assert.Equal(t, again.body, first.body)
	assert.Equal(t, harness.counter.Executions("long"), 1)
}
