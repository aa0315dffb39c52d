package route

import (
	"sync/atomic"
	"time"
)

// Distance is how far a replica is from this node.
type Distance int

// The distances, nearest first.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// ReplicaState is the state of a replica that the control loop and request handlers
// share. All tables that hold the same epoch of the replica share one ReplicaState.
type ReplicaState struct {
	completeUntil     atomic.Int64 // nanoseconds after Table.Start
	inFlight          atomic.Int64
	firstTokenLatency atomic.Int64 // smoothed, in nanoseconds
	samples           atomic.Int64 // number of samples of firstTokenLatency
}

// Replica is a replica that may serve a request. An endpoint of a plain
// service, which is a service without models, counts as a replica of one host.
type Replica struct {
	ID           string
	Epoch        int64
	Address      string
	Zone         string
	Distance     Distance
	Hash         uint64 // of ID
	MaxStreams   int    // streams that it batches
	OtherStreams int    // streams of other nodes, smoothed
	Ejected      bool
	State        *ReplicaState
}

// Table is a list of a service's replicas, which is not changed once published,
// apart from the replicas' States. Times in the States are relative to Start.
type Table struct {
	Policy   Policy
	Start    time.Time
	Replicas []Replica
}

// SetCompleteUntil sets the deadline until which the replica is known to be
// complete, with all members in place; the zero time says that it is not.
func (replicastate *ReplicaState) SetCompleteUntil(start, until time.Time) {
	if until.IsZero() {
		replicastate.completeUntil.Store(0)
		return
	}
	replicastate.completeUntil.Store(int64(until.Sub(start)))
}

// Complete reports whether the replica is still known to be complete.
func (replicastate *ReplicaState) Complete(start, now time.Time) bool {
	return int64(now.Sub(start)) < replicastate.completeUntil.Load()
}

// CompleteUntil returns the deadline that SetCompleteUntil set.
func (replicastate *ReplicaState) CompleteUntil(start time.Time) time.Time {
	return start.Add(time.Duration(replicastate.completeUntil.Load()))
}

// Begin counts a request that is sent to the replica.
func (replicastate *ReplicaState) Begin() { replicastate.inFlight.Add(1) }

// End counts a request that has ended.
func (replicastate *ReplicaState) End() { replicastate.inFlight.Add(-1) }

// InFlight returns the number of this node's requests in flight at the replica.
func (replicastate *ReplicaState) InFlight() int { return int(replicastate.inFlight.Load()) }

// firstTokenShift gives a new sample a weight of one eighth.
const firstTokenShift = 3

// RecordFirstToken adds a sample of the time to the first token.
func (replicastate *ReplicaState) RecordFirstToken(latency time.Duration) {
	replicastate.samples.Add(1)
	old := replicastate.firstTokenLatency.Load()
	if old == 0 {
		replicastate.firstTokenLatency.Store(int64(latency))
		return
	}
	replicastate.firstTokenLatency.Store(old + (int64(latency)-old)>>firstTokenShift)
}

// FirstTokenLatency returns the smoothed time to the first token and the number of
// samples behind it.
func (replicastate *ReplicaState) FirstTokenLatency() (time.Duration, int64) {
	smoothed := time.Duration(replicastate.firstTokenLatency.Load())
	return smoothed, replicastate.samples.Load()
}

// Utilization returns the streams at complete replicas over the streams that they
// batch, and how long a request would queue. A negative utilization says that no
// replica is complete.
func (table *Table) Utilization(now time.Time) (float64, time.Duration) {
	capacity, load, complete := 0, 0, 0
	for i := range table.Replicas {
		replica := &table.Replicas[i]
		if !replica.State.Complete(table.Start, now) {
			continue
		}
		complete++
		capacity += max(replica.MaxStreams, 1)
		load += EstimatedStreams(replica)
	}
	if complete == 0 {
		return -1, 0
	}
	queued := max(load-capacity, 0) / complete
	return float64(load) / float64(capacity), table.Policy.QueuedStream * time.Duration(queued)
}
