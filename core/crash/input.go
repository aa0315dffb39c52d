package crash

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"sync/atomic"
	"time"
)

// Input is what requests that crash endpoints are recognized by: a part of the
// prompts of requests to one service, or a whole request.
type Input struct {
	Service string // empty for a whole request, which crashes endpoints of whichever service gets it
	ID      string
}

// IsRequest reports whether the input is a whole request.
func (input Input) IsRequest() bool { return input.Service == "" }

// Request is what a request has in common with its repetitions.
type Request struct {
	Method string
	Host   string
	Target string // path and query
	Team   string
	Body   []byte
}

const requestIDBytes = 16

// Input returns the input that stands for the request and its repetitions. Its ID is a
// hash, so that it can be logged and compared whatever the body is.
func (request Request) Input() Input {
	hash := sha256.New()
	for _, field := range [][]byte{[]byte(request.Method), []byte(request.Host), []byte(request.Target), []byte(request.Team), request.Body} {
		_ = binary.Write(hash, binary.BigEndian, int64(len(field))) // a Hash returns no error
		_, _ = hash.Write(field)
	}
	return Input{ID: hex.EncodeToString(hash.Sum(nil)[:requestIDBytes])}
}

// Incarnation is one start of an endpoint.
type Incarnation struct {
	Endpoint  string
	StartedAt int64 // Unix milliseconds
}

// Report says that an incarnation of an endpoint crashed when it was to answer a request
// with an input, was answering it, or had just done so.
type Report struct {
	Input       Input
	Position    int // of a part in the prompt; a whole request comes after its parts
	Incarnation Incarnation
	At          time.Time
	BegunAt     time.Time // when the latest such answer began; zero if one had not begun
	Ended       bool      // all such answers had ended
}

// Join returns the report with what makes its input the most likely cause, in it or in another
// report of the same crash: an answer that had not begun rather than one that had, later rather than
// sooner, and one that went on rather than one that had ended.
func (report Report) Join(other Report) Report {
	closer := other
	switch {
	case report.Ended != other.Ended && other.Ended, report.Ended == other.Ended && report.BegunAt.IsZero(),
		report.Ended == other.Ended && !other.BegunAt.IsZero() && report.BegunAt.After(other.BegunAt):
		closer = report
	}
	report.BegunAt, report.Ended = closer.BegunAt, closer.Ended
	report.Position = max(report.Position, other.Position)
	if other.At.Before(report.At) {
		report.At = other.At
	}
	return report
}

// Age returns for how long the latest answer had gone on, or 0 if one had not begun.
func (report Report) Age() time.Duration {
	if report.BegunAt.IsZero() {
		return 0
	}
	return max(0, report.At.Sub(report.BegunAt))
}

// Block says that requests with an input are rejected, or were. Of two blocks of one
// input, newerThan tells which one holds.
type Block struct {
	Input     Input
	Round     int // number of times that the input has been blocked
	Lifted    bool
	Ordered   bool      // an operator has lifted it
	Since     time.Time // when this round began
	Crashes   int       // crashes that led to it
	Score     float64   // that led to it, see Policy; 0 if another node blocked the input
	Trials    int       // requests that were sent in this round to find out whether the input still crashes endpoints, and did
	Passed    int       // such requests since then that were answered, and that their endpoints have outlived
	NextTrial time.Time // when the next such request may be sent
}

// passesNeeded returns the number of trials in a row that lift the block.
func (block Block) passesNeeded(policy Policy) int { return policy.PassesToLift * max(1, block.Round) }

// liftHolds reports whether the block was lifted for a reason that counts. Older builds
// lift blocks for the begin of one answer.
func (block Block) liftHolds(policy Policy) bool {
	return block.Ordered || block.Passed >= block.passesNeeded(policy)
}

// newerThan reports whether the block replaces another one of the same input.
func (block Block) newerThan(other Block) bool {
	switch {
	case block.Round != other.Round:
		return block.Round > other.Round
	case block.Lifted != other.Lifted:
		return block.Lifted
	case block.Trials != other.Trials:
		return block.Trials > other.Trials
	default:
		return block.Passed > other.Passed
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
