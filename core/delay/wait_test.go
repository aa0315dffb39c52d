package delay_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/delay"
)

// TestLateNodeTakesOwnDelayForSilence guards against a node that takes an answer for missing which it
// had no time to read. Of an answer that never comes, it states the bound on a calm and on a late node.
func TestLateNodeTakesOwnDelayForSilence(t *testing.T) {
	const limit, interval = 500 * time.Millisecond, 100 * time.Millisecond
	began := time.Unix(1000, 0)
	for _, test := range []struct {
		name    string
		between time.Duration // two runs of the periodic work
		lateFor time.Duration // from the beginning on
		endsAt  time.Duration // when an answer counts as missing that never comes
	}{
		{"calm", interval, 0, limit},
		{"late at first", 2 * interval, 300 * time.Millisecond, 2 * limit},
		{"late until 0.9 s", 3 * interval, 900 * time.Millisecond, 3 * limit},
		{"late all the time", 5 * interval, time.Hour, (1 + delay.MaxExtensions) * limit},
		{"stopped for a second", 10 * interval, time.Second, 1500 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			tracker := delay.NewTracker(delay.Policy{Interval: interval, Tolerance: 60 * time.Millisecond})
			tracker.Tick(began)
			wait, nextTick := delay.NewWait(limit, began), began.Add(test.between)
			var now time.Time
			for elapsed := time.Duration(0); ; elapsed += 10 * time.Millisecond {
				now = began.Add(elapsed)
				if test.between >= 10*interval && elapsed < test.lateFor {
					continue // the process stands still
				}
				if !now.Before(nextTick) {
					tracker.Tick(now)
					if nextTick = now.Add(interval); elapsed < test.lateFor {
						nextTick = now.Add(test.between)
					}
				}
				if !now.Before(wait.Deadline) && !wait.Extend(tracker.LateSince(wait.Since, now), limit, now) {
					break
				}
			}
			assert.Equal(t, now.Sub(began), test.endsAt)
		})
	}
}
