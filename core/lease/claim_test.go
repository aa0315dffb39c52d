package lease_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hickorybend/core/lease"
	"hickorybend/core/memory"
	"hickorybend/core/rows"
)

// machine runs several holders against one store. Each has its own pauses and
// its own clock offset; a step of time is the same for all.
type machine struct {
	t       *rapid.T
	store   *memory.Store
	now     time.Time
	nodes   []*node
	written int
	fences  int64
}

type node struct {
	claim  *lease.Claim
	offset time.Duration
	paused bool
	flying *flight
}

// flight is an action that was sent and whose outcome has not been taken in.
type flight struct {
	action  lease.Action
	outcome rows.Outcome
}

var policy = lease.Policy{RenewEvery: 2 * time.Second, TTL: 6 * time.Second, Margin: 500 * time.Millisecond}

func newMachine(t *rapid.T) *machine {
	m := &machine{t: t, store: memory.NewStore(), now: time.Unix(1_000_000, 0)}
	for i := range 3 {
		m.nodes = append(m.nodes, &node{
			claim:  lease.NewClaim(policy, "l", fmt.Sprintf("node-%d", i)),
			offset: time.Duration(rapid.IntRange(-100_000, 100_000).Draw(t, "offset")) * time.Millisecond,
		})
	}
	return m
}

func (m *machine) clock(n *node) time.Time { return m.now.Add(n.offset) }

func (m *machine) awake(t *rapid.T) *node {
	n := rapid.SampledFrom(m.nodes).Draw(t, "node")
	if n.paused {
		t.Skip("paused")
	}
	return n
}

func (m *machine) pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
}

func (m *machine) pause(t *rapid.T) {
	n := rapid.SampledFrom(m.nodes).Draw(t, "node")
	n.paused = !n.paused
}

func (m *machine) read(t *rapid.T) {
	m.observe(m.awake(t))
}

func (m *machine) observe(n *node) {
	row, _ := m.store.Get(context.Background(), rows.Key{Partition: lease.Partition, Sort: "l"})
	fence, _ := m.store.Get(context.Background(), lease.FenceKey("l"))
	assert.NilError(m.t, n.claim.Observe(row, fence, m.clock(n)))
}

func (m *machine) act(t *rapid.T) {
	n := m.awake(t)
	if n.flying != nil {
		t.Skip("own write under way")
	}
	m.written++
	action := n.claim.Next(m.clock(n), 0, fmt.Sprintf("w-%d", m.written))
	var txn rows.Txn
	switch typed := action.(type) {
	case lease.Renew:
		txn = typed.Txn
	case lease.Acquire:
		txn = typed.Txn
	default:
		return
	}
	m.store.SetFaultModes(rapid.SampledFrom([]memory.FaultMode{memory.NoFault, memory.NoFault, memory.ReplyLost, memory.Dropped}).Draw(t, "fate"))
	n.flying = &flight{action: action, outcome: m.store.Commit(context.Background(), txn)}
	m.store.SetFaultModes()
}

// settle lets a node take in the outcome of what it sent, however late.
func (m *machine) settle(t *rapid.T) {
	n := m.awake(t)
	if n.flying == nil {
		t.Skip("nothing sent")
	}
	n.claim.Resolve(n.flying.action, n.flying.outcome, m.clock(n))
	n.flying = nil
}

// turn is a whole undisturbed round of one node.
func (m *machine) turn(t *rapid.T) {
	n := m.awake(t)
	if n.flying != nil {
		t.Skip("own write under way")
	}
	m.observe(n)
	m.written++
	action := n.claim.Next(m.clock(n), 0, fmt.Sprintf("w-%d", m.written))
	switch typed := action.(type) {
	case lease.Renew:
		n.claim.Resolve(action, m.store.Commit(context.Background(), typed.Txn), m.clock(n))
	case lease.Acquire:
		n.claim.Resolve(action, m.store.Commit(context.Background(), typed.Txn), m.clock(n))
	}
}

func (m *machine) handOver(t *rapid.T) {
	n := m.awake(t)
	if n.flying != nil {
		t.Skip("own write under way")
	}
	m.written++
	if txn, held := n.claim.Release(m.clock(n), fmt.Sprintf("w-%d", m.written)); held {
		m.store.Commit(context.Background(), txn)
	}
}

// order is a write under the lease by a node that may have been paused since
// it last looked: the store takes it only under the newest fencing number.
func (m *machine) order(t *rapid.T) {
	n := rapid.SampledFrom(m.nodes).Draw(t, "node")
	fence, _ := n.claim.Held(m.clock(n))
	if fence == 0 {
		t.Skip("never held")
	}
	m.written++
	outcome := m.store.Commit(context.Background(), rows.Txn{WriteID: fmt.Sprintf("w-%d", m.written), Ops: []rows.Op{
		rows.Check{Key: lease.FenceKey("l"), Base: fence},
	}})
	newest, _ := m.store.Get(context.Background(), lease.FenceKey("l"))
	_, done := outcome.(rows.Committed)
	assert.Equal(t, done, fence == newest.Version)
}

func (m *machine) check(t *rapid.T) {
	holders := 0
	for _, n := range m.nodes {
		if _, held := n.claim.Held(m.clock(n)); held {
			holders++
		}
	}
	assert.Assert(t, holders <= 1, "%d nodes hold the lease", holders)
	fence, _ := m.store.Get(context.Background(), lease.FenceKey("l"))
	assert.Assert(t, fence.Version >= m.fences, "the fencing number fell")
	m.fences = fence.Version
}

func TestLeaseHasOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"pass": m.pass, "pause": m.pause, "read": m.read, "act": m.act,
			"turn": m.turn, "turn again": m.turn, "settle": m.settle, "hand over": m.handOver, "order": m.order, "": m.check,
		})
	})
}

func TestDeadHoldersLeaseIsTaken(t *testing.T) {
	store := memory.NewStore()
	ctx := context.Background()
	now := time.Unix(1_000_000, 0)
	first, second := lease.NewClaim(policy, "l", "first"), lease.NewClaim(policy, "l", "second")
	take := func(claim *lease.Claim, write string) bool {
		row, _ := store.Get(ctx, rows.Key{Partition: lease.Partition, Sort: "l"})
		fence, _ := store.Get(ctx, lease.FenceKey("l"))
		assert.NilError(t, claim.Observe(row, fence, now))
		action, wants := claim.Next(now, 0, write).(lease.Acquire)
		if !wants {
			return false
		}
		claim.Resolve(action, store.Commit(ctx, action.Txn), now)
		_, held := claim.Held(now)
		return held
	}
	assert.Assert(t, take(first, "1"))
	assert.Assert(t, !take(second, "2"), "taken from a live holder")
	now = now.Add(policy.TTL)
	assert.Assert(t, take(second, "3"), "a term of standing still")
	_, held := first.Held(now)
	assert.Assert(t, !held)
}
