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
	copy       memory.Copy     // to which the store may go back
	holderOf   map[int64]*node // who has held the lease under a fencing number
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
	cluster := &cluster{t: t, store: memory.NewStore(), now: time.Unix(1_000_000, 0), holderOf: map[int64]*node{}}
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
		rows.Check{Key: lease.FencingRowKey("l"), Base: rows.Version(fence)},
	}})
	newest, _ := cluster.store.Get(context.Background(), lease.FencingRowKey("l"))
	_, committed := outcome.(rows.Committed)
	assert.Equal(t, committed, fence == lease.FencingNumber(newest))
}

func (cluster *cluster) checkHolders(t *rapid.T) {
	holders := 0
	for _, node := range cluster.nodes {
		fence, held := node.claim.Held(cluster.clock(node))
		if !held {
			continue
		}
		holders++
		if previous := cluster.holderOf[fence]; previous != nil && previous != node {
			cluster.t.Fatalf("two nodes have held the lease under fencing number %d", fence)
		}
		cluster.holderOf[fence] = node
	}
	assert.Assert(t, holders <= 1, "%d nodes hold the lease", holders)
	fencingRow, _ := cluster.store.Get(context.Background(), lease.FencingRowKey("l"))
	assert.Assert(t, lease.FencingNumber(fencingRow) >= cluster.lastFence, "the fencing number decreased")
	cluster.lastFence = lease.FencingNumber(fencingRow)
}

func (cluster *cluster) copyStore(*rapid.T) { cluster.copy = cluster.store.Copy() }

func (cluster *cluster) goBack(*rapid.T) { cluster.store.GoBack(cluster.copy) }

// TestLeaseHasOneHolderAfterStoreWentBack is TestLeaseHasOneHolder with a store that
// comes back from older copies, in which the lease may be free or have an earlier
// holder, and that gives versions out again. No fencing number has two holders.
func TestLeaseHasOneHolderAfterStoreWentBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cluster := newCluster(t)
		t.Repeat(map[string]func(*rapid.T){
			"pass": cluster.advanceClock, "pause": cluster.pause, "read": cluster.read, "act": cluster.sendAction,
			"turn": cluster.runOnce, "turn again": cluster.runOnce, "settle": cluster.resolve, "hand over": cluster.release,
			"copy": cluster.copyStore, "go back": cluster.goBack, "": cluster.checkHolders,
		})
	})
}

// TestHolderKeepsLeaseAfterStoreWentBack guards against a gap without a holder: the
// one that held the lease acquires it in the new era at once, under a higher number.
func TestHolderKeepsLeaseAfterStoreWentBack(t *testing.T) {
	store, ctx, now := memory.NewStore(), context.Background(), time.Unix(1_000_000, 0)
	holder, other := lease.NewClaim(policy, "l", "holder"), lease.NewClaim(policy, "l", "other")
	act := func(claim *lease.Claim, writeID string) (fence int64, held bool) {
		row, _ := store.Get(ctx, rows.Key{Partition: lease.Partition, Sort: "l"})
		fencingRow, _ := store.Get(ctx, lease.FencingRowKey("l"))
		assert.NilError(t, claim.Observe(row, fencingRow, now))
		if action, due := claim.Next(now, 0, writeID).(lease.Acquire); due {
			claim.Resolve(action, store.Commit(ctx, action.Txn), now)
		}
		return claim.Held(now)
	}
	empty := store.Copy()
	before, held := act(holder, "1")
	assert.Assert(t, held)
	store.GoBack(empty)
	now = now.Add(time.Second)
	_, held = act(other, "2")
	assert.Assert(t, !held, "acquired while the holder of the previous era may still act")
	after, held := act(holder, "3")
	assert.Assert(t, held)
	assert.Assert(t, after > before)
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
