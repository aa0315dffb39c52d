package route

import "time"

// Policy weighs what speaks for and against a replica, all as time to the
// first token.
type Policy struct {
	FullBatch       time.Duration `json:"full-batch"`
	QueuedStream    time.Duration `json:"queued-stream"`
	OtherZone       time.Duration `json:"other-zone"`
	OtherRegion     time.Duration `json:"other-region"`
	WarmPrefix      time.Duration `json:"warm-prefix"`
	Jitter          time.Duration `json:"jitter"`
	ReportLag       time.Duration `json:"report-lag"`
	EjectRatio      float64       `json:"eject-ratio"`
	ReturnRatio     float64       `json:"return-ratio"`
	MaxEjectedShare float64       `json:"ejected-share"`
	MaxEjectionTime time.Duration `json:"ejected-at-most"`
}

// DefaultPolicy suits engines whose prefill takes a few tenths of a second.
func DefaultPolicy() Policy {
	return Policy{
		FullBatch:       120 * time.Millisecond,
		QueuedStream:    40 * time.Millisecond,
		OtherZone:       12 * time.Millisecond,
		OtherRegion:     120 * time.Millisecond,
		WarmPrefix:      70 * time.Millisecond,
		Jitter:          4 * time.Millisecond,
		ReportLag:       250 * time.Millisecond,
		EjectRatio:      3,
		ReturnRatio:     1.8,
		MaxEjectedShare: 0.2,
		MaxEjectionTime: 20 * time.Second,
	}
}
