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

// keepEvery is how often a service's demand is written down for the next
// holder of its lease.
const keepEvery = 10 * time.Minute

// demandRead is what an earlier holder remembered of a service's demand.
type demandRead struct {
	service string
	row     rows.Row
	err     error
}

func (demandRead) message() {}

// rememberAll reads each held service's demand once after the lease was taken,
// and writes it down now and then.
func (control *Control) rememberAll(now time.Time) {
	for _, name := range control.heldServices(now) {
		claim := control.claims[placementLease+name]
		if now.Before(claim.keepAt) {
			continue
		}
		claim.keepAt = now.Add(keepEvery)
		control.effect(func(ctx context.Context) message {
			row, err := control.outside.Store.Get(ctx, place.DemandKey(name))
			if errors.Is(err, rows.ErrAbsent) {
				err = nil
			}
			row.Key = place.DemandKey(name)
			return demandRead{service: name, row: row, err: err}
		})
	}
}

func (control *Control) takeDemand(read demandRead, now time.Time) {
	claim := control.claims[placementLease+read.service]
	demand, known := control.demands[read.service]
	if read.err != nil || !known {
		claim.keepAt = now.Add(control.settings.Config.PollEvery)
		return
	}
	if err := demand.Restore(read.row, now); err != nil {
		control.event(event.RowUnreadable, zap.Error(err))
		return
	}
	claim.recalled = true
	txn := demand.SaveTxn(read.row, uuid.NewString())
	control.effect(func(ctx context.Context) message {
		control.outside.Store.Commit(ctx, txn)
		return pushed{}
	})
}
