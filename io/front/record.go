package front

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"hickorybend/core/once"
	"hickorybend/core/rows"
	"hickorybend/io/event"
	"hickorybend/io/table"
)

// recorder writes how calls ended, and goes on trying while the store is down.
type recorder struct {
	store  rows.Store
	log    *zap.Logger
	limits Limits
	open   atomic.Int64
}

// recordMost is how long a record that the store does not take is kept trying.
const recordMost = 24 * time.Hour

func newRecorder(store rows.Store, limits Limits, log *zap.Logger) *recorder {
	return &recorder{store: store, limits: limits, log: log}
}

func (recorder *recorder) waiting() int { return int(recorder.open.Load()) }

// ending is how the call under a claim ended.
type ending struct {
	claim  rows.Txn
	state  once.State
	answer once.Response
}

// close records the end of a claimed call; the caller's answer does not wait
// for a store that is down.
func (recorder *recorder) close(ctx context.Context, ending ending) {
	ctx, cancel := context.WithTimeout(ctx, recorder.limits.RecordLimit)
	defer cancel()
	if recorder.try(ctx, once.ClaimedRow(ending.claim), ending) {
		return
	}
	event.Log(recorder.log, event.RecordLate, zap.String("state", string(ending.state)))
	recorder.open.Add(1)
	go recorder.insist(ending)
}

// abandon takes back a claim that may have landed or may land yet, though its
// call never ran.
func (recorder *recorder) abandon(claim rows.Txn) {
	recorder.open.Add(1)
	go recorder.takeBack(claim)
}

func (recorder *recorder) takeBack(claim rows.Txn) {
	ctx, cancel := context.WithTimeout(context.Background(), recordMost)
	defer cancel()
	for ctx.Err() == nil {
		switch table.Resolve(ctx, recorder.store, claim).(type) {
		case rows.Committed:
			recorder.insist(ending{claim: claim, state: once.StateNotRun})
			return
		case rows.Refused:
			recorder.open.Add(-1)
			return
		}
		time.Sleep(recorder.limits.RecordBackoff)
	}
	recorder.open.Add(-1)
}

// insist reads the row anew for each attempt: one that landed after all, or
// lands late, wrote the same end, so a second never contradicts it.
func (recorder *recorder) insist(ending ending) {
	defer recorder.open.Add(-1)
	ctx, cancel := context.WithTimeout(context.Background(), recordMost)
	defer cancel()
	for ctx.Err() == nil {
		time.Sleep(recorder.limits.RecordBackoff)
		row, err := recorder.store.Get(ctx, ending.claim.Ops[0].(rows.Put).Key)
		if err == nil && recorder.try(ctx, row, ending) {
			return
		}
	}
}

// try attempts to record an end over a row, and tells whether nothing is left to do.
func (recorder *recorder) try(ctx context.Context, row rows.Row, ending ending) bool {
	txn, owed := once.Finish(row, ending.claim.WriteID, uuid.NewString(), ending.state, ending.answer)
	if !owed {
		return true
	}
	_, done := recorder.store.Commit(ctx, txn).(rows.Committed)
	return done
}
