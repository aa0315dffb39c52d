package reach

import (
	"time"

	"hickorybend/core/site"
)

// Snapshot is what control publishes for traffic; it never changes.
type Snapshot struct {
	Index    *site.Index // nil while no configuration is known
	Services map[string]*Pool
	Nodes    int
}

// Pool is the endpoints of one service: replicas by model, or plain ones.
type Pool struct {
	Service string
	Engine  *site.Engine
	Models  map[string][]*Candidate
	Plain   []*Candidate
}

// Candidate is an endpoint that takes requests: a plain one, or the first host
// of a replica.
type Candidate struct {
	ID                  string
	Address             string
	SameZone            bool // in this node's zone
	Slots               int
	MaxInFlight         int     // requests that this node may have in flight there
	PrefillTokensPerSec float64 // prompt tokens a second; 0 where there are no prompts
	TieBreak            float64 // in [0,1), fixed by node and endpoint
	Load                *Load
}

// Request is what matters of a request for the choice.
type Request struct {
	Model      string
	Now        time.Time
	Deadline   time.Time // when its answer should begin, by the objective
	Priority   int       // 0 is the most urgent
	Retried    bool      // it was turned away before and has come back
	Resumed    bool      // part of its answer was delivered
	SampleSize int       // candidates that are looked at first; 0 for all
	Tried      []string
	Random     float64 // a random number in [0,1)
}

// Decision is where a request goes: Send or Refuse.
type Decision interface {
	decision()
}

// Send gives the request to a candidate.
type Send struct {
	Candidate *Candidate
}

// Reject turns the request away at once; it may come back after a while.
type Reject struct {
	Reason  Reason
	RetryAt time.Time // when room is expected
}

func (Send) decision()   {}
func (Reject) decision() {}

// Reason says why a request is turned away.
type Reason string

// The reasons.
const (
	ReasonNoEndpoint Reason = "no-endpoint" // no whole replica, or no endpoint, is known
	ReasonFull       Reason = "full"        // it would wait beyond its objective
	ReasonNoService  Reason = "no-service"  // the configuration names no such service or model
)
