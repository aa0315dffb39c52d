package crash

import (
	"sync/atomic"
	"time"
)

// Input is what requests that crash endpoints are recognized by: a part of the
// prompts of requests to one service.
type Input struct {
	Service string
	ID      string
}

// Incarnation is one start of an endpoint.
type Incarnation struct {
	Endpoint  string
	StartedAt int64 // Unix milliseconds
}

// Report says that an incarnation of an endpoint crashed when it was about to answer
// a request with an input.
type Report struct {
	Input       Input
	Position    int // of the part in the prompt
	Incarnation Incarnation
	At          time.Time
}

// Block says that requests with an input are rejected, or were. Of two blocks of one
// input, newerThan tells which one holds.
type Block struct {
	Input     Input
	Round     int // number of times that the input has been blocked
	Lifted    bool
	Since     time.Time // when this round began
	Crashes   int       // crashes that led to it
	Trials    int       // requests that were sent in this round to find out whether the input still crashes endpoints, and did
	NextTrial time.Time // when the next such request may be sent
}

// newerThan reports whether the block replaces another one of the same input.
func (block Block) newerThan(other Block) bool {
	switch {
	case block.Round != other.Round:
		return block.Round > other.Round
	case block.Lifted != other.Lifted:
		return block.Lifted
	default:
		return block.Trials > other.Trials
	}
}

// Trial is the permission to send one request with a blocked input. Request
// goroutines compete for it.
type Trial struct {
	Input   Input
	claimed atomic.Bool
}

// Claim takes the permission. It reports false if another request has taken it.
func (trial *Trial) Claim() bool { return trial.claimed.CompareAndSwap(false, true) }
