package quota

import "time"

// Policy says at which load which requests are turned away.
type Policy struct {
	LiveMaxLoad      float64       `json:"live-until"`
	StandardMaxLoad  float64       `json:"standard-until"`
	BatchMaxLoad     float64       `json:"batch-until"`
	FairShareMinLoad float64       `json:"fair-from"`
	RetryAfter       time.Duration `json:"retry-after"`
}

// DefaultPolicy turns batch work away before the batches are full, and live
// work only when the queues would eat its deadline.
func DefaultPolicy() Policy {
	return Policy{LiveMaxLoad: 1.25, StandardMaxLoad: 1.05, BatchMaxLoad: 0.85, FairShareMinLoad: 0.9, RetryAfter: time.Second}
}
