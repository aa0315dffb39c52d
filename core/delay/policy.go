package delay

import "time"

// Policy says when periodic work is late.
type Policy struct {
	Interval  time.Duration // between two runs
	Tolerance time.Duration // beyond the interval
}
