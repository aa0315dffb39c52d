package retry

import "time"

// Policy is the retry budget that all nodes share.
type Policy struct {
	Ratio       float64       // retries allowed for each request
	Extra       float64       // further retries allowed for all nodes together
	Window      time.Duration // sliding window over which requests and retries are counted
	UsableShare float64       // fraction of the budget that is used; the rest allows for what other nodes count differently
}
