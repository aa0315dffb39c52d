package watch

import "time"

// Policy says how often endpoints are probed and how long their status is
// valid.
type Policy struct {
	ProbeInterval time.Duration `json:"probe-every"`   // time from one probe of an endpoint to the next
	ProbeTimeout  time.Duration `json:"probe-limit"`   // longest time that a probe may take
	StatusTTL     time.Duration `json:"evidence-term"` // how long a status may be relied on
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
