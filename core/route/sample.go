package route

import "time"

// InFlightHistory remember how many requests this node had at a replica in the recent
// past, to find its own part in a load report that lags.
type InFlightHistory struct {
	times  [sampleCount]time.Time
	counts [sampleCount]int
	next   int
	others float64
	seenAt time.Time
}

// reportWeight is how much one report counts against those before it.
const reportWeight = 0.2

// OtherStreams gives the streams of other nodes at a replica, smoothed over reports.
//
// One report is older than an answer takes: by the time that all nodes have
// seen a replica idle, and have all gone there, it is not. Over some reports
// the others' part hardly moves, and what this node itself has in flight, which
// it knows exactly, decides.
func (inflighthistory *InFlightHistory) OtherStreams(reported int, at time.Time, lag time.Duration) int {
	if !at.After(inflighthistory.seenAt) {
		return int(inflighthistory.others + rounding)
	}
	now := float64(max(reported-inflighthistory.At(at.Add(-lag)), 0))
	if inflighthistory.seenAt.IsZero() {
		inflighthistory.others = now
	}
	inflighthistory.others += reportWeight * (now - inflighthistory.others)
	inflighthistory.seenAt = at
	return int(inflighthistory.others + rounding)
}

const rounding = 0.5

const sampleCount = 32

// Record adds what is in flight now.
func (inflighthistory *InFlightHistory) Record(count int, now time.Time) {
	inflighthistory.times[inflighthistory.next] = now
	inflighthistory.counts[inflighthistory.next] = count
	inflighthistory.next = (inflighthistory.next + 1) % sampleCount
}

// At gives the count at a moment, or the oldest that is remembered.
func (inflighthistory *InFlightHistory) At(at time.Time) int {
	oldest := 0
	for i := range sampleCount {
		place := (inflighthistory.next + sampleCount - 1 - i) % sampleCount
		if inflighthistory.times[place].IsZero() {
			return oldest
		}
		oldest = inflighthistory.counts[place]
		if !inflighthistory.times[place].After(at) {
			return oldest
		}
	}
	return oldest
}
