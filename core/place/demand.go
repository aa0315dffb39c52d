package place

import (
	"math"
	"time"

	"hickorybend/core/intent"
)

// Demand remembers the highest number of streams of the recent past, so that
// growth is followed at once and a dip is not.
type Demand struct {
	policy  Policy
	buckets [demandBuckets]float64
	current int64
}

const demandBuckets = 10

// NewDemand makes a memory of no demand.
func NewDemand(policy Policy) *Demand { return &Demand{policy: policy} }

// Note takes in how many streams there are now.
func (demand *Demand) Note(streams float64, now time.Time) {
	demand.turn(now)
	place := demand.current % demandBuckets
	demand.buckets[place] = max(demand.buckets[place], streams)
}

// Wanted gives the number of replicas that the recent demand needs.
func (demand *Demand) Wanted(service intent.Service, now time.Time) int {
	demand.turn(now)
	peak := 0.0
	for _, streams := range demand.buckets {
		peak = max(peak, streams)
	}
	needed := int(math.Ceil(peak / (float64(service.ReplicaStreams) * demand.policy.TargetLoad)))
	return min(max(needed, service.MinReplicas), service.MaxReplicas)
}

func (demand *Demand) turn(now time.Time) {
	width := max(int64(demand.policy.ShrinkAfter)/demandBuckets, 1)
	bucket := now.UnixNano() / width
	if bucket-demand.current > demandBuckets {
		demand.current = bucket - demandBuckets
	}
	for demand.current < bucket {
		demand.current++
		demand.buckets[demand.current%demandBuckets] = 0
	}
}
