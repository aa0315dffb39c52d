package place

import (
	"encoding/json"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"hickorybend/core/intent"
	"hickorybend/core/rows"
)

// DemandPartition is the partition of the rows that record demand.
const DemandPartition = "demand"

// Demand records the peak number of concurrent streams over a sliding window of
// length Policy.ShrinkAfter. Placement follows growth at once, but does not
// shrink for a daily dip. The record is saved in the table service, because a
// node may not run for as long as the window.
//
// Peaks is a ring of buckets of equal width: bucket number b, counted since the
// Unix epoch, is at index b modulo demandBuckets. CurrentBucket is the newest.
type Demand struct {
	Since         time.Time              `json:"since"`
	CurrentBucket int64                  `json:"current"`
	Peaks         [demandBuckets]float64 `json:"peaks"`
	policy        Policy
}

// demandBuckets makes each bucket an hour wide in the default window of 26
// hours.
const demandBuckets = 26

// NewDemand returns an empty record of demand.
func NewDemand(policy Policy) *Demand { return &Demand{policy: policy} }

// Record adds a sample of the number of streams.
func (demand *Demand) Record(streams float64, now time.Time) {
	if demand.Since.IsZero() {
		demand.Since = now
	}
	demand.advance(now)
	index := demand.CurrentBucket % demandBuckets
	demand.Peaks[index] = max(demand.Peaks[index], streams)
}

// CoversWindow reports whether the record spans the complete window. Until it
// does, a higher peak may have gone unrecorded.
func (demand *Demand) CoversWindow(now time.Time) bool {
	return !demand.Since.IsZero() && now.Sub(demand.Since) >= demand.policy.ShrinkAfter
}

// WantedReplicas returns the number of replicas that carry the recorded peak at
// the target load, within the service's limits.
func (demand *Demand) WantedReplicas(service intent.Service, now time.Time) int {
	demand.advance(now)
	peak := 0.0
	for _, streams := range demand.Peaks {
		peak = max(peak, streams)
	}
	needed := int(math.Ceil(peak / (float64(service.ReplicaStreams) * demand.policy.TargetUtilization)))
	return min(max(needed, service.MinReplicas), service.MaxReplicas)
}

// advance moves to the bucket of now and clears the buckets that it enters.
func (demand *Demand) advance(now time.Time) {
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

// DemandKey returns the key of the row that records a service's demand.
func DemandKey(service string) rows.Key { return rows.Key{Partition: DemandPartition, Sort: service} }

// Restore merges the record that a previous holder of the lease saved.
func (demand *Demand) Restore(row rows.Row, now time.Time) error {
	if len(row.Body) == 0 {
		return nil
	}
	earlier := NewDemand(demand.policy)
	if err := json.Unmarshal(row.Body, earlier); err != nil {
		return errors.Wrapf(err, "place: decode the demand record of service %s", row.Key.Sort)
	}
	earlier.advance(now)
	demand.advance(now)
	for i, peak := range earlier.Peaks {
		demand.Peaks[i] = max(demand.Peaks[i], peak)
	}
	if demand.Since.IsZero() || earlier.Since.Before(demand.Since) {
		demand.Since = earlier.Since
	}
	return nil
}

// SaveTxn returns the transaction that saves the record for the next holder of
// the lease. row is the record's row as last read.
func (demand *Demand) SaveTxn(row rows.Row, writeID string) rows.Txn {
	body, err := json.Marshal(demand)
	if err != nil {
		panic(errors.Wrap(err, "place: encode the demand record"))
	}
	return rows.Txn{WriteID: writeID, Ops: []rows.Op{rows.Replace(row, body)}}
}
