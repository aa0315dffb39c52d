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

// recorder writes the outcomes of at-most-once calls to the table service, and
// retries in the background while the table service is down.
type recorder struct {
	store   rows.Store
	log     *zap.Logger
	limits  Limits
	pending atomic.Int64 // outcomes not yet written
}

// maxRecordTime is how long writing an outcome is retried.
const maxRecordTime = 24 * time.Hour

func newRecorder(store rows.Store, limits Limits, log *zap.Logger) *recorder {
	return &recorder{store: store, limits: limits, log: log}
}

func (recorder *recorder) pendingCount() int { return int(recorder.pending.Load()) }

// callResult is the outcome of the call that was made under a claim.
type callResult struct {
	claim    rows.Txn
	state    once.State
	response once.Response
}

// close writes the outcome of a claimed call. After RecordTimeout the write is
// retried in the background, so that the response does not wait for a store that
// is down.
func (recorder *recorder) close(ctx context.Context, callresult callResult) {
	ctx, cancel := context.WithTimeout(ctx, recorder.limits.RecordTimeout)
	defer cancel()
	if recorder.tryRecord(ctx, once.ClaimedRow(callresult.claim), callresult) {
		return
	}
	event.Log(recorder.log, event.RecordLate, zap.String("state", string(callresult.state)))
	recorder.pending.Add(1)
	go recorder.retryRecord(callresult)
}

// abandonClaim releases, in the background, a claim whose commit is in doubt and
// whose call never ran.
func (recorder *recorder) abandonClaim(claim rows.Txn) {
	recorder.pending.Add(1)
	go recorder.resolveAbandoned(claim)
}

// resolveAbandoned determines whether an abandoned claim took effect, and if so
// records that its call did not run.
func (recorder *recorder) resolveAbandoned(claim rows.Txn) {
	ctx, cancel := context.WithTimeout(context.Background(), maxRecordTime)
	defer cancel()
	for ctx.Err() == nil {
		switch table.Resolve(ctx, recorder.store, claim).(type) {
		case rows.Committed:
			recorder.retryRecord(callResult{claim: claim, state: once.StateNotRun})
			return
		case rows.Rejected:
			recorder.pending.Add(-1)
			return
		}
		time.Sleep(recorder.limits.RecordBackoff)
	}
	recorder.pending.Add(-1)
}

// retryRecord retries writing an outcome and reads the row again for each attempt.
// An earlier attempt that took effect after all, or takes effect late, wrote the
// same outcome, so that a further one never contradicts it.
func (recorder *recorder) retryRecord(callresult callResult) {
	defer recorder.pending.Add(-1)
	ctx, cancel := context.WithTimeout(context.Background(), maxRecordTime)
	defer cancel()
	for ctx.Err() == nil {
		time.Sleep(recorder.limits.RecordBackoff)
		row, err := recorder.store.Get(ctx, callresult.claim.Ops[0].(rows.Put).Key)
		if err == nil && recorder.tryRecord(ctx, row, callresult) {
			return
		}
	}
}

// tryRecord attempts to write an outcome over a row as it was read, and reports
// whether nothing is left to do.
func (recorder *recorder) tryRecord(ctx context.Context, row rows.Row, callresult callResult) bool {
	txn, needed := once.Finish(row, callresult.claim.WriteID, uuid.NewString(), callresult.state, callresult.response)
	if !needed {
		return true
	}
	_, committed := recorder.store.Commit(ctx, txn).(rows.Committed)
	return committed
}
