package table

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"hickorybend/core/rows"
)

const (
	settleMoves = 6
	settlePause = 50 * time.Millisecond
)

// CommitAndResolve commits a transaction that was never sent before and, when the answer
// is lost, finds out what became of it. It stays Unknown only while the store
// cannot be asked or the context ends.
func CommitAndResolve(ctx context.Context, store rows.Store, txn rows.Txn) rows.Outcome {
	outcome := store.Commit(ctx, txn)
	if _, lost := outcome.(rows.Unknown); !lost {
		return outcome
	}
	return Resolve(ctx, store, txn)
}

// Resolve finds out what became of a transaction that was sent before.
func Resolve(ctx context.Context, store rows.Store, txn rows.Txn) rows.Outcome {
	var outcome rows.Outcome = rows.Unknown{Cause: ErrUnknownOutcome}
	for move := 1; move <= settleMoves; move++ {
		unknown, lost := outcome.(rows.Unknown)
		if !lost {
			return outcome
		}
		if ctx.Err() != nil {
			return unknown
		}
		outcome = settleOnce(ctx, store, txn, unknown, move)
	}
	return outcome
}

func settleOnce(ctx context.Context, store rows.Store, txn rows.Txn, unknown rows.Unknown, move int) rows.Outcome {
	put, found := rows.FirstPut(txn)
	if !found {
		return unknown
	}
	row, err := store.Get(ctx, put.Key)
	if err != nil && !errors.Is(err, rows.ErrAbsent) {
		pause(ctx, settlePause<<move)
		return unknown
	}
	switch verdict := rows.Resolve(txn, row, rows.FenceID(txn.WriteID, move)).(type) {
	case rows.Resolved:
		return verdict.Outcome
	case rows.Fence:
		store.Commit(ctx, verdict.Txn)
	}
	return unknown
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
