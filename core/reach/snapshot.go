package reach

import (
	"slices"
	"time"

	"hickorybend/core/crash"
	"hickorybend/core/homes"
	"hickorybend/core/site"
)

// Snapshot is what the control loop publishes for request handlers. It is not
// changed once published, apart from the candidates' loads.
type Snapshot struct {
	Index    *site.Index // nil while no configuration is known
	Services map[string]*ServicePool
	Nodes    int // number of nodes, this one included
	Blocked  map[crash.Input]Blocked

	// Inputs that may crash endpoints; requests with them are not sent to a second one.
	Suspected map[crash.Input]bool
}

// Blocks reports whether requests with one of the inputs are rejected.
func (snapshot *Snapshot) Blocks(inputs []crash.Input) bool {
	return slices.ContainsFunc(inputs, func(input crash.Input) bool {
		_, blocked := snapshot.Blocked[input]
		return blocked
	})
}

// Blocked says that requests with an input are rejected.
type Blocked struct {
	RetryAt time.Time    // when the input may be tried again
	Trial   *crash.Trial // for one request that this node may send now to try it; nil if there is none
}

// ServicePool is the endpoints of one service that take requests. A service
// without models is a plain service.
type ServicePool struct {
	Service string
	Engine  *site.Engine            // nil for a plain service
	Models  map[string][]*Candidate // replicas by model
	Plain   []*Candidate            // endpoints of a plain service
}

// Candidate is an endpoint that takes requests: one of a plain service, or the
// first host of a replica, which is its member of rank 0. Or it is another node, which
// sends requests on to endpoints.
type Candidate struct {
	ID                  string // or the name of the node
	IsPeer              bool   // it is another node
	Address             string
	StartedAt           time.Time
	SameZone            bool     // in the zone of this node
	Slots               int      // requests that it runs at once
	MaxInFlight         int      // limit of this node's requests in flight there; 0 for none
	PrefillTokensPerSec float64  // 0 for a plain service
	TieBreak            float64  // in [0,1), a constant of this node and the endpoint
	Owners              []string // the nodes that may send it requests, if it is cold
	Region              string   // empty if it is not known, or another node does not say that it keeps to home regions
	Speed               Speed    // unknown for a plain service and another node
	MemoryTokens        int      // of prompts and answers that it holds; 0 if not stated
	Load                *Load
}

// Request is what the choice needs to know of a request.
type Request struct {
	Model      string
	Now        time.Time
	Deadline   time.Time // when its answer should begin, by the latency objective
	Priority   int       // 0 is the most urgent
	Retried    bool      // it was rejected before and the caller retries it
	Resumed    bool      // part of its answer has been delivered
	SampleSize int       // candidates that are compared first; 0 for all
	Tried      []string  // IDs of the candidates that it was sent to before
	Random     float64   // random number in [0,1) for the sample and the retry delay

	PromptTokens  int
	Nodes         int         // that may send requests, this one included
	AnswerTokens  int         // of its answer, at most
	Bytes         int         // of its body and its answer, about
	Homes         homes.Homes // of its route and team
	CallersRegion string      // that of the node that the caller connected to; empty if not known
}

// Decision is Send or Reject.
type Decision interface {
	decision()
}

// Send says which candidate the request is sent to.
type Send struct {
	Candidate *Candidate
}

// Reject says that the request is rejected at once; the caller may retry later.
type Reject struct {
	Reason  Reason
	RetryAt time.Time // when the candidates are expected to have room
}

func (Send) decision()   {}
func (Reject) decision() {}

// Reason says why a request is rejected.
type Reason string

// The reasons for a rejection.
const (
	ReasonNoEndpoint Reason = "no-endpoint"       // no complete replica or no endpoint is usable
	ReasonLate       Reason = "late"              // no candidate would begin the answer within the objective
	ReasonFull       Reason = "full"              // the request would queue beyond its objective
	ReasonNoService  Reason = "no-service"        // the configuration has no such service
	ReasonCrashes    Reason = "crashes-endpoints" // an input crashes endpoints
	ReasonNoHome     Reason = "no-home-endpoint"  // no endpoint in a home region is known
	ReasonMemory     Reason = "memory-full"       // the request does not fit into the endpoints' memory
	ReasonLimited    Reason = "limited"           // the endpoints have stated limits, and this node has had its turns
)
