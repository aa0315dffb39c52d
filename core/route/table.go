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

// Cell is the part of a replica's state that traffic and control share; it
// stays the same over all tables that hold the replica's epoch.
type Cell struct {
	until     atomic.Int64
	inFlight  atomic.Int64
	firstTime atomic.Int64
	firstAt   atomic.Int64
	answers   atomic.Int64
}

// Replica is one candidate for a request.
type Replica struct {
	ID          string
	Epoch       int64
	Address     string
	Zone        string
	Distance    Distance
	Hash        uint64
	Streams     int
	Reported    int
	OwnAtReport int
	Ejected     bool
	Cell        *Cell
}

// Table is an immutable list of a service's replicas; Start is the zero of the
// times in the cells.
type Table struct {
	Policy   Policy
	Start    time.Time
	Replicas []Replica
}

// SetUntil sets the deadline until which the replica is known to be whole.
func (cell *Cell) SetUntil(start, until time.Time) {
	if until.IsZero() {
		cell.until.Store(0)
		return
	}
	cell.until.Store(int64(until.Sub(start)))
}

// Whole tells whether the replica is still known to be whole.
func (cell *Cell) Whole(start, now time.Time) bool {
	return int64(now.Sub(start)) < cell.until.Load()
}

// Until gives the deadline that SetUntil set.
func (cell *Cell) Until(start time.Time) time.Time {
	return start.Add(time.Duration(cell.until.Load()))
}

// Begin counts a request as sent to the replica.
func (cell *Cell) Begin() { cell.inFlight.Add(1) }

// End counts a request as finished.
func (cell *Cell) End() { cell.inFlight.Add(-1) }

// InFlight gives the requests that this node has at the replica.
func (cell *Cell) InFlight() int { return int(cell.inFlight.Load()) }

// firstTimeShift makes a new sample weigh an eighth.
const firstTimeShift = 3

// NoteFirst takes in the time that the replica needed to its first token, which
// came at a moment counted from the table's start.
func (cell *Cell) NoteFirst(took, at time.Duration) {
	cell.answers.Add(1)
	cell.firstAt.Store(int64(at))
	old := cell.firstTime.Load()
	if old == 0 {
		cell.firstTime.Store(int64(took))
		return
	}
	cell.firstTime.Store(old + (int64(took)-old)>>firstTimeShift)
}

// FirstTime gives the smoothed time to the first token and how many samples it rests on.
func (cell *Cell) FirstTime() (time.Duration, int64) {
	smoothed := time.Duration(cell.firstTime.Load())
	return smoothed, cell.answers.Load()
}

// Pressure gives how loaded the whole replicas are, and how long a request
// would queue; a negative load says that no replica is whole.
//
// The load is the larger of two: the streams over those that are batched, and
// the recent time to the first token over its goal. The second sees what the
// first does not, prompts that take long to read in. A time counts less the
// longer ago it was measured, so that a service that turned all away is tried
// again: with a goal of 430 ms and a last time of 1,720 ms the load is 4, a
// half-life later 2, and after two, 1.
func (table *Table) Pressure(now time.Time) (float64, time.Duration) {
	at := now.Sub(table.Start)
	streams, load, whole, first := 0, 0, 0, time.Duration(0)
	for i := range table.Replicas {
		replica := &table.Replicas[i]
		if !replica.Cell.Whole(table.Start, now) {
			continue
		}
		whole++
		streams += max(replica.Streams, 1)
		load += Load(replica)
		first += replica.Cell.recentFirst(at, table.Policy.FirstHalfLife)
	}
	if whole == 0 {
		return -1, 0
	}
	queued := max(load-streams, 0) / whole
	byStreams := float64(load) / float64(streams)
	byFirst := float64(first) / float64(whole) / float64(table.Policy.FirstGoal)
	return max(byStreams, byFirst), table.Policy.QueuedStream * time.Duration(queued)
}

// recentFirst gives the smoothed time to the first token, halved for each
// half-life since it was last measured.
func (cell *Cell) recentFirst(at, halfLife time.Duration) time.Duration {
	age := at - time.Duration(cell.firstAt.Load())
	halvings := min(max(int64(age/halfLife), 0), maxHalvings)
	took := time.Duration(cell.firstTime.Load() >> halvings)
	return took
}

// maxHalvings is enough to make any time nothing.
const maxHalvings = 62
