package site

import "time"

// Config is one complete version of the operators' configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// RequestKind says which requests of a route may be retried: Idempotent,
// AtMostOnce or Stream.
type RequestKind interface {
	requestKind()
}

// Idempotent requests may be sent to another endpoint even if one has run them.
type Idempotent struct{}

// AtMostOnce requests run at most once each time that their caller sends them.
type AtMostOnce struct{}

// Stream requests are answered by a series of events. Another endpoint may
// continue a resumable stream after the last event delivered.
type Stream struct {
	Resumable      bool
	PauseObjective time.Duration // for the longest pause between two events
}

func (Idempotent) requestKind() {}
func (AtMostOnce) requestKind() {}
func (Stream) requestKind()     {}

// Retryable reports whether a request of this kind may be sent to another
// endpoint after the first may have run it.
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

// Route distributes the requests for a host name and a path prefix over
// services.
type Route struct {
	Name             string
	Host             string
	Prefix           string
	Kind             RequestKind
	Timeout          time.Duration // longest time that a request may take
	LatencyObjective time.Duration // time within which an answer should begin
	MaxAttempts      int           // endpoints that a request is sent to at most, once one of them may have run it
	Priority         int           // 0 is the most urgent
	Public           bool          // needs no API key
	Targets          []Target
	AllowedRegions   []string // home regions: only endpoints in them get its requests; empty for all
}

// Target is a service and its weight among the targets of a route.
type Target struct {
	Service string
	Weight  int
}

// Service is a set of endpoints. A service with an engine runs models on
// replicas, which are groups of endpoints.
type Service struct {
	Name                   string
	HealthPath             string
	MaxConnections         int           // to one endpoint, from all nodes together; 0 if not stated
	UnusableMaxConnections string        // what is stated in its place, if it is no number of connections
	ColdTime               time.Duration // after a start during traffic, in which an endpoint is cold
	ColdPerSecond          float64       // requests a second that a cold endpoint takes from all nodes together; 0 for no limit
	Engine                 *Engine
}

// Engine describes how the endpoints of a service batch requests, load weights and
// form replicas.
type Engine struct {
	Slots               int // requests that a replica runs in one batch
	Models              []Model
	LoadsPerSec         float64       // starts of loads from the weight store
	MaxConcurrentLoads  int           // beyond this, loads slow each other down
	StepTime            time.Duration // of one decode step with an empty batch
	StepPerSlot         time.Duration // added to each decode step for each request in the batch
	PrefillTokensPerSec float64
	PassSteps           int           // decode steps between two chunks of prefill
	PassTokens          int           // prompt tokens of a chunk of prefill
	PairTime            time.Duration // added to the prefill for a million pairs of a token and an earlier one
	ContextTime         time.Duration // added to each decode step for each 1,000 tokens of context in the batch
	MemoryTokens        int           // tokens of prompts and answers that a replica's memory holds
	UsualPromptTokens   int           // mean of all requests
	UsualAnswerTokens   int           // mean of all requests
	Delays              []Delay       // between zones, as far as stated
}

// Delay is the time that a message takes from one zone to another.
type Delay struct {
	From, To string
	OneWay   time.Duration
}

// Model is a model that replicas of ReplicaSize endpoints serve.
type Model struct {
	Name         string
	ReplicaSize  int
	InitialShare float64       // fraction of the demand for all models, assumed until requests show it
	TimeFactor   float64       // factor on the step and prefill times of its replicas
	LoadTime     time.Duration // time to load the weights from the weight store
	WarmTime     time.Duration // time to join a replica if the host has the weights already
}

// Team is a customer with its API keys.
type Team struct {
	Name           string
	Keys           []string
	Priority       int
	HasPriority    bool     // Priority overrides the route's
	AllowedRegions []string // home regions, as those of a route
}

// Limits bound the size of callers' requests and how long callers may take to send
// headers or stay idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
