package route

import "time"

// Samples remember how many requests this node had at a replica in the recent
// past, to find its own part in a load report that lags.
type Samples struct {
	times  [sampleCount]time.Time
	counts [sampleCount]int
	next   int
	others float64
	seenAt time.Time
}

// reportWeight is how much one report counts against those before it.
const reportWeight = 0.2

// Others gives the streams of other nodes at a replica, smoothed over reports.
//
// One report is older than an answer takes: by the time that all nodes have
// seen a replica idle, and have all gone there, it is not. Over some reports
// the others' part hardly moves, and what this node itself has in flight, which
// it knows exactly, decides.
func (samples *Samples) Others(reported int, at time.Time, lag time.Duration) int {
	if !at.After(samples.seenAt) {
		return int(samples.others + rounding)
	}
	now := float64(max(reported-samples.At(at.Add(-lag)), 0))
	if samples.seenAt.IsZero() {
		samples.others = now
	}
	samples.others += reportWeight * (now - samples.others)
	samples.seenAt = at
	return int(samples.others + rounding)
}

const rounding = 0.5

const sampleCount = 32

// Note adds what is in flight now.
func (samples *Samples) Note(count int, now time.Time) {
	samples.times[samples.next] = now
	samples.counts[samples.next] = count
	samples.next = (samples.next + 1) % sampleCount
}

// At gives the count at a moment, or the oldest that is remembered.
func (samples *Samples) At(at time.Time) int {
	oldest := 0
	for i := range sampleCount {
		place := (samples.next + sampleCount - 1 - i) % sampleCount
		if samples.times[place].IsZero() {
			return oldest
		}
		oldest = samples.counts[place]
		if !samples.times[place].After(at) {
			return oldest
		}
	}
	return oldest
}
