package reach

import (
	"math"
	"sync/atomic"
	"time"
)

// Load is what is known of one endpoint's load and health on this node; it is
// shared by the goroutines of all requests.
type Load struct {
	own     atomic.Int64
	others  atomic.Int64
	prompts atomic.Int64  // tokens of this node's prompts that are not answered yet
	unread  atomic.Int64  // the same of the other nodes
	failure atomic.Uint64 // smoothed part of requests that failed, as float bits
	took    atomic.Uint64 // smoothed seconds of an answer, as float bits
	noted   atomic.Int64  // unix nanoseconds of the last request that ended
	avoid   atomic.Int64  // unix nanoseconds until which nothing new is sent
}

const (
	failureWeight = 0.15
	tookWeight    = 0.1
	failureHalf   = 2 * time.Second // in which an old failure loses half of its weight
)

// Begin counts a request that is sent.
func (load *Load) Begin() { load.own.Add(1) }

// End counts a request that is over.
func (load *Load) End() { load.own.Add(-1) }

// AddPendingTokens counts the tokens of a prompt until its first event, which takes them
// off again.
func (load *Load) AddPendingTokens(tokens int) { load.prompts.Add(int64(tokens)) }

// OwnPendingTokens gives the tokens of this node's prompts that are not answered yet.
func (load *Load) OwnPendingTokens() int { return int(load.prompts.Load()) }

// PendingTokens gives the tokens of all nodes' prompts that are not answered yet.
func (load *Load) PendingTokens() int { return int(load.prompts.Load() + load.unread.Load()) }

// OwnInFlight gives this node's requests in flight.
func (load *Load) OwnInFlight() int { return int(load.own.Load()) }

// SetPeerLoad takes in the other nodes' requests in flight, and the tokens of
// their prompts that are not answered yet.
func (load *Load) SetPeerLoad(count, tokens int) {
	load.others.Store(int64(count))
	load.unread.Store(int64(tokens))
}

// InFlight gives all nodes' requests in flight, as far as known.
func (load *Load) InFlight() int { return int(load.own.Load() + load.others.Load()) }

// RecordResult takes in how a request ended and how long it took.
func (load *Load) RecordResult(now time.Time, failed bool, took time.Duration) {
	outcome := 0.0
	if failed {
		outcome = 1
	} else {
		smooth(&load.took, took.Seconds(), tookWeight)
	}
	faded := load.FailureRate(now)
	load.failure.Store(math.Float64bits(faded + failureWeight*(outcome-faded)))
	load.noted.Store(now.UnixNano())
}

// Avoid keeps new requests away until a moment.
func (load *Load) Avoid(until time.Time) { load.avoid.Store(until.UnixNano()) }

// Avoided tells whether new requests are kept away.
func (load *Load) Avoided(now time.Time) bool { return now.UnixNano() < load.avoid.Load() }

// FailureRate gives the smoothed part of requests that failed. It fades with time:
// an endpoint that nobody chooses could never show that it is sound again.
func (load *Load) FailureRate(now time.Time) float64 {
	since := max(0, now.UnixNano()-load.noted.Load())
	halves := float64(since) / float64(failureHalf)
	return math.Float64frombits(load.failure.Load()) * math.Exp2(-halves)
}

// Latency gives the smoothed time of an answer; 0 before the first.
func (load *Load) Latency() time.Duration {
	seconds := math.Float64frombits(load.took.Load())
	took := time.Duration(seconds * float64(time.Second))
	return took
}

// smooth moves a value towards a sample; a sample lost to a race does no harm.
func smooth(bits *atomic.Uint64, sample, weight float64) {
	old := math.Float64frombits(bits.Load())
	if old == 0 {
		bits.Store(math.Float64bits(sample))
		return
	}
	bits.Store(math.Float64bits(old + weight*(sample-old)))
}
