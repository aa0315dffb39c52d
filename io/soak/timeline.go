package soak

import (
	"sync"
	"time"
)

// recoveryMargin is how long a component must have had no fault before bounds on
// time apply to it.
const recoveryMargin = 3 * time.Second

// interval is the time of one fault.
type interval struct{ from, to time.Time } // to is zero while the fault lasts

// timeline records when each component had a fault.
type timeline struct {
	mutex  sync.Mutex
	faults map[string][]interval
}

func newTimeline() *timeline { return &timeline{faults: map[string][]interval{}} }

// beginFault records that a fault of a component begins, and returns a function
// that records its end.
func (timeline *timeline) beginFault(component string, now time.Time) func(time.Time) {
	timeline.mutex.Lock()
	defer timeline.mutex.Unlock()
	timeline.faults[component] = append(timeline.faults[component], interval{from: now})
	index := len(timeline.faults[component]) - 1
	return func(now time.Time) {
		timeline.mutex.Lock()
		defer timeline.mutex.Unlock()
		timeline.faults[component][index].to = now
	}
}

// faultFree reports whether no fault of the components, or of the machine,
// overlaps the time from recoveryMargin before from until to.
func (timeline *timeline) faultFree(from, to time.Time, components ...string) bool {
	timeline.mutex.Lock()
	defer timeline.mutex.Unlock()
	for _, component := range append(components, machineComponent) {
		for _, interval := range timeline.faults[component] {
			if interval.from.Before(to) && (interval.to.IsZero() || interval.to.After(from.Add(-recoveryMargin))) {
				return false
			}
		}
	}
	return true
}

// duration returns for how long in a time the component had faults. Overlapping ones
// count several times.
func (timeline *timeline) duration(component string, from, to time.Time) (total time.Duration) {
	timeline.mutex.Lock()
	defer timeline.mutex.Unlock()
	for _, interval := range timeline.faults[component] {
		begin, end := interval.from, interval.to
		if begin.Before(from) {
			begin = from
		}
		if end.IsZero() || end.After(to) {
			end = to
		}
		total += max(0, end.Sub(begin))
	}
	return total
}

// addFault records a fault that is over.
func (timeline *timeline) addFault(component string, from, to time.Time) {
	timeline.beginFault(component, from)(to)
}

const (
	clockCheckInterval = 20 * time.Millisecond  // between two readings of the clock
	maxClockDelay      = 150 * time.Millisecond // beyond it the machine counts as overloaded
)

// watchMachine records when the machine is overloaded and runs timers late.
// Exceeded bounds on time then say nothing about the programs.
func (timeline *timeline) watchMachine(done <-chan struct{}) {
	for last := time.Now(); ; {
		select {
		case <-done:
			return
		case <-time.After(clockCheckInterval):
		}
		now := time.Now()
		if now.Sub(last) > clockCheckInterval+maxClockDelay {
			timeline.addFault(machineComponent, last, now)
		}
		last = now
	}
}

// Names of the components. A planned restart of a node is a component of its own:
// some bounds, such as that no answer is lost, hold during one. So is a pause of a
// runner by RunnersPaused.
func nodeComponent(node int) string        { return "node " + string(rune('1'+node)) }
func nodeRestartComponent(node int) string { return nodeComponent(node) + " planned restart" }
func callerLinkComponent(node int) string  { return "callers of " + nodeComponent(node) }
func storeLinkComponent(node int) string   { return "store link of " + nodeComponent(node) }
func runnerComponent(name string) string   { return "runner " + name }
func pauseComponent(name string) string    { return runnerComponent(name) + " pause" }

const (
	storeComponent   = "store"
	cutComponent     = "connections of nodes that are cut off" // while they are reset
	machineComponent = "machine"
)
