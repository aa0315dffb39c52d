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

type receipt struct {
	Key string `json:"key"`
	Run int    `json:"run"`
}

// ledgerMachine sends calls that may run once through several nodes, with the
// store, the endpoint and the nodes failing, and holds each answer against a
// ledger kept by one hand: what the endpoint itself counted.
type ledgerMachine struct {
	bench *bench
	t     *testing.T
	run   int64
	down  bool
}

func (m *ledgerMachine) call(t *rapid.T) {
	key := fmt.Sprintf("%d-%d", m.run, rapid.IntRange(0, 3).Draw(t, "key"))
	payload := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "payload")
	node := rapid.IntRange(0, len(m.bench.servers)-1).Draw(t, "node")
	var fates []memory.FaultMode
	for range 4 {
		fates = append(fates, rapid.SampledFrom([]memory.FaultMode{
			memory.NoFault, memory.NoFault, memory.ReplyLost, memory.Dropped, memory.Delayed,
		}).Draw(t, "fate"))
	}
	m.bench.store.SetFaultModes(fates...)
	got := m.bench.send(m.t, node, http.MethodPost, "/ledger/loans", payload, headerKey, key)
	m.bench.store.SetFaultModes()
	m.judge(t, key, got)
}

// judge holds one answer against the endpoint's own count.
func (m *ledgerMachine) judge(t *rapid.T, key string, got seen) {
	runs := m.bench.ledger.Executions(key)
	switch got.outcome {
	case OutcomeNotRun:
		if got.status != http.StatusUnprocessableEntity {
			assert.Equal(t, runs, 0, "told that it was not run: %d %s", got.status, got.body)
		}
	case OutcomeRan:
		assert.Equal(t, runs, 1)
		var receipt receipt
		assert.NilError(t, json.Unmarshal([]byte(got.body), &receipt))
		assert.Equal(t, receipt.Key, key)
		assert.Equal(t, receipt.Run, 1)
	case OutcomeUnknown:
	default:
		t.Fatalf("an answer without an outcome: %d %s", got.status, got.body)
	}
}

func (m *ledgerMachine) storeDown(*rapid.T) {
	m.down = !m.down
	m.bench.store.SetDown(m.down)
}

func (m *ledgerMachine) land(*rapid.T) { m.bench.store.ApplyDelayed() }

func (m *ledgerMachine) endpoint(t *rapid.T) {
	m.bench.plain.SetFault(rapid.SampledFrom([]fakes.EndpointFault{
		{}, {}, {LoseAnswers: 1}, {LoseAnswers: 2}, {Dead: true},
	}).Draw(t, "fault"))
}

func (m *ledgerMachine) nodeDies(t *rapid.T) {
	m.bench.replace(m.t, rapid.IntRange(0, len(m.bench.servers)-1).Draw(t, "node"))
}

func (m *ledgerMachine) check(t *rapid.T) {
	doubled, _ := m.bench.ledger.Duplicates()
	assert.Equal(t, doubled, 0, "a call ran twice")
}

// runs numbers the runs, so that no two share a key.
var runs atomic.Int64

func TestCallRunsAtMostOnceThroughAnyNode(t *testing.T) {
	bench := newBench(t, 3)
	rapid.Check(t, func(r *rapid.T) {
		m := &ledgerMachine{bench: bench, t: t, run: runs.Add(1)}
		bench.store.SetDown(false)
		bench.plain.SetFault(fakes.EndpointFault{})
		r.Repeat(map[string]func(*rapid.T){
			"call": m.call, "call again": m.call, "store": m.storeDown, "land": m.land,
			"endpoint": m.endpoint, "node dies": m.nodeDies, "": m.check,
		})
	})
	doubled, keys := bench.ledger.Duplicates()
	t.Logf("%d keys ran, %d twice", keys, doubled)
	assert.Assert(t, keys > 20, "too few calls ran for the test to mean anything")
}

func TestRacingDuplicatesRunOnce(t *testing.T) {
	b := newBench(t, 3)
	for round := range 20 {
		key := fmt.Sprintf("race-%d", round)
		var racers sync.WaitGroup
		for i := range 9 {
			racers.Go(func() { b.send(t, i%3, http.MethodPost, "/ledger/loans", "x", headerKey, key) })
		}
		racers.Wait()
		assert.Equal(t, b.ledger.Executions(key), 1)
		again := b.send(t, round%3, http.MethodPost, "/ledger/loans", "x", headerKey, key)
		assert.Equal(t, again.outcome, OutcomeRan, again.body)
	}
}

func TestOutcomesOfACall(t *testing.T) {
	b := newBench(t, 2)
	expectCall := func(name string, node int, key, body string, status int, outcome Outcome, runs int) {
		t.Helper()
		got := b.send(t, node, http.MethodPost, "/ledger/loans", body, headerKey, key)
		assert.Equal(t, got.status, status, "%s: %s", name, got.body)
		assert.Equal(t, got.outcome, outcome, name)
		assert.Equal(t, b.ledger.Executions(key), runs, name)
	}
	none := b.send(t, 0, http.MethodPost, "/ledger/loans", "x")
	assert.Equal(t, none.status, http.StatusBadRequest)
	expectCall("first", 0, "k1", "x", http.StatusCreated, OutcomeRan, 1)
	expectCall("duplicate elsewhere", 1, "k1", "x", http.StatusCreated, OutcomeRan, 1)
	expectCall("another payload", 1, "k1", "y", http.StatusUnprocessableEntity, OutcomeNotRun, 1)
	b.store.SetDown(true)
	expectCall("store down", 0, "k2", "x", http.StatusServiceUnavailable, OutcomeUnknown, 0)
	expectCall("store down after it ran", 1, "k1", "x", http.StatusServiceUnavailable, OutcomeUnknown, 1)
	b.store.SetDown(false)
	b.plain.SetFault(fakes.EndpointFault{LoseAnswers: 1})
	expectCall("answer lost", 0, "k3", "x", http.StatusBadGateway, OutcomeUnknown, 1)
	expectCall("asked again", 1, "k3", "x", http.StatusBadGateway, OutcomeUnknown, 1)
	b.store.SetFaultModes(memory.ReplyLost, memory.NoFault, memory.NoFault)
	expectCall("the claim's answer lost", 0, "k4", "x", http.StatusCreated, OutcomeRan, 1)
	b.store.SetFaultModes(memory.NoFault, memory.ReplyLost)
	expectCall("the record's answer lost", 0, "k5", "x", http.StatusCreated, OutcomeRan, 1)
	expectCall("and asked again", 1, "k5", "x", http.StatusCreated, OutcomeRan, 1)
}

// TestTransportDoesNotRepeatACall closes a used connection without an answer:
// net/http sends a request with an Idempotency-Key again on its own then.
func TestTransportDoesNotRepeatACall(t *testing.T) {
	b := newBench(t, 1)
	for i := range 5 {
		key := fmt.Sprintf("warm-%d", i)
		b.send(t, 0, http.MethodPost, "/ledger/loans", "x", headerKey, key)
		b.plain.SetFault(fakes.EndpointFault{LoseAnswers: 2})
		lost := fmt.Sprintf("lost-%d", i)
		b.send(t, 0, http.MethodPost, "/ledger/loans", "x", headerKey, lost)
		b.plain.SetFault(fakes.EndpointFault{})
		assert.Equal(t, b.ledger.Executions(lost), 1)
	}
}

// TestLongAnswerIsReplayedWhole keeps an answer that no single row can hold.
func TestLongAnswerIsReplayedWhole(t *testing.T) {
	b := newBench(t, 2)
	b.plain.SetFault(fakes.EndpointFault{PadBytes: 900_000})
	first := b.send(t, 0, http.MethodPost, "/ledger/loans", "x", headerKey, "long")
	again := b.send(t, 1, http.MethodPost, "/ledger/loans", "x", headerKey, "long")
	assert.Equal(t, first.outcome, OutcomeRan)
	assert.Assert(t, len(first.body) > 900_000)
	assert.Equal(t, again.body, first.body)
	assert.Equal(t, b.ledger.Executions("long"), 1)
}
