package watch

import "time"

// Policy holds the times by which endpoints are watched.
type Policy struct {
	ProbeInterval time.Duration `json:"probe-every"`
	ProbeTimeout  time.Duration `json:"probe-limit"`
	StatusTTL     time.Duration `json:"evidence-term"`
}

// DefaultPolicy takes a lost member out of routing within three seconds and
// survives one lost probe.
func DefaultPolicy() Policy {
	return Policy{
		ProbeInterval: 800 * time.Millisecond,
		ProbeTimeout:  600 * time.Millisecond,
		StatusTTL:     2200 * time.Millisecond,
	}
}
