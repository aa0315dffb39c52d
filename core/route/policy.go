package route

import "time"

// Policy holds the costs by which replicas are chosen, as estimates of the time to
// the first token, and the rules of ejection.
type Policy struct {
	FullBatch       time.Duration `json:"full-batch"`      // cost of a full batch, scaled down for one that is not full
	QueuedStream    time.Duration `json:"queued-stream"`   // added for each stream beyond the batch
	OtherZone       time.Duration `json:"other-zone"`      // added for a replica in another zone
	OtherRegion     time.Duration `json:"other-region"`    // added to OtherZone for a replica in another region
	WarmPrefix      time.Duration `json:"warm-prefix"`     // saved by the replica that ranks first for the prefix; half for the second
	Jitter          time.Duration `json:"jitter"`          // upper bound of the random amount that is added to the cost
	ReportLag       time.Duration `json:"report-lag"`      // age of the load that a report describes
	EjectRatio      float64       `json:"eject-ratio"`     // ratio of latency to the median above which a replica is ejected
	ReturnRatio     float64       `json:"return-ratio"`    // ratio above which it stays ejected
	MaxEjectedShare float64       `json:"ejected-share"`   // fraction of the replicas that may be ejected
	MaxEjectionTime time.Duration `json:"ejected-at-most"` // time after which an ejected replica is tried again
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
