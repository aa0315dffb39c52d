package route

import "time"

// InFlightHistory records how many requests this node recently had in flight at
// a replica, so that they can be subtracted from a load report that lags.
type InFlightHistory struct {
	times        [sampleCount]time.Time
	counts       [sampleCount]int
	next         int       // index of the oldest sample, which is overwritten next
	otherStreams float64   // smoothed over reports
	reportedAt   time.Time // time of the newest report
}

// reportWeight is the weight of a new report in the smoothed number of streams.
const reportWeight = 0.2

// OtherStreams returns the number of other nodes' streams at a replica,
// smoothed over reports. reported is the number of all nodes' streams in the
// report of time at. The load that it describes is older than the report by the
// given lag.
//
// A single report would mislead, since its age exceeds the duration of an
// answer: by the time that all nodes have seen a replica idle and have all sent
// requests there, it is no longer idle. Smoothed over several reports, the
// other nodes' streams hardly change, so that this node's own requests in
// flight, which it knows exactly, decide the choice.
func (inflighthistory *InFlightHistory) OtherStreams(reported int, at time.Time, lag time.Duration) int {
	if !at.After(inflighthistory.reportedAt) {
		return int(inflighthistory.otherStreams + rounding)
	}
	current := float64(max(reported-inflighthistory.At(at.Add(-lag)), 0))
	if inflighthistory.reportedAt.IsZero() {
		inflighthistory.otherStreams = current
	}
	inflighthistory.otherStreams += reportWeight * (current - inflighthistory.otherStreams)
	inflighthistory.reportedAt = at
	return int(inflighthistory.otherStreams + rounding)
}

// rounding makes the conversion to int round to the nearest.
const rounding = 0.5

// sampleCount is the number of samples that are kept.
const sampleCount = 32

// Record adds a sample of the requests in flight.
func (inflighthistory *InFlightHistory) Record(count int, now time.Time) {
	inflighthistory.times[inflighthistory.next] = now
	inflighthistory.counts[inflighthistory.next] = count
	inflighthistory.next = (inflighthistory.next + 1) % sampleCount
}

// At returns the requests in flight at the given time, or the oldest sample if that
// is later, or 0 without samples.
func (inflighthistory *InFlightHistory) At(at time.Time) int {
	oldest := 0
	for i := range sampleCount {
		index := (inflighthistory.next + sampleCount - 1 - i) % sampleCount
		if inflighthistory.times[index].IsZero() {
			return oldest
		}
		oldest = inflighthistory.counts[index]
		if !inflighthistory.times[index].After(at) {
			return oldest
		}
	}
	return oldest
}
