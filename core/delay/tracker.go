package delay

import "time"

// Tracker compares the times at which periodic work runs with those at which it is due.
type Tracker struct {
	policy    Policy
	tickedAt  time.Time // of the last run; zero before the first
	lateAt    time.Time // of the last run that was late
	lateSince time.Time // since when most runs have been late; zero if they are not
}

// NewTracker returns a tracker of work that has not run yet.
func NewTracker(policy Policy) *Tracker { return &Tracker{policy: policy} }

// recovery is the number of intervals without a late run after which a node that was late
// counts as on time again.
const recovery = 10

// Tick records that the work runs now.
func (tracker *Tracker) Tick(now time.Time) {
	switch {
	case tracker.overdue(now):
		tracker.lateAt = now
		if tracker.lateSince.IsZero() {
			tracker.lateSince = now
		}
	case now.Sub(tracker.lateAt) > recovery*tracker.policy.Interval:
		tracker.lateSince = time.Time{}
	}
	tracker.tickedAt = now
}

// overdue reports whether the work should have run before now.
func (tracker *Tracker) overdue(now time.Time) bool {
	return !tracker.tickedAt.IsZero() && now.Sub(tracker.tickedAt) > tracker.policy.Interval+tracker.policy.Tolerance
}

// LateSince reports whether the work was late at any time since a time.
func (tracker *Tracker) LateSince(since, now time.Time) bool {
	return tracker.overdue(now) || tracker.lateAt.After(since)
}

// LateFor returns for how long the work has been late again and again.
func (tracker *Tracker) LateFor(now time.Time) time.Duration {
	if tracker.lateSince.IsZero() {
		return 0
	}
	return now.Sub(tracker.lateSince)
}
