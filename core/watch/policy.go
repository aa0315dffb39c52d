package watch

import "time"

// Policy holds the times by which endpoints are watched.
type Policy struct {
	ProbeEvery   time.Duration `json:"probe-every"`
	ProbeLimit   time.Duration `json:"probe-limit"`
	EvidenceTerm time.Duration `json:"evidence-term"`
}

// DefaultPolicy takes a lost member out of routing within two seconds.
func DefaultPolicy() Policy {
	return Policy{
		ProbeEvery:   400 * time.Millisecond,
		ProbeLimit:   800 * time.Millisecond,
		EvidenceTerm: 1800 * time.Millisecond,
	}
}
