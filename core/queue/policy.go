package queue

import "time"

// Policy holds the weights of the choice.
type Policy struct {
	ZoneDelay        time.Duration // to and from a replica in another zone
	OtherZonePenalty float64       // added to the time to the first event at a replica in another zone, as a fraction of it; figures on those are older
	QueueAllowance   float64       // requests over a replica's slots that may wait there, as a fraction of the slots
	RetryDelay       time.Duration // after which a caller that is rejected may retry
	StartGrace       time.Duration // after a request is assigned and its first event due, until it counts no longer if its node has not reported that
	ReportGrace      time.Duration // after a request's deadline, until it counts no longer if nobody has reported its end
}

// DefaultPolicy suits latency objectives of some hundred milliseconds.
func DefaultPolicy() Policy {
	return Policy{ZoneDelay: 2 * time.Millisecond, OtherZonePenalty: 0.15, QueueAllowance: 0.06, RetryDelay: 300 * time.Millisecond, StartGrace: 2 * time.Second, ReportGrace: time.Second}
}
