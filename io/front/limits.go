package front

import "time"

// Limits bound what one request may use.
type Limits struct {
	BodyBytes       int64         `json:"body-bytes"`
	ReadLimit       time.Duration `json:"read-limit"`
	WriteLimit      time.Duration `json:"write-limit"`
	FirstTokenLimit time.Duration `json:"first-token-limit"`
	StallLimit      time.Duration `json:"stall-limit"`
	CallLimit       time.Duration `json:"call-limit"`
	ClaimLimit      time.Duration `json:"claim-limit"`
	RecordLimit     time.Duration `json:"record-limit"`
	RecordBackoff   time.Duration `json:"record-pause"`
	MaxAttempts     int           `json:"max-attempts"`
}

// DefaultLimits suit prompts of a megabyte and engines that answer in seconds.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes: 4 << 20, ReadLimit: 10 * time.Second, WriteLimit: 20 * time.Second,
		FirstTokenLimit: 15 * time.Second, StallLimit: 3 * time.Second, CallLimit: 30 * time.Second,
		ClaimLimit: 1500 * time.Millisecond, RecordLimit: time.Second, RecordBackoff: 500 * time.Millisecond,
		MaxAttempts: 4,
	}
}
