package fresh

import "time"

// Watermark is the time up to which a copy of a table is known to be complete: the
// copy has every change that the store acknowledged before At. All times are of
// this node's monotonic clock.
type Watermark struct {
	At          time.Time // zero before the first confirmation
	RecoveredAt time.Time // when the store's changes came through again after an outage; zero if there was none
}

// Arrive records that rows or a confirmation of the copy have arrived. If nothing
// has confirmed the copy for as long as an outage takes in which endpoints' rows
// lapse, such an outage has just ended.
func (watermark *Watermark) Arrive(now time.Time, lapse time.Duration) {
	if !watermark.At.IsZero() && watermark.Age(now) >= lapse {
		watermark.RecoveredAt = now
	}
}

// Advance records that the copy is complete up to a time. An earlier one than the
// known has no effect, since confirmations may arrive out of order.
func (watermark *Watermark) Advance(at time.Time) {
	if at.After(watermark.At) {
		watermark.At = at
	}
}

// Suspend takes into account that the host was suspended, in which time the
// monotonic clock stood still.
func (watermark *Watermark) Suspend(duration time.Duration) {
	if !watermark.At.IsZero() {
		watermark.At = watermark.At.Add(-duration)
	}
}

// Age returns how long ago the copy was last known to be complete, or Unknown if
// it never was.
func (watermark Watermark) Age(now time.Time) time.Duration {
	if watermark.At.IsZero() {
		return Unknown
	}
	return max(0, now.Sub(watermark.At))
}

// Unknown is the age of a copy that was never known to be complete.
const Unknown time.Duration = 1<<63 - 1
