package reach

import "time"

// Policy holds the weights of the choice and the limits of waiting.
type Policy struct {
	CrossZonePenalty     float64       // added to the load of an endpoint in another zone, as part of its slots
	SlowPenalty          float64       // added for each doubling of an endpoint's time against its peers
	PromptWeight         float64       // of the time that waiting prompts take, as part of the objective
	MinTimeLeft          time.Duration // the least that prompts are measured by, where the objective is near or past
	TieBreakWeight       float64       // how far a node's fixed offsets move like candidates apart
	SampleSize           int           // candidates that are compared where many nodes choose by the same stale picture
	SampleOtherZones     int           // added to these of other zones, where they are drawn in this one
	ZonalSampleMin       int           // candidates in this zone from which on they are
	SampleMinNodes       int           // nodes from which on that is so
	QueueAllowance       float64       // requests beyond a replica's slots, as part of the slots, that still meet the objective
	RetryQueueAllowance  float64       // the same for a request that was turned away before
	UrgentQueueAllowance float64       // the same, added for each step of priority above the usual
	PlainQueueAllowance  float64       // requests beyond a plain endpoint's slots, as part of the slots
	FailPenalty          float64       // added for an endpoint that fails every request
	MinRetryDelay        time.Duration // the earliest return that a caller is told
	MaxRetryDelay        time.Duration // the latest
	ServiceTime          time.Duration // an answer's usual time on a replica, until one was seen
}

// DefaultPolicy fits objectives of some hundred milliseconds.
func DefaultPolicy() Policy {
	return Policy{
		CrossZonePenalty: 0.12, SlowPenalty: 0.3, PromptWeight: 1, MinTimeLeft: 100 * time.Millisecond, TieBreakWeight: 0.06, SampleSize: 3, SampleOtherZones: 2, ZonalSampleMin: 6, SampleMinNodes: 13, QueueAllowance: 0.06, RetryQueueAllowance: 0.3, UrgentQueueAllowance: 0.03,
		PlainQueueAllowance: 1.0, FailPenalty: 3, MinRetryDelay: 300 * time.Millisecond, MaxRetryDelay: 2 * time.Second,
		ServiceTime: 1500 * time.Millisecond,
	}
}

// SampleSizeFor gives how many candidates a node among so many compares; 0 for all.
func (policy Policy) SampleSizeFor(nodes int) int {
	if nodes < policy.SampleMinNodes {
		return 0
	}
	return policy.SampleSize
}
