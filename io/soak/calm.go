package soak

import (
	"sync"
	"time"
)

// contact is how long a part has to be without trouble before it is held to
// bounds of time.
const contact = 3 * time.Second

type span struct{ from, to time.Time } // to is zero while it lasts

// calm knows which parts were troubled when.
type calm struct {
	mutex sync.Mutex
	spans map[string][]span
}

func newCalm() *calm { return &calm{spans: map[string][]span{}} }

// begin notes that a trouble of a part starts; what it gives ends it.
func (calm *calm) begin(part string, now time.Time) func(time.Time) {
	calm.mutex.Lock()
	defer calm.mutex.Unlock()
	calm.spans[part] = append(calm.spans[part], span{from: now})
	index := len(calm.spans[part]) - 1
	return func(now time.Time) {
		calm.mutex.Lock()
		defer calm.mutex.Unlock()
		calm.spans[part][index].to = now
	}
}

// was tells whether all the parts were calm all the time, and long enough
// before it.
func (calm *calm) was(from, to time.Time, parts ...string) bool {
	calm.mutex.Lock()
	defer calm.mutex.Unlock()
	for _, part := range append(parts, partMachine) {
		for _, span := range calm.spans[part] {
			if span.from.Before(to) && (span.to.IsZero() || span.to.After(from.Add(-contact))) {
				return false
			}
		}
	}
	return true
}

// note takes in a trouble that is over.
func (calm *calm) note(part string, from, to time.Time) { calm.begin(part, from)(to) }

const (
	watchEvery = 20 * time.Millisecond  // between two looks at the clock
	watchLate  = 150 * time.Millisecond // a look so late shows that the machine does not keep up
)

// watch notes when the machine does not run what is due: then no bound of time
// says anything of the programs.
func (calm *calm) watch(done <-chan struct{}) {
	for last := time.Now(); ; {
		select {
		case <-done:
			return
		case <-time.After(watchEvery):
		}
		now := time.Now()
		if now.Sub(last) > watchEvery+watchLate {
			calm.note(partMachine, last, now)
		}
		last = now
	}
}

// The names of the parts.
func partNode(node int) string      { return "node " + string(rune('1'+node)) }
func partPlanned(node int) string   { return partNode(node) + " as planned" }
func partCallers(node int) string   { return "callers of " + partNode(node) }
func partStoreOf(node int) string   { return "store link of " + partNode(node) }
func partRunner(name string) string { return "runner " + name }

const (
	partStore   = "store"
	partMachine = "machine"
)
