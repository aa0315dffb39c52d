package watch

import "time"

// Policy holds the times by which endpoints are watched.
type Policy struct {
	ProbeEvery   time.Duration `json:"probe-every"`
	ProbeLimit   time.Duration `json:"probe-limit"`
	EvidenceTerm time.Duration `json:"evidence-term"`
}

// DefaultPolicy takes a lost member out of routing within three seconds and
// survives one lost probe.
func DefaultPolicy() Policy {
	return Policy{
		ProbeEvery:   800 * time.Millisecond,
		ProbeLimit:   600 * time.Millisecond,
		EvidenceTerm: 2200 * time.Millisecond,
	}
}
