package retry

import "time"

// Policy is the budget that all nodes share.
type Policy struct {
	Ratio       float64       // second sends for each request
	Extra       float64       // second sends on top, over all nodes
	Window      time.Duration // the span over which both count
	UsableShare float64       // the part of the budget that is used, for what is counted elsewhere
}
