package fresh

import "time"

// Policy holds the ages of a copy at which a node acts, and the timeouts of its
// reads.
type Policy struct {
	PollWait   time.Duration // how long the store may hold a long poll that has to keep copies up to date
	AskAfter   time.Duration // from which a node asks another whose copy is more up to date
	ReadAfter  time.Duration // from which a node reads the table itself
	LapseAfter time.Duration // from which rows may have lapsed because their writers did not reach the store
	StaleAfter time.Duration // from which the copy counts as out of date

	ReadTimeout    time.Duration // of the first read; doubles with each failure up to MaxReadTimeout
	MaxReadTimeout time.Duration
	RetryDelay     time.Duration // after the first failed read; doubles with each failure up to MaxRetryDelay
	MaxRetryDelay  time.Duration
}

// PolicyFor returns the policy for a table whose changes must take effect within
// a bound at every node that reaches the store. Writers renew their rows in each
// heartbeat interval. The store removes a row after three of them without a
// write, which takes an outage of more than one.
//
// In the worst case a node learns of a change with its second read, since the
// first may be sent on a connection that is dead. With a bound of 2 s, and 0.1 s
// until the control loop runs, that is 0.8 + 0.1 + 0.5 + 0.1 + 0.1 = 1.6 s and a
// round trip after it last learned anything.
func PolicyFor(bound, heartbeat time.Duration) Policy {
	return Policy{
		PollWait: bound / 5, AskAfter: bound / 5, ReadAfter: bound * 2 / 5, LapseAfter: heartbeat * 3 / 2, StaleAfter: bound * 3 / 4,
		ReadTimeout: bound / 4, MaxReadTimeout: max(1500*time.Millisecond, bound/4),
		RetryDelay: 100 * time.Millisecond, MaxRetryDelay: time.Second,
	}
}
