package fresh

import "time"

// Policy holds the ages of a copy at which a node acts.
type Policy struct {
	StaleAfter time.Duration // from which the copy counts as out of date
}

// PolicyFor returns the policy for a table whose changes must take effect within
// a bound at every node that reaches the store.
func PolicyFor(bound time.Duration) Policy {
	return Policy{StaleAfter: bound * 3 / 4}
}
