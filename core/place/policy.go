package place

import "time"

// Policy holds what placement expects of hosts, and how long it waits before it
// replaces, drains or hands back.
type Policy struct {
	// FailuresPerHostDay is how often a host is expected to go away in a day.
	// It counts outages of whole fabric domains and rolling replacements too.
	FailuresPerHostDay float64 `json:"failures-per-host-day"`
	// HostRecovery is the expected time until a failed host is back.
	HostRecovery time.Duration `json:"host-return"`
	// LoadTime is how long a spare takes to load the weights.
	LoadTime time.Duration `json:"load-time"`
	// LostAfter is how long a host must be unresponsive before it counts as lost.
	LostAfter time.Duration `json:"lost-after"`
	// TargetUtilization is the fraction of a replica's streams that placement
	// plans to use.
	TargetUtilization float64 `json:"target-load"`
	// ShrinkAfter is the length of the window of demand whose peak is provided
	// for. It is longer than a day, so that a daily dip does not shrink the
	// service.
	ShrinkAfter time.Duration `json:"shrink-after"`
	// HandBackAfter is how long a host must be idle before it is handed back.
	HandBackAfter time.Duration `json:"hand-back-after"`
	// MaxConcurrentLoads is how many replicas may load weights at once.
	MaxConcurrentLoads int `json:"loads-at-once"`
}

// DefaultPolicy suits hosts that fail every few months and weights that load
// in minutes. Its failure rate is higher than that, since it also covers domain
// outages and rolling replacements.
func DefaultPolicy() Policy {
	return Policy{
		FailuresPerHostDay: 0.05,
		HostRecovery:       40 * time.Minute,
		LoadTime:           3 * time.Minute,
		LostAfter:          4 * time.Second,
		TargetUtilization:  0.7,
		ShrinkAfter:        26 * time.Hour,
		HandBackAfter:      15 * time.Minute,
		MaxConcurrentLoads: 8,
	}
}
