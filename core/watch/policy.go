package watch

import "time"

// Policy holds the times of probing endpoints.
type Policy struct {
	ProbeInterval time.Duration `json:"probe-every"`   // between two probes of an endpoint
	ProbeTimeout  time.Duration `json:"probe-limit"`   // of one probe
	StatusTTL     time.Duration `json:"evidence-term"` // for which a status may be relied on
}

// DefaultPolicy takes an unresponsive member out of routing within three seconds
// and tolerates one lost probe.
func DefaultPolicy() Policy {
	return Policy{
		ProbeInterval: 800 * time.Millisecond,
		ProbeTimeout:  600 * time.Millisecond,
		StatusTTL:     2200 * time.Millisecond,
	}
}
