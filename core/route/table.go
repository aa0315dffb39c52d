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

// ReplicaState is the part of a replica's state that traffic and control share; it
// stays the same over all tables that hold the replica's epoch.
type ReplicaState struct {
	until     atomic.Int64
	inFlight  atomic.Int64
	firstTime atomic.Int64
	answers   atomic.Int64
}

// Replica is one candidate for a request.
type Replica struct {
	ID           string
	Epoch        int64
	Address      string
	Zone         string
	Distance     Distance
	Hash         uint64
	MaxStreams   int
	OtherStreams int
	Ejected      bool
	State        *ReplicaState
}

// Table is an immutable list of a service's replicas; Start is the zero of the
// times in the cells.
type Table struct {
	Policy   Policy
	Start    time.Time
	Replicas []Replica
}

// SetCompleteUntil sets the deadline until which the replica is known to be whole.
func (replicastate *ReplicaState) SetCompleteUntil(start, until time.Time) {
	if until.IsZero() {
		replicastate.until.Store(0)
		return
	}
	replicastate.until.Store(int64(until.Sub(start)))
}

// Complete tells whether the replica is still known to be whole.
func (replicastate *ReplicaState) Complete(start, now time.Time) bool {
	return int64(now.Sub(start)) < replicastate.until.Load()
}

// CompleteUntil gives the deadline that SetCompleteUntil set.
func (replicastate *ReplicaState) CompleteUntil(start time.Time) time.Time {
	return start.Add(time.Duration(replicastate.until.Load()))
}

// Begin counts a request as sent to the replica.
func (replicastate *ReplicaState) Begin() { replicastate.inFlight.Add(1) }

// End counts a request as finished.
func (replicastate *ReplicaState) End() { replicastate.inFlight.Add(-1) }

// InFlight gives the requests that this node has at the replica.
func (replicastate *ReplicaState) InFlight() int { return int(replicastate.inFlight.Load()) }

// firstTimeShift makes a new sample weigh an eighth.
const firstTimeShift = 3

// RecordFirstToken takes in the time that the replica needed to its first token.
func (replicastate *ReplicaState) RecordFirstToken(took time.Duration) {
	replicastate.answers.Add(1)
	old := replicastate.firstTime.Load()
	if old == 0 {
		replicastate.firstTime.Store(int64(took))
		return
	}
	replicastate.firstTime.Store(old + (int64(took)-old)>>firstTimeShift)
}

// FirstTokenLatency gives the smoothed time to the first token and how many samples it rests on.
func (replicastate *ReplicaState) FirstTokenLatency() (time.Duration, int64) {
	smoothed := time.Duration(replicastate.firstTime.Load())
	return smoothed, replicastate.answers.Load()
}

// Utilization gives the streams at whole replicas over what they batch, and how
// long a request would queue; a negative load says that no replica is whole.
func (table *Table) Utilization(now time.Time) (float64, time.Duration) {
	streams, load, whole := 0, 0, 0
	for i := range table.Replicas {
		replica := &table.Replicas[i]
		if !replica.State.Complete(table.Start, now) {
			continue
		}
		whole++
		streams += max(replica.MaxStreams, 1)
		load += Load(replica)
	}
	if whole == 0 {
		return -1, 0
	}
	queued := max(load-streams, 0) / whole
	return float64(load) / float64(streams), table.Policy.QueuedStream * time.Duration(queued)
}
