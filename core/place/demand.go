package place

import (
	"encoding/json"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"hickorybend/core/intent"
	"hickorybend/core/rows"
)

// DemandPartition is the partition of what is remembered of demand.
const DemandPartition = "demand"

// Demand remembers the highest number of streams of the recent past, so that
// growth is followed at once and a daily dip is not. It is kept in the table
// service, since no node lives as long as it has to remember.
type Demand struct {
	Since         time.Time              `json:"since"`
	CurrentBucket int64                  `json:"current"`
	Peaks         [demandBuckets]float64 `json:"peaks"`
	policy        Policy
}

const demandBuckets = 26

// NewDemand makes a memory of no demand.
func NewDemand(policy Policy) *Demand { return &Demand{policy: policy} }

// Record takes in how many streams there are now.
func (demand *Demand) Record(streams float64, now time.Time) {
	if demand.Since.IsZero() {
		demand.Since = now
	}
	demand.turn(now)
	place := demand.CurrentBucket % demandBuckets
	demand.Peaks[place] = max(demand.Peaks[place], streams)
}

// CoversWindow tells whether the memory covers its whole time; before that, a low peak
// may only be one that was not seen.
func (demand *Demand) CoversWindow(now time.Time) bool {
	return !demand.Since.IsZero() && now.Sub(demand.Since) >= demand.policy.ShrinkAfter
}

// WantedReplicas gives the number of replicas that the recent demand needs.
func (demand *Demand) WantedReplicas(service intent.Service, now time.Time) int {
	demand.turn(now)
	peak := 0.0
	for _, streams := range demand.Peaks {
		peak = max(peak, streams)
	}
	needed := int(math.Ceil(peak / (float64(service.ReplicaStreams) * demand.policy.TargetLoad)))
	return min(max(needed, service.MinReplicas), service.MaxReplicas)
}

func (demand *Demand) turn(now time.Time) {
	width := max(int64(demand.policy.ShrinkAfter)/demandBuckets, 1)
	bucket := now.UnixNano() / width
	if bucket-demand.CurrentBucket > demandBuckets {
		demand.CurrentBucket = bucket - demandBuckets
	}
	for demand.CurrentBucket < bucket {
		demand.CurrentBucket++
		demand.Peaks[demand.CurrentBucket%demandBuckets] = 0
	}
}

// DemandKey names the row of a service's demand.
func DemandKey(service string) rows.Key { return rows.Key{Partition: DemandPartition, Sort: service} }

// Restore takes in what an earlier holder of the lease remembered.
func (demand *Demand) Restore(row rows.Row, now time.Time) error {
	if len(row.Body) == 0 {
		return nil
	}
	earlier := NewDemand(demand.policy)
	if err := json.Unmarshal(row.Body, earlier); err != nil {
		return errors.Wrapf(err, "place: demand of %s", row.Key.Sort)
	}
	earlier.turn(now)
	demand.turn(now)
	for i, peak := range earlier.Peaks {
		demand.Peaks[i] = max(demand.Peaks[i], peak)
	}
	if demand.Since.IsZero() || earlier.Since.Before(demand.Since) {
		demand.Since = earlier.Since
	}
	return nil
}

// SaveTxn makes the transaction that keeps the memory for the next holder.
func (demand *Demand) SaveTxn(row rows.Row, write string) rows.Txn {
	body, err := json.Marshal(demand)
	if err != nil {
		panic(errors.Wrap(err, "place: a plain struct did not encode"))
	}
	return rows.Txn{WriteID: write, Ops: []rows.Op{rows.Replace(row, body)}}
}
