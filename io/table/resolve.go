package table

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"hickorybend/core/rows"
)

const (
	maxResolveAttempts = 6
	resolveBackoff     = 50 * time.Millisecond
)

// CommitAndResolve commits a transaction that was not sent before and resolves its
// outcome if it is unknown. The outcome stays Unknown only if the store does not
// answer, the outcome can no longer be determined or the context ends.
func CommitAndResolve(ctx context.Context, store rows.Store, txn rows.Txn) rows.Outcome {
	outcome := store.Commit(ctx, txn)
	if _, isUnknown := outcome.(rows.Unknown); !isUnknown {
		return outcome
	}
	return Resolve(ctx, store, txn)
}

// Resolve determines the outcome of a transaction that was sent before, by reading
// the row that its first Put writes. If the row still has the transaction's base
// version, the transaction may still be in flight. Then a fence is written first: a
// write that increments the version and keeps the body; see rows.Resolve.
func Resolve(ctx context.Context, store rows.Store, txn rows.Txn) rows.Outcome {
	var outcome rows.Outcome = rows.Unknown{Cause: ErrUnknownOutcome}
	for attempt := 1; attempt <= maxResolveAttempts; attempt++ {
		unknown, isUnknown := outcome.(rows.Unknown)
		if !isUnknown {
			return outcome
		}
		if ctx.Err() != nil {
			return unknown
		}
		outcome = resolveOnce(ctx, store, txn, unknown, attempt)
	}
	return outcome
}

// resolveOnce makes one attempt; its outcome is unknown if another one is needed.
func resolveOnce(ctx context.Context, store rows.Store, txn rows.Txn, unknown rows.Unknown, attempt int) rows.Outcome {
	put, found := rows.FirstPut(txn)
	if !found {
		return unknown
	}
	row, err := store.Get(ctx, put.Key)
	if err != nil && !errors.Is(err, rows.ErrAbsent) {
		sleep(ctx, resolveBackoff<<attempt)
		return unknown
	}
	switch resolution := rows.Resolve(txn, row, rows.FenceID(txn.WriteID, attempt)).(type) {
	case rows.Resolved:
		return resolution.Outcome
	case rows.Fence:
		store.Commit(ctx, resolution.Txn)
	}
	return unknown
}

func sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
