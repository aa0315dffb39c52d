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

// cluster runs several nodes that claim one lease in one store. Each node is
// paused on its own and has its own clock offset; all clocks run at one rate.
type cluster struct {
	t          *rapid.T
	store      *memory.Store
	now        time.Time
	nodes      []*node
	writeCount int
	lastFence  int64
}

type node struct {
	claim    *lease.Claim
	offset   time.Duration
	paused   bool
	inFlight *sentAction
}

// sentAction is an action that was sent and whose outcome the claim does not know.
type sentAction struct {
	action  lease.Action
	outcome rows.Outcome
}

var policy = lease.Policy{RenewEvery: 2 * time.Second, TTL: 6 * time.Second, Margin: 500 * time.Millisecond}

func newCluster(t *rapid.T) *cluster {
	cluster := &cluster{t: t, store: memory.NewStore(), now: time.Unix(1_000_000, 0)}
	for i := range 3 {
		cluster.nodes = append(cluster.nodes, &node{
			claim:  lease.NewClaim(policy, "l", fmt.Sprintf("node-%d", i)),
			offset: time.Duration(rapid.IntRange(-100_000, 100_000).Draw(t, "offset")) * time.Millisecond,
		})
	}
	return cluster
}

func (cluster *cluster) clock(node *node) time.Time { return cluster.now.Add(node.offset) }

func (cluster *cluster) sampleAwake(t *rapid.T) *node {
	node := rapid.SampledFrom(cluster.nodes).Draw(t, "node")
	if node.paused {
		t.Skip("paused")
	}
	return node
}

func (cluster *cluster) advanceClock(t *rapid.T) {
	cluster.now = cluster.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
}

// pause pauses a node, or resumes it if it is paused.
func (cluster *cluster) pause(t *rapid.T) {
	node := rapid.SampledFrom(cluster.nodes).Draw(t, "node")
	node.paused = !node.paused
}

func (cluster *cluster) read(t *rapid.T) {
	cluster.observe(cluster.sampleAwake(t))
}

func (cluster *cluster) observe(node *node) {
	row, _ := cluster.store.Get(context.Background(), rows.Key{Partition: lease.Partition, Sort: "l"})
	fencingRow, _ := cluster.store.Get(context.Background(), lease.FencingRowKey("l"))
	assert.NilError(cluster.t, node.claim.Observe(row, fencingRow, cluster.clock(node)))
}

func (cluster *cluster) sendAction(t *rapid.T) {
	node := cluster.sampleAwake(t)
	if node.inFlight != nil {
		t.Skip("own write in flight")
	}
	cluster.writeCount++
	action := node.claim.Next(cluster.clock(node), 0, fmt.Sprintf("w-%d", cluster.writeCount))
	var txn rows.Txn
	switch typed := action.(type) {
	case lease.Renew:
		txn = typed.Txn
	case lease.Acquire:
		txn = typed.Txn
	default:
		return
	}
	cluster.store.SetFaultModes(rapid.SampledFrom([]memory.FaultMode{memory.NoFault, memory.NoFault, memory.ReplyLost, memory.Dropped}).Draw(t, "fault"))
	node.inFlight = &sentAction{action: action, outcome: cluster.store.Commit(context.Background(), txn)}
	cluster.store.SetFaultModes()
}

// resolve gives a node the outcome of the action that it sent, at any later time.
func (cluster *cluster) resolve(t *rapid.T) {
	node := cluster.sampleAwake(t)
	if node.inFlight == nil {
		t.Skip("no write in flight")
	}
	node.claim.Resolve(node.inFlight.action, node.inFlight.outcome, cluster.clock(node))
	node.inFlight = nil
}

// runOnce reads the rows, sends the action that is due and takes its outcome,
// without faults or delay.
func (cluster *cluster) runOnce(t *rapid.T) {
	node := cluster.sampleAwake(t)
	if node.inFlight != nil {
		t.Skip("own write in flight")
	}
	cluster.observe(node)
	cluster.writeCount++
	action := node.claim.Next(cluster.clock(node), 0, fmt.Sprintf("w-%d", cluster.writeCount))
	switch typed := action.(type) {
	case lease.Renew:
		node.claim.Resolve(action, cluster.store.Commit(context.Background(), typed.Txn), cluster.clock(node))
	case lease.Acquire:
		node.claim.Resolve(action, cluster.store.Commit(context.Background(), typed.Txn), cluster.clock(node))
	}
}

func (cluster *cluster) release(t *rapid.T) {
	node := cluster.sampleAwake(t)
	if node.inFlight != nil {
		t.Skip("own write in flight")
	}
	cluster.writeCount++
	if txn, held := node.claim.Release(cluster.clock(node), fmt.Sprintf("w-%d", cluster.writeCount)); held {
		cluster.store.Commit(context.Background(), txn)
	}
}

// writeUnderLease sends a transaction under the lease from a node that may have
// been paused since it last read the rows. The store must commit it only under
// the newest fencing number.
func (cluster *cluster) writeUnderLease(t *rapid.T) {
	node := rapid.SampledFrom(cluster.nodes).Draw(t, "node")
	fence, _ := node.claim.Held(cluster.clock(node))
	if fence == 0 {
		t.Skip("never held")
	}
	cluster.writeCount++
	outcome := cluster.store.Commit(context.Background(), rows.Txn{WriteID: fmt.Sprintf("w-%d", cluster.writeCount), Ops: []rows.Op{
		rows.Check{Key: lease.FencingRowKey("l"), Base: fence},
	}})
	newest, _ := cluster.store.Get(context.Background(), lease.FencingRowKey("l"))
	_, committed := outcome.(rows.Committed)
	assert.Equal(t, committed, fence == newest.Version)
}

func (cluster *cluster) checkHolders(t *rapid.T) {
	holders := 0
	for _, node := range cluster.nodes {
		if _, held := node.claim.Held(cluster.clock(node)); held {
			holders++
		}
	}
	assert.Assert(t, holders <= 1, "%d nodes hold the lease", holders)
	fencingRow, _ := cluster.store.Get(context.Background(), lease.FencingRowKey("l"))
	assert.Assert(t, fencingRow.Version >= cluster.lastFence, "the fencing number decreased")
	cluster.lastFence = fencingRow.Version
}

// TestLeaseHasOneHolder guards against two nodes that hold the lease at once and
// against writes under an old fencing number. Both could arise from clocks that
// differ, paused nodes, lost replies, and outcomes that arrive late.
func TestLeaseHasOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cluster := newCluster(t)
		t.Repeat(map[string]func(*rapid.T){
			"pass": cluster.advanceClock, "pause": cluster.pause, "read": cluster.read, "act": cluster.sendAction,
			"turn": cluster.runOnce, "turn again": cluster.runOnce, "settle": cluster.resolve, "hand over": cluster.release, "order": cluster.writeUnderLease, "": cluster.checkHolders,
		})
	})
}

// TestLeaseOfFailedHolderIsAcquired guards against a lease that stays with a holder
// that stopped renewing, or that is acquired from a holder before its TTL is over.
func TestLeaseOfFailedHolderIsAcquired(t *testing.T) {
	store := memory.NewStore()
	ctx := context.Background()
	now := time.Unix(1_000_000, 0)
	first, second := lease.NewClaim(policy, "l", "first"), lease.NewClaim(policy, "l", "second")
	acquire := func(claim *lease.Claim, writeID string) bool {
		row, _ := store.Get(ctx, rows.Key{Partition: lease.Partition, Sort: "l"})
		fencingRow, _ := store.Get(ctx, lease.FencingRowKey("l"))
		assert.NilError(t, claim.Observe(row, fencingRow, now))
		action, due := claim.Next(now, 0, writeID).(lease.Acquire)
		if !due {
			return false
		}
		claim.Resolve(action, store.Commit(ctx, action.Txn), now)
		_, held := claim.Held(now)
		return held
	}
	assert.Assert(t, acquire(first, "1"))
	assert.Assert(t, !acquire(second, "2"), "acquired from a live holder")
	now = now.Add(policy.TTL)
	assert.Assert(t, acquire(second, "3"), "not acquired after a TTL without renewal")
	_, held := first.Held(now)
	assert.Assert(t, !held)
}
