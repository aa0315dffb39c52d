package quota

import "time"

// Policy sets the utilizations of a service, as in Request, from which requests
// are rejected. RetryAfter is the delay after which a request that was rejected
// for load, fair share or concurrency may be retried.
type Policy struct {
	LiveMaxUtilization      float64       `json:"live-until"`     // utilization from which live requests are rejected
	StandardMaxUtilization  float64       `json:"standard-until"` // the same for standard requests
	BatchMaxUtilization     float64       `json:"batch-until"`    // the same for batch requests
	FairShareMinUtilization float64       `json:"fair-from"`      // utilization from which the fair-share limit applies
	RetryAfter              time.Duration `json:"retry-after"`
}

// DefaultPolicy returns a policy that rejects batch requests before the replicas'
// batches are full, and live requests only when queueing would use up their
// deadlines.
func DefaultPolicy() Policy {
	return Policy{LiveMaxUtilization: 1.25, StandardMaxUtilization: 1.05, BatchMaxUtilization: 0.85, FairShareMinUtilization: 0.9, RetryAfter: time.Second}
}
