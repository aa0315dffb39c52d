package quota

import "time"

// Policy sets from which load, by priority, requests are rejected, from which
// load the fair-share limit applies, and after which delay a request that was
// rejected for load, fair share or concurrency may be retried. Load is the
// utilization of a service, see Request.
type Policy struct {
	LiveMaxLoad      float64       `json:"live-until"`
	StandardMaxLoad  float64       `json:"standard-until"`
	BatchMaxLoad     float64       `json:"batch-until"`
	FairShareMinLoad float64       `json:"fair-from"`
	RetryAfter       time.Duration `json:"retry-after"`
}

// DefaultPolicy rejects batch requests before the replicas' batches are full, and
// live requests only when queueing would use up their deadlines.
func DefaultPolicy() Policy {
	return Policy{LiveMaxLoad: 1.25, StandardMaxLoad: 1.05, BatchMaxLoad: 0.85, FairShareMinLoad: 0.9, RetryAfter: time.Second}
}
