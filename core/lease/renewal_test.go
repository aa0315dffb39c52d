package lease_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/lease"
	"hickorybend/core/memory"
	"hickorybend/core/rows"
)

// renewing is a claim that holds its lease and whose renewal the store has committed,
// without a reply so far.
type renewing struct {
	t       *testing.T
	store   *memory.Store
	claim   *lease.Claim
	now     time.Time
	renew   lease.Renew
	outcome rows.Outcome
}

func newRenewing(t *testing.T) *renewing {
	renewing := &renewing{t: t, store: memory.NewStore(), claim: lease.NewClaim(lease.DefaultPolicy(), "place", "node-1"), now: time.Unix(1000, 0)}
	renewing.read()
	acquire := renewing.claim.Next(renewing.now, 0, "write-1").(lease.Acquire)
	renewing.claim.Resolve(acquire, renewing.store.Commit(context.Background(), acquire.Txn), renewing.now)
	renewing.now = renewing.now.Add(3 * time.Second)
	renewing.renew = renewing.claim.Next(renewing.now, 0, "write-2").(lease.Renew)
	renewing.outcome = renewing.store.Commit(context.Background(), renewing.renew.Txn)
	return renewing
}

// read has the claim observe the rows in the store.
func (renewing *renewing) read() {
	row, _ := renewing.store.Get(context.Background(), rows.Key{Partition: lease.Partition, Sort: "place"})
	fencingRow, _ := renewing.store.Get(context.Background(), lease.FencingRowKey("place"))
	row.Key, fencingRow.Key = rows.Key{Partition: lease.Partition, Sort: "place"}, lease.FencingRowKey("place")
	assert.NilError(renewing.t, renewing.claim.Observe(row, fencingRow, renewing.now))
}

// TestRenewalObservedBeforeItsReply guards against a lease that is lost because
// one renewal is applied twice. That could happen when a feed delivers the row
// of the renewal before the reply to the renewal arrives. The lease has to stay
// held.
func TestRenewalObservedBeforeItsReply(t *testing.T) {
	renewing := newRenewing(t)
	renewing.read()
	renewing.claim.Resolve(renewing.renew, renewing.outcome, renewing.now)
	_, held := renewing.claim.Held(renewing.now.Add(time.Second))
	assert.Assert(t, held)
}

// TestRenewalSentBeforeSuspension guards against a lease that counts as held after a
// suspension, because a renewal from before it took effect: the clock that measures the
// TTL has stood still, and another node may hold the lease.
func TestRenewalSentBeforeSuspension(t *testing.T) {
	for name, learn := range map[string]func(renewing *renewing){
		"by its reply": func(renewing *renewing) {
			renewing.claim.Resolve(renewing.renew, renewing.outcome, renewing.now)
		},
		"by a read": func(renewing *renewing) { renewing.read() },
	} {
		t.Run(name, func(t *testing.T) {
			renewing := newRenewing(t)
			renewing.claim.Invalidate()
			learn(renewing)
			_, held := renewing.claim.Held(renewing.now)
			assert.Assert(t, !held)
			renewing.read()
			renewing.now = renewing.now.Add(lease.DefaultPolicy().TTL)
			fence, _ := renewing.claim.Held(renewing.now)
			acquire := renewing.claim.Next(renewing.now, 0, "write-3").(lease.Acquire)
			renewing.claim.Resolve(acquire, renewing.store.Commit(context.Background(), acquire.Txn), renewing.now)
			next, held := renewing.claim.Held(renewing.now)
			assert.Assert(t, held && next == fence+1, "held %t, fencing number %d after %d", held, next, fence)
		})
	}
}
