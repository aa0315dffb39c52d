package delay_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/delay"
)

// TestTracker runs work at some times, in milliseconds, and checks what the tracker says
// at the last one.
func TestTracker(t *testing.T) {
	began := time.Unix(1000, 0)
	at := func(milliseconds int) time.Time { return began.Add(time.Duration(milliseconds) * time.Millisecond) }
	for _, test := range []struct {
		name       string
		ticks      []int
		since, now int
		late       bool
		lateBy     time.Duration
		lateFor    time.Duration
	}{
		{"never ran", nil, 0, 5000, false, 0, 0},
		{"on time", []int{0, 100, 210, 300}, 0, 350, false, 0, 0},
		{"late", []int{0, 100, 450, 550}, 120, 560, true, 250 * time.Millisecond, 110 * time.Millisecond},
		{"late before", []int{0, 100, 450, 550}, 460, 560, false, 0, 110 * time.Millisecond},
		{"overdue now", []int{0, 100}, 120, 350, true, 150 * time.Millisecond, 0},
		{"late and then overdue by more", []int{0, 100, 450}, 120, 1450, true, 900 * time.Millisecond, time.Second},
		{"late again and again", []int{0, 300, 600, 900, 1200}, 0, 1200, true, 200 * time.Millisecond, 900 * time.Millisecond},
		{"late long before", []int{0, 5000, 5100, 15200}, 15150, 15250, true, 10 * time.Second, 10250 * time.Millisecond},
		{"recovered", []int{0, 300, 400, 500, 600, 700, 800, 900, 1000, 1100, 1200, 1300, 1400}, 1390, 1400, false, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			tracker := delay.NewTracker(delay.Policy{Interval: 100 * time.Millisecond, Tolerance: 60 * time.Millisecond})
			for _, tick := range test.ticks {
				tracker.Tick(at(tick))
			}
			assert.Equal(t, tracker.LateSince(at(test.since), at(test.now)), test.late)
			assert.Equal(t, tracker.LateBy(at(test.since), at(test.now)), test.lateBy)
			assert.Equal(t, tracker.LateFor(at(test.now)), test.lateFor)
		})
	}
}
