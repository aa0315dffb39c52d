package reach

import (
	"time"

	"hickorybend/core/spill"
)

// Policy holds the weights of the choice and the limits of queueing.
type Policy struct {
	CrossZonePenalty     float64       // added to the score of a candidate in another zone, where Spill does not decide
	Spill                spill.Policy  // decides which requests go to another zone, where the engine's speed and the delays are configured
	SampleComfort        float64       // fraction of the time left; where a zone's few candidates take no longer than that for the first event, only they are drawn
	StayPenalty          float64       // added there to the score of a candidate in another zone for those that are to stay
	SlowPenalty          float64       // added for each doubling of a candidate's answer time over the mean of all
	PromptWeight         float64       // weight of the prefill time of pending prompts, as a fraction of the time left to the deadline
	MinTimeLeft          time.Duration // lower bound of that time left, for deadlines that are near or past
	TieBreakWeight       float64       // weight of a candidate's tie-break value
	SampleSize           int           // candidates that are compared where many nodes choose by the same stale snapshot
	SampleOtherZones     int           // candidates of other zones that are drawn in addition where sampling prefers this zone
	ZonalSampleMin       int           // candidates in this zone from which on sampling prefers it
	SampleMinNodes       int           // nodes from which on candidates are sampled
	QueueAllowance       float64       // requests over a replica's slots that still meet the objective, as a fraction of the slots
	RetryQueueAllowance  float64       // the same for a request that was rejected before or resumes a stream
	UrgentQueueAllowance float64       // added to either for each step of priority above the normal one
	PlainQueueAllowance  float64       // requests over the slots of a plain service's endpoint, as a fraction of the slots
	FailPenalty          float64       // added to the score where every request fails; at a lower failure rate, that fraction of it
	LateMargin           float64       // factor on the estimate of the first event where requests are rejected that would be late everywhere; 0 if they are not
	MinRetryDelay        time.Duration // shortest delay that a rejected caller is given before it retries
	MaxRetryDelay        time.Duration // longest such delay
	InitialAnswerTime    time.Duration // mean answer time that is assumed before the first sample
}

// DefaultPolicy suits latency objectives of some hundred milliseconds.
func DefaultPolicy() Policy {
	return Policy{
		CrossZonePenalty: 0.12, Spill: spill.DefaultPolicy(), StayPenalty: 1.2, SampleComfort: 0.25, SlowPenalty: 0.3, PromptWeight: 1, MinTimeLeft: 100 * time.Millisecond, TieBreakWeight: 0.06, SampleSize: 3, SampleOtherZones: 2, ZonalSampleMin: 6, SampleMinNodes: 13, QueueAllowance: 0.06, RetryQueueAllowance: 0.3, UrgentQueueAllowance: 0.03,
		PlainQueueAllowance: 1.0, FailPenalty: 3, MinRetryDelay: 300 * time.Millisecond, MaxRetryDelay: 2 * time.Second,
		InitialAnswerTime: 1500 * time.Millisecond,
	}
}

// LateMargin is the margin of nodes whose settings have them reject late requests. With 0.8 the
// replays serve less beyond the capacity, and with 1.2 or 1.5 less just below it.
const LateMargin = 1

// SampleSizeFor returns how many candidates are compared first for a request
// when there are this many nodes, or 0 for all.
func (policy Policy) SampleSizeFor(nodes int) int {
	if nodes < policy.SampleMinNodes {
		return 0
	}
	return policy.SampleSize
}
