package site

import "time"

// Config is one version of the operators' configuration, whole.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// RequestKind is what may be repeated of a route's requests: Safe, Once or Stream.
type RequestKind interface {
	call()
}

// Idempotent requests are idempotent.
type Idempotent struct{}

// AtMostOnce requests run at most once for each attempt of a caller.
type AtMostOnce struct{}

// Stream requests are answered by a series of events; a resumable one may be
// continued by another endpoint after the last event delivered.
type Stream struct {
	Resumable      bool
	PauseObjective time.Duration
}

func (Idempotent) call() {}
func (AtMostOnce) call() {}
func (Stream) call()     {}

// Retryable tells whether a second endpoint may be asked after the first may
// have run the request.
func Retryable(requestkind RequestKind) bool {
	switch typed := requestkind.(type) {
	case Idempotent:
		return true
	case Stream:
		return typed.Resumable
	default:
		return false
	}
}

// Route sends the requests of a host below a path prefix to services.
type Route struct {
	Name             string
	Host             string
	Prefix           string
	Kind             RequestKind
	Timeout          time.Duration // the longest time an answer may take
	LatencyObjective time.Duration // the latency objective
	MaxAttempts      int           // endpoints that one attempt of a caller may be sent to
	Priority         int           // 0 is the most urgent
	Public           bool          // requests need no key
	Targets          []Target
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Service is a set of endpoints; one with models runs them on replicas.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // of one endpoint, from all its callers together
	Engine         *Engine
}

// Engine tells how a model service's endpoints batch, load and form replicas.
type Engine struct {
	Slots               int
	Models              []Model
	LoadsPerSec         float64       // starts of loads from the weight store
	MaxConcurrentLoads  int           // loads beyond these slow each other down
	StepTime            time.Duration // one token step of an empty batch
	StepPerSlot         time.Duration // added for each request in the batch
	PrefillTokensPerSec float64       // prompt tokens
}

// Model is a model that replicas of Size endpoints serve.
type Model struct {
	Name         string
	ReplicaSize  int
	InitialShare float64 // of all work, when traffic begins
	TimeFactor   float64 // factor on all times of a replica
	LoadTime     time.Duration
	WarmTime     time.Duration // to join where the host has the weights
}

// Team is a customer with its keys.
type Team struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool // Priority goes before the route's
}

// Limits bound what a caller may send and for how long it may stay idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
