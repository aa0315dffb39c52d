package quota

import "time"

// Policy sets the loads from which requests are rejected, where load is the
// utilization of a service as in Request. RetryAfter is the delay after which a
// request that was rejected for load, fair share or concurrency may be retried.
type Policy struct {
	LiveMaxLoad      float64       `json:"live-until"`     // load from which live requests are rejected
	StandardMaxLoad  float64       `json:"standard-until"` // the same for standard requests
	BatchMaxLoad     float64       `json:"batch-until"`    // the same for batch requests
	FairShareMinLoad float64       `json:"fair-from"`      // load from which the fair-share limit applies
	RetryAfter       time.Duration `json:"retry-after"`
}

// DefaultPolicy returns a policy that rejects batch requests before the replicas'
// batches are full, and live requests only when queueing would use up their
// deadlines.
func DefaultPolicy() Policy {
	return Policy{LiveMaxLoad: 1.25, StandardMaxLoad: 1.05, BatchMaxLoad: 0.85, FairShareMinLoad: 0.9, RetryAfter: time.Second}
}
