package reach

import "time"

// Policy holds the weights of the choice and the limits of waiting.
type Policy struct {
	FarPenalty   float64       // added to the load of an endpoint in another zone, as part of its slots
	SlowPenalty  float64       // added for each doubling of an endpoint's time against its peers
	PromptWeight float64       // of the time that waiting prompts take, as part of the objective
	LeastDue     time.Duration // the least that prompts are measured by, where the objective is near or past
	TieWidth     float64       // how far a node's fixed offsets move like candidates apart
	Sample       int           // candidates that are compared where many nodes choose by the same stale picture
	SampleFar    int           // added to these of other zones, where they are drawn in this one
	SampleZone   int           // candidates in this zone from which on they are
	SampleNodes  int           // nodes from which on that is so
	Waiting      float64       // requests beyond a replica's slots, as part of the slots, that still meet the objective
	BackWaiting  float64       // the same for a request that was turned away before
	UrgentExtra  float64       // the same, added for each step of priority above the usual
	PlainWaiting float64       // requests beyond a plain endpoint's slots, as part of the slots
	FailPenalty  float64       // added for an endpoint that fails every request
	RetryLeast   time.Duration // the earliest return that a caller is told
	RetryMost    time.Duration // the latest
	ServiceTime  time.Duration // an answer's usual time on a replica, until one was seen
}

// DefaultPolicy fits objectives of some hundred milliseconds.
func DefaultPolicy() Policy {
	return Policy{
		FarPenalty: 0.12, SlowPenalty: 0.3, PromptWeight: 1, LeastDue: 100 * time.Millisecond, TieWidth: 0.06, Sample: 3, SampleFar: 2, SampleZone: 6, SampleNodes: 13, Waiting: 0.06, BackWaiting: 0.3, UrgentExtra: 0.03,
		PlainWaiting: 1.0, FailPenalty: 3, RetryLeast: 300 * time.Millisecond, RetryMost: 2 * time.Second,
		ServiceTime: 1500 * time.Millisecond,
	}
}

// SampleOf gives how many candidates a node among so many compares; 0 for all.
func (policy Policy) SampleOf(nodes int) int {
	if nodes < policy.SampleNodes {
		return 0
	}
	return policy.Sample
}
