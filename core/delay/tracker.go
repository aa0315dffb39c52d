package delay

import (
	"slices"
	"sync"
	"time"
)

// Tracker compares the times at which periodic work runs with those at which it is due. All
// goroutines that judge by time share it.
type Tracker struct {
	policy    Policy
	mutex     sync.Mutex
	tickedAt  time.Time // of the last run; zero before the first
	lateAt    time.Time // of the last run that was late
	lateSince time.Time // since when most runs have been late; zero if they are not
	lateRuns  []lateRun // of the last seconds, in their order
}

// lateRun is a run that was late.
type lateRun struct {
	at time.Time
	by time.Duration
}

// NewTracker returns a tracker of work that has not run yet.
func NewTracker(policy Policy) *Tracker { return &Tracker{policy: policy} }

const (
	recovery = 10               // intervals without a late run after which a node that was late counts as on time again
	memory   = 10 * time.Second // for which late runs are remembered
)

// Tick records that the work runs now.
func (tracker *Tracker) Tick(now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	switch {
	case tracker.overdue(now):
		tracker.lateRuns = slices.DeleteFunc(tracker.lateRuns, func(run lateRun) bool { return now.Sub(run.at) > memory })
		tracker.lateRuns = append(tracker.lateRuns, lateRun{at: now, by: tracker.overdueBy(now)})
		tracker.lateAt = now
		if tracker.lateSince.IsZero() {
			tracker.lateSince = now
		}
	case now.Sub(tracker.lateAt) > recovery*tracker.policy.Interval:
		tracker.lateSince = time.Time{}
	}
	tracker.tickedAt = now
}

// overdue reports whether the work should have run before now. The mutex must be held.
func (tracker *Tracker) overdue(now time.Time) bool {
	return tracker.overdueBy(now) > tracker.policy.Tolerance
}

// overdueBy returns for how long the work has been due. The mutex must be held.
func (tracker *Tracker) overdueBy(now time.Time) time.Duration {
	if tracker.tickedAt.IsZero() {
		return 0
	}
	return max(0, now.Sub(tracker.tickedAt)-tracker.policy.Interval)
}

// LateSince reports whether the work was late at any time since a time.
func (tracker *Tracker) LateSince(since, now time.Time) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.overdue(now) || tracker.lateAt.After(since)
}

// LateBy returns by how much the work was late at most since a time, which counts up to ten
// seconds back, or 0 if it was on time.
func (tracker *Tracker) LateBy(since, now time.Time) time.Duration {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	longest := time.Duration(0)
	if tracker.overdue(now) {
		longest = tracker.overdueBy(now)
	}
	for _, run := range tracker.lateRuns {
		if run.at.After(since) && now.Sub(run.at) <= memory {
			longest = max(longest, run.by)
		}
	}
	return longest
}

// LateFor returns for how long the work has been late again and again.
func (tracker *Tracker) LateFor(now time.Time) time.Duration {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.lateSince.IsZero() {
		return 0
	}
	return now.Sub(tracker.lateSince)
}
