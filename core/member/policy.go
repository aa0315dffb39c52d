package member

import "time"

// Policy says after which evidence a node counts as gone. Every evidence begins with exchanges
// that this node itself has tried and that have failed: one that was frozen has tried none.
type Policy struct {
	SuspectAfter     time.Duration // without an answer, a node is suspected
	RefusedFor       time.Duration // for which its host has refused connections
	UnheardFor       time.Duration // for which this one has known the row of a node that never answered
	UnheardUntil     time.Duration // after which that is no evidence any more: nobody may have tried it, as another node watches it
	SilentFor        time.Duration // for which any other has failed to answer, if a majority of those that ever answered does
	SilentForAnybody time.Duration // the same if no majority does
	MinFailures      int           // exchanges in a row that must have failed, except of a node that never answered
	RetryInterval    time.Duration // between two exchanges with a node that does not answer
	RetryGone        time.Duration // the same with one that is gone
	RetriesPerRound  int           // such exchanges that are started at once
	RemoveAfter      time.Duration // as gone, its row is removed
	RemoveInterval   time.Duration // between two removals
	SettledFor       time.Duration // for which the store must have answered, and not gone back, before a row is removed
}

// DefaultPolicy suits nodes that exchange digests ten times a second.
func DefaultPolicy() Policy {
	return Policy{
		SuspectAfter: time.Second, RefusedFor: 1500 * time.Millisecond, UnheardFor: 2500 * time.Millisecond, UnheardUntil: 5 * time.Second, SilentFor: 4 * time.Second, SilentForAnybody: 30 * time.Second,
		MinFailures: 3, RetryInterval: time.Second, RetryGone: 5 * time.Second, RetriesPerRound: 16,
		RemoveAfter: 30 * time.Second, RemoveInterval: 500 * time.Millisecond, SettledFor: 60 * time.Second,
	}
}
