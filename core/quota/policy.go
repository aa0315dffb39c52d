package quota

import "time"

// Policy says at which load which requests are turned away.
type Policy struct {
	LiveUntil     float64       `json:"live-until"`
	StandardUntil float64       `json:"standard-until"`
	BatchUntil    float64       `json:"batch-until"`
	FairFrom      float64       `json:"fair-from"`
	RetryAfter    time.Duration `json:"retry-after"`
}

// DefaultPolicy turns batch work away before the batches are full, and live
// work only when the queues would eat its deadline.
func DefaultPolicy() Policy {
	return Policy{LiveUntil: 1.25, StandardUntil: 1.05, BatchUntil: 0.85, FairFrom: 0.9, RetryAfter: time.Second}
}
