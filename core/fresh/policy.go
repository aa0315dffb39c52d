package fresh

import "time"

// Policy holds the ages of a copy at which a node acts.
type Policy struct {
	LapseAfter time.Duration // from which rows may have lapsed because their writers did not reach the store
	StaleAfter time.Duration // from which the copy counts as out of date
}

// PolicyFor returns the policy for a table whose changes must take effect within
// a bound at every node that reaches the store. Writers renew their rows in each
// heartbeat interval. The store removes a row after three of them without a
// write, which takes an outage of more than one.
func PolicyFor(bound, heartbeat time.Duration) Policy {
	return Policy{LapseAfter: heartbeat * 3 / 2, StaleAfter: bound * 3 / 4}
}
