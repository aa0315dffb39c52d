package route

import "time"

// Samples remember how many requests this node had at a replica in the recent
// past, to find its own part in a load report that lags.
type Samples struct {
	times  [sampleCount]time.Time
	counts [sampleCount]int
	next   int
}

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
