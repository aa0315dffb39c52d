package reach

import (
	"math"
	"sync/atomic"
	"time"
)

// Load is the load and health of one endpoint as this node knows them. All
// request goroutines share it.
type Load struct {
	ownInFlight       atomic.Int64
	peerInFlight      atomic.Int64
	ownPendingTokens  atomic.Int64 // tokens of this node's prompts whose answer has not begun
	peerPendingTokens atomic.Int64 // tokens of the other nodes' prompts whose answer has not begun
	held              heldTokens
	failureRate       atomic.Uint64 // smoothed fraction of requests that failed, as float64 bits
	answerTime        atomic.Uint64 // smoothed seconds to a complete answer, as float64 bits
	lastResultAt      atomic.Int64  // Unix nanoseconds of the last result
	lastAnswerAt      atomic.Int64  // the same of the last one that was no failure
	avoidUntil        atomic.Int64  // Unix nanoseconds until which no new request is sent
	unreachableUntil  atomic.Int64  // the same because no connection could be opened
	backoffEnd        atomic.Int64  // Unix nanoseconds until which the endpoint wants no request of this node
	leavingStart      atomic.Int64  // start of the incarnation that has said that it leaves, in Unix milliseconds
	turnInterval      atomic.Int64  // nanoseconds between two requests of this node, of an endpoint that has stated a limit; 0 for none
	nextTurn          atomic.Int64  // Unix nanoseconds from which this node may send the next one
	statedLimit       atomic.Uint64 // limitBits of what the endpoint last stated to this node
	statedAt          atomic.Int64  // Unix nanoseconds of when RecordLimit last reported news
}

const (
	failureWeight    = 0.15            // weight of a new result in the failure rate
	answerTimeWeight = 0.1             // weight of a new sample in the answer time
	failureHalfLife  = 2 * time.Second // time in which the failure rate halves without results
)

// Begin counts a request that is sent to the endpoint.
func (load *Load) Begin() { load.ownInFlight.Add(1) }

// End counts a request that has ended.
func (load *Load) End() { load.ownInFlight.Add(-1) }

// AddPendingTokens adds the tokens of a prompt that is sent. The caller
// subtracts them, by a negative number, at the first event of the answer or
// when the attempt ends.
func (load *Load) AddPendingTokens(tokens int) { load.ownPendingTokens.Add(int64(tokens)) }

// OwnPendingTokens returns the number of tokens in this node's prompts whose
// answer has not begun.
func (load *Load) OwnPendingTokens() int { return int(load.ownPendingTokens.Load()) }

// PendingTokens returns the number of tokens in all nodes' prompts whose answer
// has not begun.
func (load *Load) PendingTokens() int {
	return int(load.ownPendingTokens.Load() + load.peerPendingTokens.Load())
}

// OwnInFlight returns the number of this node's requests in flight.
func (load *Load) OwnInFlight() int { return int(load.ownInFlight.Load()) }

// SetPeerLoad sets the number of the other nodes' requests in flight and the
// tokens of their prompts whose answer has not begun.
func (load *Load) SetPeerLoad(inFlight, pendingTokens int) {
	load.peerInFlight.Store(int64(inFlight))
	load.peerPendingTokens.Store(int64(pendingTokens))
}

// InFlight returns the number of all nodes' requests in flight, those of other
// nodes as last reported.
func (load *Load) InFlight() int { return int(load.ownInFlight.Load() + load.peerInFlight.Load()) }

// RecordResult updates the failure rate by the result of a request, and the
// smoothed answer time if it succeeded.
func (load *Load) RecordResult(now time.Time, failed bool, answerTime time.Duration) {
	outcome := 0.0
	if failed {
		outcome = 1
	} else {
		smooth(&load.answerTime, answerTime.Seconds(), answerTimeWeight)
		load.lastAnswerAt.Store(now.UnixNano())
	}
	decayed := load.FailureRate(now)
	load.failureRate.Store(math.Float64bits(decayed + failureWeight*(outcome-decayed)))
	load.lastResultAt.Store(now.UnixNano())
}

// LastAnswerAt returns when the endpoint last answered a request of this node, as far as
// results have been recorded.
func (load *Load) LastAnswerAt() time.Time { return time.Unix(0, load.lastAnswerAt.Load()) }

// Avoid keeps new requests away from the endpoint until the given time.
func (load *Load) Avoid(until time.Time) { load.avoidUntil.Store(until.UnixNano()) }

// Avoided reports whether new requests are kept away at the given time.
func (load *Load) Avoided(now time.Time) bool { return now.UnixNano() < load.avoidUntil.Load() }

// MarkUnreachable keeps new requests away from an endpoint to which this node could open
// no connection, until the given time. A zero time ends that.
func (load *Load) MarkUnreachable(until time.Time) {
	if until.IsZero() {
		load.unreachableUntil.Store(0)
		return
	}
	load.unreachableUntil.Store(until.UnixNano())
}

// Unreachable reports whether this node takes the endpoint for unreachable at the given
// time.
func (load *Load) Unreachable(now time.Time) bool {
	return now.UnixNano() < load.unreachableUntil.Load()
}

// BackOff keeps new requests away from the endpoint until the given time, which it
// has asked for. An earlier time does not shorten the backoff.
func (load *Load) BackOff(until time.Time) {
	wanted := until.UnixNano()
	for current := load.backoffEnd.Load(); current < wanted; current = load.backoffEnd.Load() {
		if load.backoffEnd.CompareAndSwap(current, wanted) {
			return
		}
	}
}

// BackoffEnd returns the time until which the endpoint wants no request.
func (load *Load) BackoffEnd() time.Time { return time.Unix(0, load.backoffEnd.Load()) }

// BackedOff reports whether the endpoint wants no request at the given time.
func (load *Load) BackedOff(now time.Time) bool { return now.UnixNano() < load.backoffEnd.Load() }

// MarkLeaving keeps new requests away from an endpoint until it starts again. It
// reports whether that is news.
func (load *Load) MarkLeaving(startedAt time.Time) bool {
	return load.leavingStart.Swap(startedAt.UnixMilli()) != startedAt.UnixMilli()
}

// Leaving reports whether the incarnation of the endpoint that began at a time has said that
// it leaves.
func (load *Load) Leaving(startedAt time.Time) bool {
	return load.leavingStart.Load() == startedAt.UnixMilli()
}

// FailureRate returns the smoothed fraction of requests that failed. It decays
// with time, because an endpoint that is no longer chosen has no successes that
// would lower it.
func (load *Load) FailureRate(now time.Time) float64 {
	rate := math.Float64frombits(load.failureRate.Load())
	if rate == 0 {
		return 0 // saves the exponential for most endpoints
	}
	elapsed := max(0, now.UnixNano()-load.lastResultAt.Load())
	halfLives := float64(elapsed) / float64(failureHalfLife)
	return rate * math.Exp2(-halfLives)
}

// AnswerTime returns the smoothed time to a complete answer, or 0 before the
// first.
func (load *Load) AnswerTime() time.Duration {
	seconds := math.Float64frombits(load.answerTime.Load())
	answerTime := time.Duration(seconds * float64(time.Second))
	return answerTime
}

// smooth adds a sample to an exponentially weighted average, which begins at
// the first sample. A sample that is lost to a concurrent update does no harm.
func smooth(bits *atomic.Uint64, sample, weight float64) {
	old := math.Float64frombits(bits.Load())
	if old == 0 {
		bits.Store(math.Float64bits(sample))
		return
	}
	bits.Store(math.Float64bits(old + weight*(sample-old)))
}
