package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"hickorybend/core/place"
	"hickorybend/core/rows"
	"hickorybend/io/event"
)

// demandSaveInterval is how often a service's demand is stored for the next holder of
// its lease.
const demandSaveInterval = 10 * time.Minute

// demandResult is the outcome of a read of a service's stored demand.
type demandResult struct {
	service string
	row     rows.Row
	err     error
}

func (demandResult) message() {}

// syncDemands reads the stored demand of each service that this node places, first
// when the lease is acquired and then periodically. handleDemand merges and saves it.
func (control *Control) syncDemands(now time.Time) {
	for _, name := range control.heldServices(now) {
		claim := control.claims[placementLease+name]
		if now.Before(claim.saveDemandAt) {
			continue
		}
		claim.saveDemandAt = now.Add(demandSaveInterval)
		control.runInBackground(func(ctx context.Context) message {
			row, err := control.dependencies.Store.Get(ctx, place.DemandKey(name))
			if errors.Is(err, rows.ErrAbsent) {
				err = nil
			}
			row.Key = place.DemandKey(name)
			return demandResult{service: name, row: row, err: err}
		})
	}
}

// handleDemand merges a stored demand with the demand that this node recorded and
// saves the result. If the read failed or this node has recorded none yet, the read is
// repeated after the poll interval.
func (control *Control) handleDemand(result demandResult, now time.Time) {
	claim := control.claims[placementLease+result.service]
	demand, known := control.demands[result.service]
	if result.err != nil || !known {
		claim.saveDemandAt = now.Add(control.settings.Config.PollInterval)
		return
	}
	if err := demand.Restore(result.row, now); err != nil {
		control.event(event.RowUnreadable, zap.Error(err))
		return
	}
	claim.demandLoaded = true
	txn := demand.SaveTxn(result.row, uuid.NewString())
	control.runInBackground(func(ctx context.Context) message {
		control.dependencies.Store.Commit(ctx, txn)
		return rowsReceived{}
	})
}
