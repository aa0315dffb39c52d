package place

import "time"

// Policy holds what placement expects of hosts and how long it waits before it
// gives something up.
type Policy struct {
	FailuresPerHostDay float64       `json:"failures-per-host-day"`
	HostRecovery       time.Duration `json:"host-return"`
	LoadTime           time.Duration `json:"load-time"`
	LostAfter          time.Duration `json:"lost-after"`
	TargetLoad         float64       `json:"target-load"`
	ShrinkAfter        time.Duration `json:"shrink-after"`
	HandBackAfter      time.Duration `json:"hand-back-after"`
	LoadsAtOnce        int           `json:"loads-at-once"`
}

// DefaultPolicy suits hosts that fail every few months and weights that load
// in minutes.
func DefaultPolicy() Policy {
	return Policy{
		FailuresPerHostDay: 0.05,
		HostRecovery:       40 * time.Minute,
		LoadTime:           3 * time.Minute,
		LostAfter:          4 * time.Second,
		TargetLoad:         0.7,
		ShrinkAfter:        26 * time.Hour,
		HandBackAfter:      15 * time.Minute,
		LoadsAtOnce:        8,
	}
}
