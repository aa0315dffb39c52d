package rows_test

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"hickorybend/core/memory"
	"hickorybend/core/rows"
)

// explorer goes through every order of events for one transaction whose reply
// was lost: the transaction may take effect at any moment, another writer may
// write the row at any moment, and the reply to each fence may be lost too.
type explorer struct {
	t         *testing.T
	committed int
	rejected  int
	explored  int
}

// state is one state of the exploration. It is copied at each step. inFlight
// means that the transaction may still take effect.
type state struct {
	row           rows.Row
	inFlight      bool
	committed     bool
	otherWrites   int
	fences        int
	fenceInFlight *rows.Txn
	outcome       rows.Outcome
}

const (
	maxOtherWrites = 3
	maxFences      = 3
)

var (
	testKey = rows.Key{Partition: "p", Sort: "s"}
	testTxn = rows.Txn{WriteID: "txn", Ops: []rows.Op{rows.Put{Key: testKey, Base: 0, Body: []byte("txn")}}}
)

func (state state) apply(txn rows.Txn) (state, bool) {
	put := txn.Ops[0].(rows.Put)
	if put.Base != state.row.Version {
		return state, false
	}
	state.row = rows.Apply(put, txn.WriteID)
	return state, true
}

func (explorer *explorer) explore(state state, depth int) {
	explorer.explored++
	if state.outcome != nil {
		explorer.checkOutcome(state, depth)
		return
	}
	if depth == 0 {
		return
	}
	if state.inFlight {
		next, committed := state.apply(testTxn)
		next.inFlight, next.committed = false, state.committed || committed
		explorer.explore(next, depth-1)
	}
	if state.otherWrites < maxOtherWrites {
		other := rows.Replace(state.row, []byte("other"))
		other.Key = testKey
		next, _ := state.apply(rows.Txn{WriteID: "other", Ops: []rows.Op{other}})
		next.otherWrites++
		explorer.explore(next, depth-1)
	}
	if state.fenceInFlight != nil {
		next, _ := state.apply(*state.fenceInFlight)
		next.fenceInFlight = nil
		explorer.explore(next, depth-1)
		return
	}
	explorer.resolve(state, depth)
}

// resolve makes one step: it reads the row and acts on the resolution.
func (explorer *explorer) resolve(state state, depth int) {
	switch resolution := rows.Resolve(testTxn, state.row, rows.FenceID("txn", state.fences)).(type) {
	case rows.Resolved:
		state.outcome = resolution.Outcome
		explorer.explore(state, depth-1)
	case rows.Fence:
		if state.fences < maxFences {
			state.fences++
			fence := resolution.Txn
			state.fenceInFlight = &fence
			explorer.explore(state, depth-1)
		}
	}
}

// checkOutcome lets a transaction in flight take effect after its outcome was
// resolved, if it still can. If the two disagree, the resolved outcome is wrong.
func (explorer *explorer) checkOutcome(state state, _ int) {
	committed := state.committed
	if state.inFlight {
		_, applied := state.apply(testTxn)
		committed = committed || applied
	}
	_, reported := state.outcome.(rows.Committed)
	if reported {
		explorer.committed++
	} else {
		explorer.rejected++
	}
	assert.Equal(explorer.t, reported, committed, "the outcome %T is wrong for row %+v", state.outcome, state.row)
}

// TestResolveIsRightInEveryOrder guards against a transaction that is resolved as
// rejected and takes effect later, or that is resolved as committed and never took
// effect.
func TestResolveIsRightInEveryOrder(t *testing.T) {
	explorer := &explorer{t: t}
	explorer.explore(state{inFlight: true}, 12)
	t.Logf("%d states, %d resolved as committed, %d as rejected", explorer.explored, explorer.committed, explorer.rejected)
	assert.Assert(t, explorer.committed > 0 && explorer.rejected > 0, "one of the outcomes was never reached")
}

// TestResolveGivesUpOnDroppedWriteIDs guards against taking a missing write id for
// a rejection after the row has dropped the ids of its older writes.
func TestResolveGivesUpOnDroppedWriteIDs(t *testing.T) {
	row := rows.Row{Key: testKey, Version: rows.MaxWriteIDs + 2}
	_, unresolvable := rows.Resolve(testTxn, row, "fence").(rows.Unresolvable)
	assert.Assert(t, unresolvable)
}

func TestMemoryStoreIsAllOrNothing(t *testing.T) {
	store := memory.NewStore()
	other := rows.Key{Partition: "p", Sort: "other"}
	ctx := context.Background()
	outcome := store.Commit(ctx, rows.Txn{WriteID: "1", Ops: []rows.Op{
		rows.Put{Key: testKey, Base: 0}, rows.Check{Key: other, Base: 7},
	}})
	assert.DeepEqual(t, outcome, rows.Rejected{Key: other})
	_, err := store.Get(ctx, testKey)
	assert.Assert(t, errors.Is(err, rows.ErrAbsent))
}
