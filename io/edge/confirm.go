package edge

import (
	"context"
	"time"

	"hickorybend/core/fresh"
)

// confirmTimeout is how long a request waits for a copy that is out of date to be
// confirmed. A read of the store usually takes 4 ms.
const confirmTimeout = 150 * time.Millisecond

// evacuationConfirmTimeout is the same where the operators' table may have had a change for
// longer than the bound of an evacuation, as after a suspension of the host: a request
// that did not wait could be sent to a zone which was evacuated meanwhile.
const evacuationConfirmTimeout = time.Second

// confirmPollInterval is the time between two looks at the copies meanwhile.
const confirmPollInterval = 5 * time.Millisecond

// copiesStale asks Control to refresh the copies now rather than at the next tick.
type copiesStale struct{}

func (copiesStale) message() {}

// Confirm returns the age of the configuration and the endpoints that requests use,
// which is that of the older copy. If it is out of date, Confirm first waits until
// it has been confirmed. This is the case after the process has been suspended,
// before the control loop has run. While the store does not answer, Confirm does
// not wait: requests are served with what is known.
func (control *Control) Confirm(ctx context.Context) time.Duration {
	if !control.awaitsConfirmation(time.Now()) {
		return control.snapshotAge(time.Now())
	}
	control.meter.Count("stale_snapshots", "")
	select {
	case control.messages <- copiesStale{}:
	default: // the queue is full; the next tick refreshes the copies
	}
	ctx, cancel := context.WithTimeout(ctx, control.confirmTimeout(time.Now()))
	defer cancel()
	for ctx.Err() == nil && control.awaitsConfirmation(time.Now()) {
		sleep(ctx, confirmPollInterval)
	}
	return control.snapshotAge(time.Now())
}

// confirmTimeout returns for how long a request waits for the copies to be confirmed.
func (control *Control) confirmTimeout(now time.Time) time.Duration {
	if bound := control.settings.EvacuationBound; bound > 0 && control.copies.publishedAge(tableConfig, now) >= bound {
		return evacuationConfirmTimeout
	}
	return confirmTimeout
}

// awaitsConfirmation reports whether a copy that requests use is out of date, though
// its last read has not failed. A node without a copy waits for none.
func (control *Control) awaitsConfirmation(now time.Time) bool {
	copies := &control.copies
	for _, table := range requestTables {
		age := copies.publishedAge(table, now)
		if age != fresh.Unknown && age >= copies.policies[table].StaleAfter && !copies.readFailed[table].Load() {
			return true
		}
	}
	return false
}

// requestTables are the tables whose copies requests use.
var requestTables = []int{tableConfig, tableEndpoints}

func (control *Control) snapshotAge(now time.Time) time.Duration {
	var highest time.Duration
	for _, table := range requestTables {
		highest = max(highest, control.copies.publishedAge(table, now))
	}
	return highest
}
