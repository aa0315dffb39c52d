package delay

import "time"

// MaxExtensions is the number of times that the deadline of one wait is put off.
const MaxExtensions = 3

// Wait is a wait for something that has to happen within a limit. A node that is late may not
// have noticed that it has, so the deadline is put off then, some times at most: what never
// happens is found by a late node too.
//
// For example, a connection has to be open within 0.5 s. On a node that is late all the time,
// the wait ends after 2 s.
type Wait struct {
	Since      time.Time // when the present period began
	Deadline   time.Time // when it is judged
	extensions int
}

// NewWait returns a wait that begins now.
func NewWait(limit time.Duration, now time.Time) Wait {
	return Wait{Since: now, Deadline: now.Add(limit)}
}

// Extend puts the deadline off by another limit if the node was late since the period began. It
// reports false if the wait has run out.
func (wait *Wait) Extend(late bool, limit time.Duration, now time.Time) bool {
	if !late || wait.extensions == MaxExtensions {
		return false
	}
	wait.extensions++
	wait.Since, wait.Deadline = now, now.Add(limit)
	return true
}
