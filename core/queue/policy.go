package queue

import "time"

// Policy holds the weights of the choice.
type Policy struct {
	ZoneDelay        time.Duration // to and from a replica in another zone
	OtherZonePenalty float64       // added to the time to the first event at a replica in another zone, as a fraction of it; figures on those are older, and with 0.15 the replays serve 0.02 to 0.03 less
	Margin           float64       // factor on the estimate of the first event, for prompts that come from other zones meanwhile; with 1 the replays serve 0.02 to 0.05 less
	UrgentStep       float64       // subtracted from it for each step of priority above the normal one
	FairShare        float64       // a kind of requests that is assigned less than this fraction as often as the one assigned most gets a smaller margin
	MostFavor        float64       // least factor on its margin
	ShareHalfLife    time.Duration // after which a request counts half in its kind's share
	RejectLate       bool          // a request that would be late everywhere is rejected though the replicas have free slots
	QueueAllowance   float64       // otherwise, requests over a replica's slots that may wait there, as a fraction of the slots
	RetryDelay       time.Duration // shortest time after which a caller that is rejected is to return
	MaxRetryDelay    time.Duration // longest such time
	RetryRate        float64       // callers a second and replica that are told to return
	StartGrace       time.Duration // after a request is assigned and its first event due, until it counts no longer if its node has not reported that it was sent
	ReportGrace      time.Duration // after a request's deadline, until it counts no longer if nobody has reported its end
}

// DefaultPolicy suits latency objectives of some hundred milliseconds.
func DefaultPolicy() Policy {
	return Policy{
		ZoneDelay: 2 * time.Millisecond, OtherZonePenalty: 1, Margin: 1.5, UrgentStep: 0.1, FairShare: 0.4, MostFavor: 0.75, ShareHalfLife: 3 * time.Second, QueueAllowance: 0.06,
		RetryDelay: 300 * time.Millisecond, MaxRetryDelay: 5 * time.Second, RetryRate: 1, StartGrace: 2 * time.Second, ReportGrace: time.Second,
	}
}

// normalPriority is the most urgent priority that gets no urgent step.
const normalPriority = 2

// margin returns the factor on the estimate of a request's first event.
func (policy Policy) margin(request Request) float64 {
	return policy.Margin - policy.UrgentStep*float64(max(0, normalPriority-request.Priority))
}
