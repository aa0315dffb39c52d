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
	ownPendingTokens  atomic.Int64  // tokens of this node's prompts whose answer has not begun
	peerPendingTokens atomic.Int64  // tokens of the other nodes' prompts whose answer has not begun
	failureRate       atomic.Uint64 // smoothed fraction of requests that failed, as float64 bits
	answerTime        atomic.Uint64 // smoothed seconds to a complete answer, as float64 bits
	lastResultAt      atomic.Int64  // Unix nanoseconds of the last result
	avoidUntil        atomic.Int64  // Unix nanoseconds until which no new request is sent
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
	}
	decayed := load.FailureRate(now)
	load.failureRate.Store(math.Float64bits(decayed + failureWeight*(outcome-decayed)))
	load.lastResultAt.Store(now.UnixNano())
}

// Avoid keeps new requests away from the endpoint until the given time.
func (load *Load) Avoid(until time.Time) { load.avoidUntil.Store(until.UnixNano()) }

// Avoided reports whether new requests are kept away at the given time.
func (load *Load) Avoided(now time.Time) bool { return now.UnixNano() < load.avoidUntil.Load() }

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

// noTurn is the interval of a node that may send an endpoint no request.
const noTurn = time.Duration(math.MaxInt64)

// SetRate limits the requests that this node sends to the endpoint; 0 a second means
// that it sends none.
func (load *Load) SetRate(perSecond float64) {
	interval := noTurn
	if perSecond > 0 {
		interval = time.Duration(float64(time.Second) / perSecond)
	}
	load.turnInterval.Store(int64(interval))
}

// RemoveRate lets this node send any number of requests to the endpoint.
func (load *Load) RemoveRate() { load.turnInterval.Store(0) }

// Limited reports whether the rate permits no request at the given time.
func (load *Load) Limited(now time.Time) bool {
	switch load.turnInterval.Load() {
	case 0:
		return false
	case int64(noTurn):
		return true
	default:
		return now.UnixNano() < load.nextTurn.Load()
	}
}

// TakeTurn counts a request against the rate. It reports false if the rate permits none,
// since another request has been faster.
func (load *Load) TakeTurn(now time.Time) bool {
	interval := load.turnInterval.Load()
	if interval == 0 {
		return true
	}
	next := load.nextTurn.Load()
	return interval != int64(noTurn) && now.UnixNano() >= next && load.nextTurn.CompareAndSwap(next, now.UnixNano()+interval)
}

// statedInterval is how often RecordLimit reports a limit that does not change.
const statedInterval = 2 * time.Second

// RecordLimit records the limit that the endpoint has stated in an answer, or that it
// has stated none. It reports whether that is news, or was last reported long ago.
func (load *Load) RecordLimit(stated bool, perSecond float64, now time.Time) bool {
	bits := limitBits(stated, perSecond)
	changed := load.statedLimit.Swap(bits) != bits
	if !changed && (!stated || now.UnixNano()-load.statedAt.Load() < int64(statedInterval)) {
		return false
	}
	load.statedAt.Store(now.UnixNano())
	return true
}

// limitBits returns 0 for no limit, and otherwise the bits of a float64 that is not 0.
func limitBits(stated bool, perSecond float64) uint64 {
	if !stated {
		return 0
	}
	return math.Float64bits(perSecond + 1)
}

// pausedUntil returns when the endpoint takes the next request of this node, if it has
// asked for a backoff or stated a limit, and the time over which callers that wait for
// that should return.
func (load *Load) pausedUntil(now time.Time) (until time.Time, spread time.Duration) {
	until = load.BackoffEnd()
	spread = time.Duration(backoffSpread * float64(until.Sub(now)))
	if interval := load.turnInterval.Load(); interval > 0 && load.Limited(now) {
		turn := now.Add(maxTurnWait)
		if interval < int64(maxTurnWait) {
			turn = time.Unix(0, load.nextTurn.Load())
		}
		if turn.After(until) {
			until, spread = turn, min(time.Duration(interval), maxTurnWait)
		}
	}
	return until, spread
}

// maxTurnWait bounds how long a caller is told to wait for an endpoint with a limit,
// which may end at any time.
const maxTurnWait = 2 * time.Second

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
