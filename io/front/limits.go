package front

import "time"

// Limits bound the size, the time and the attempts of one request.
type Limits struct {
	BodyBytes         int64         `json:"body-bytes"`
	ReadTimeout       time.Duration `json:"read-limit"`        // from receipt of a request to the end of its body
	WriteTimeout      time.Duration `json:"write-limit"`       // for a streaming caller that reads nothing
	FirstTokenTimeout time.Duration `json:"first-token-limit"` // from the start of an attempt to its first chunk
	StallTimeout      time.Duration `json:"stall-limit"`       // between two chunks of a stream
	CallTimeout       time.Duration `json:"call-limit"`        // for all attempts of a call to a plain service
	ClaimTimeout      time.Duration `json:"claim-limit"`       // to commit the claim on an idempotency key
	RecordTimeout     time.Duration `json:"record-limit"`      // that a response waits for its call to be recorded
	RecordBackoff     time.Duration `json:"record-pause"`      // between attempts to record a call
	MaxAttempts       int           `json:"max-attempts"`      // of one request, the first included
}

// DefaultLimits returns limits that suit prompts of a megabyte and engines that
// answer in seconds.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes: 4 << 20, ReadTimeout: 10 * time.Second, WriteTimeout: 20 * time.Second,
		FirstTokenTimeout: 15 * time.Second, StallTimeout: 3 * time.Second, CallTimeout: 30 * time.Second,
		ClaimTimeout: 1500 * time.Millisecond, RecordTimeout: time.Second, RecordBackoff: 500 * time.Millisecond,
		MaxAttempts: 4,
	}
}
