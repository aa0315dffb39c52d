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
	answers   atomic.Int64
}

// Replica is one candidate for a request.
type Replica struct {
	ID       string
	Epoch    int64
	Address  string
	Zone     string
	Distance Distance
	Hash     uint64
	Streams  int
	Others   int
	Ejected  bool
	Cell     *Cell
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

// NoteFirst takes in the time that the replica needed to its first token.
func (cell *Cell) NoteFirst(took time.Duration) {
	cell.answers.Add(1)
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

// Pressure gives the streams at whole replicas over what they batch, and how
// long a request would queue; a negative load says that no replica is whole.
func (table *Table) Pressure(now time.Time) (float64, time.Duration) {
	streams, load, whole := 0, 0, 0
	for i := range table.Replicas {
		replica := &table.Replicas[i]
		if !replica.Cell.Whole(table.Start, now) {
			continue
		}
		whole++
		streams += max(replica.Streams, 1)
		load += Load(replica)
	}
	if whole == 0 {
		return -1, 0
	}
	queued := max(load-streams, 0) / whole
	return float64(load) / float64(streams), table.Policy.QueuedStream * time.Duration(queued)
}
