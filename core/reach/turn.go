package reach

import (
	"math"
	"time"
)

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

// HoldTurn permits no request before a time, if there is a rate.
func (load *Load) HoldTurn(until time.Time) {
	if next := load.nextTurn.Load(); until.UnixNano() > next {
		load.nextTurn.CompareAndSwap(next, until.UnixNano()) // a request that is faster takes its turn
	}
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
