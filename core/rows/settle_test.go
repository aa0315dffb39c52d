package rows_test

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"hickorybend/core/memory"
	"hickorybend/core/rows"
)

// explorer tries every order of what can happen to one transaction whose
// answer was lost: it may land at any moment, another writer may move the row
// at any moment, and each fence's own answer may be lost too.
type explorer struct {
	t        *testing.T
	done     int
	refused  int
	explored int
}

// world is one state of the exploration, small enough to copy.
type world struct {
	row     rows.Row
	pending bool
	landed  bool
	rivals  int
	fences  int
	fencing *rows.Txn
	settled rows.Outcome
}

const (
	maxRivals = 3
	maxFences = 3
)

var (
	testKey = rows.Key{Partition: "p", Sort: "s"}
	testTxn = rows.Txn{WriteID: "asked", Ops: []rows.Op{rows.Put{Key: testKey, Base: 0, Body: []byte("asked")}}}
)

func (w world) apply(txn rows.Txn) (world, bool) {
	put := txn.Ops[0].(rows.Put)
	if put.Base != w.row.Version {
		return w, false
	}
	w.row = rows.Apply(put, txn.WriteID)
	return w, true
}

func (e *explorer) explore(w world, depth int) {
	e.explored++
	if w.settled != nil {
		e.judge(w, depth)
		return
	}
	if depth == 0 {
		return
	}
	if w.pending {
		next, landed := w.apply(testTxn)
		next.pending, next.landed = false, w.landed || landed
		e.explore(next, depth-1)
	}
	if w.rivals < maxRivals {
		rival := rows.Replace(w.row, []byte("rival"))
		rival.Key = testKey
		next, _ := w.apply(rows.Txn{WriteID: "rival", Ops: []rows.Op{rival}})
		next.rivals++
		e.explore(next, depth-1)
	}
	if w.fencing != nil {
		next, _ := w.apply(*w.fencing)
		next.fencing = nil
		e.explore(next, depth-1)
		return
	}
	e.look(w, depth)
}

// look is one move of the settler: read, and act on the verdict.
func (e *explorer) look(w world, depth int) {
	switch verdict := rows.Resolve(testTxn, w.row, rows.FenceID("asked", w.fences)).(type) {
	case rows.Resolved:
		w.settled = verdict.Outcome
		e.explore(w, depth-1)
	case rows.Fence:
		if w.fences < maxFences {
			w.fences++
			fence := verdict.Txn
			w.fencing = &fence
			e.explore(w, depth-1)
		}
	}
}

// judge lets the transaction land after the verdict if it still can: a verdict
// that this contradicts is wrong.
func (e *explorer) judge(w world, _ int) {
	landed := w.landed
	if w.pending {
		_, late := w.apply(testTxn)
		landed = landed || late
	}
	_, done := w.settled.(rows.Committed)
	if done {
		e.done++
	} else {
		e.refused++
	}
	assert.Equal(e.t, done, landed, "the verdict %T is wrong for %+v", w.settled, w.row)
}

func TestSettleIsRightInEveryOrder(t *testing.T) {
	e := &explorer{t: t}
	e.explore(world{pending: true}, 12)
	t.Logf("%d states, %d verdicts of done, %d of refused", e.explored, e.done, e.refused)
	assert.Assert(t, e.done > 0 && e.refused > 0, "one of the verdicts was never reached")
}

func TestSettleGivesUpOnForgottenWrites(t *testing.T) {
	row := rows.Row{Key: testKey, Version: rows.MaxWriteIDs + 2}
	_, lost := rows.Resolve(testTxn, row, "fence").(rows.Unresolvable)
	assert.Assert(t, lost)
}

func TestMemoryStoreIsAllOrNothing(t *testing.T) {
	store := memory.NewStore()
	other := rows.Key{Partition: "p", Sort: "other"}
	ctx := context.Background()
	outcome := store.Commit(ctx, rows.Txn{WriteID: "1", Ops: []rows.Op{
		rows.Put{Key: testKey, Base: 0}, rows.Check{Key: other, Base: 7},
	}})
	assert.DeepEqual(t, outcome, rows.Refused{Key: other})
	_, err := store.Get(ctx, testKey)
	assert.Assert(t, errors.Is(err, rows.ErrAbsent))
}
