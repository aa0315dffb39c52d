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

// TestRenewalObservedBeforeItsReply guards against a lease that is lost because
// one renewal is applied twice. That could happen when a feed delivers the row
// of the renewal before the reply to the renewal arrives. The lease has to stay
// held.
func TestRenewalObservedBeforeItsReply(t *testing.T) {
	store := memory.NewStore()
	claim := lease.NewClaim(lease.DefaultPolicy(), "place", "node-1")
	now := time.Unix(1000, 0)
	read := func() {
		row, _ := store.Get(context.Background(), rows.Key{Partition: lease.Partition, Sort: "place"})
		fencingRow, _ := store.Get(context.Background(), lease.FencingRowKey("place"))
		row.Key, fencingRow.Key = rows.Key{Partition: lease.Partition, Sort: "place"}, lease.FencingRowKey("place")
		assert.NilError(t, claim.Observe(row, fencingRow, now))
	}
	read()
	acquire := claim.Next(now, 0, "write-1").(lease.Acquire)
	claim.Resolve(acquire, store.Commit(context.Background(), acquire.Txn), now)
	now = now.Add(3 * time.Second)
	renew := claim.Next(now, 0, "write-2").(lease.Renew)
	outcome := store.Commit(context.Background(), renew.Txn)
	read()
	claim.Resolve(renew, outcome, now)
	_, held := claim.Held(now.Add(time.Second))
	assert.Assert(t, held)
}
