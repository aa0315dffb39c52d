package entry

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"hickorybend/core/buffer"
	"hickorybend/core/crash"
	"hickorybend/core/reach"
	"hickorybend/core/retry"
	"hickorybend/io/assign"
	"hickorybend/io/meter"
	"hickorybend/io/pool"
)

// Server forwards callers' requests to endpoints.
type Server struct {
	policy        Policy
	routing       reach.Policy
	retryPolicy   retry.Policy
	pool          *pool.Pool
	snapshot      *atomic.Pointer[reach.Snapshot]
	lateBy        func(since time.Time) time.Duration // see WithLateness
	suspect       func(endpoint string)
	unreachable   func(endpoint string, late bool)
	confirm       func(ctx context.Context) time.Duration // see WithConfirm
	leaving       func(endpoint string, startedAt time.Time)
	attemptBroken func(AttemptBroken)
	trialEnded    func(TrialEnded)
	limitStated   func(StatedLimit)
	peers         func() *reach.Peers
	assigner      *assign.Client // asks the leader of this node's zone; nil if there are no leaders
	self          string         // this node's name
	peerKey       string
	region        string           // of this node; empty if not known
	soundParts    *crash.SoundUses // of parts of prompts
	soundRequests *crash.SoundUses // of whole requests
	crashPolicy   crash.Policy
	answers       *crash.Answers // that may still crash their endpoint

	// The first unusable Retry-After and Server-Limit of an endpoint, which are logged.
	unusableRetryAfter sync.Once
	unusableLimit      sync.Once

	log         *zap.Logger
	meter       *meter.Meter
	stop        atomic.Pointer[stop]    // nil unless this node is draining
	stopping    context.Context         // done when requests have to be answered because this node stops
	endRequests context.CancelCauseFunc // of stopping
	answerTimes *answerTimes            // of requests that are no streams
	ledger      *buffer.Ledger          // of the bytes held for others
	endedClaims endedClaims

	// Lines about evidence against endpoints.
	unreachedLine rareLine
	obstaclesLine rareLine

	inFlight    atomic.Int64
	hadRequests atomic.Bool
	seconds     sync.Mutex // held while an endpoint for a second attempt is chosen
	mutex       sync.Mutex
	budgets     map[string]*retry.Budget // by service
	attempts    map[string]attempts      // in progress, by endpoint
	demand      map[string]time.Duration // by model; see Demand
	requests    map[string]int64         // by service; see Requests
}

// Option configures a server before it is used.
type Option func(*Server)

// WithLog sets the logger.
func WithLog(log *zap.Logger) Option { return func(server *Server) { server.log = log } }

// WithMeter sets the meter.
func WithMeter(meter *meter.Meter) Option { return func(server *Server) { server.meter = meter } }

// WithPolicy sets the timeouts and limits of forwarding.
func WithPolicy(policy Policy) Option { return func(server *Server) { server.policy = policy } }

// WithRouting sets the weights and limits by which an endpoint is chosen.
func WithRouting(policy reach.Policy) Option { return func(server *Server) { server.routing = policy } }

// WithRetryBudget sets the retry budget of each service.
func WithRetryBudget(policy retry.Policy) Option {
	return func(server *Server) { server.retryPolicy = policy }
}

// WithSuspect sets the function that is called with the ID of an endpoint that
// may have failed, so that it is probed.
func WithSuspect(suspect func(endpoint string)) Option {
	return func(server *Server) { server.suspect = suspect }
}

// WithUnreachable sets the function that is called with the ID of an endpoint to which no
// connection could be opened, and whether that may be because this node was late.
func WithUnreachable(unreachable func(endpoint string, late bool)) Option {
	return func(server *Server) { server.unreachable = unreachable }
}

// WithConfirm sets the function that is called before each use of the snapshot. It
// returns the snapshot's age, and may wait first until there is a newer one.
func WithConfirm(confirm func(ctx context.Context) time.Duration) Option {
	return func(server *Server) { server.confirm = confirm }
}

// WithLeaving sets the function that is called when an endpoint says in an answer that
// it leaves, with the start of the incarnation that says so.
func WithLeaving(leaving func(endpoint string, startedAt time.Time)) Option {
	return func(server *Server) { server.leaving = leaving }
}

// defaultMemory is the memory of a node that states none, in bytes.
const defaultMemory = 256 << 20

// New creates a server that routes by the snapshot that the control loop
// publishes.
func New(pool *pool.Pool, snapshot *atomic.Pointer[reach.Snapshot], options ...Option) *Server {
	server := &Server{
		policy: DefaultPolicy(), routing: reach.DefaultPolicy(), pool: pool, snapshot: snapshot,
		retryPolicy: retry.Policy{Ratio: 0.1, Extra: 50, Window: 10 * time.Second, UsableShare: 0.8}, lateBy: func(time.Time) time.Duration { return 0 }, suspect: func(string) {}, unreachable: func(string, bool) {}, leaving: func(string, time.Time) {}, confirm: func(context.Context) time.Duration { return 0 },
		limitStated: func(StatedLimit) {}, peers: func() *reach.Peers { return nil }, requests: map[string]int64{}, attemptBroken: func(AttemptBroken) {}, trialEnded: func(TrialEnded) {}, soundParts: crash.NewSoundUses(crash.PartGeneration), soundRequests: crash.NewSoundUses(crash.RequestGeneration),
		crashPolicy: crash.DefaultPolicy(), answers: crash.NewAnswers(crash.DefaultPolicy()),
		log: zap.NewNop(), meter: meter.New(), budgets: map[string]*retry.Budget{}, attempts: map[string]attempts{},
		demand: map[string]time.Duration{},
	}
	server.stopping, server.endRequests = context.WithCancelCause(context.Background())
	WithMemory(defaultMemory)(server)
	for _, option := range options {
		option(server)
	}
	server.answerTimes = newAnswerTimes(server.policy.AnswerSpan)
	return server
}

// errStopping ends attempts at requests when this node stops. Its text can reach the caller
// in the body of a 502.
var errStopping = errors.New("entry: this node stops")

// Drain makes the server close a caller's connection after each response, and
// reject requests that would probably not be answered before the node stops. Just before that,
// it answers those whose callers have received nothing. Streams that arrive after
// holdFrom, and whose time limit is later than that, reach their callers only as a whole.
func (server *Server) Drain(holdFrom, stopsAt time.Time) {
	lastAnswerAt := stopsAt.Add(-server.policy.LastAnswer)
	server.stop.Store(&stop{holdFrom: holdFrom, lastAnswerAt: lastAnswerAt, exitAt: stopsAt})
	time.AfterFunc(time.Until(lastAnswerAt), func() { server.endRequests(errStopping) })
}

// stopsWithin reports whether the node stops within a duration from now.
// Requests arrive during a drain too: the load balancer sends them to a node
// that is not ready when too few other nodes are ready.
func (server *Server) stopsWithin(now time.Time, duration time.Duration) bool {
	stop := server.stop.Load()
	return stop != nil && stop.exitAt.Sub(now) < duration
}

// Uses returns which requests with an input endpoints have answered and outlived through
// this node.
func (server *Server) Uses(input crash.Input) crash.Uses {
	server.settleAnswers(time.Now())
	return server.soundUsesOf(input).Of(input)
}

// InFlight returns the number of requests in flight.
func (server *Server) InFlight() int64 { return server.inFlight.Load() }

// HadRequests reports whether any request has arrived since the start.
func (server *Server) HadRequests() bool { return server.hadRequests.Load() }

// Demand returns the estimated host time of all requests for each model since
// the start.
func (server *Server) Demand() map[string]time.Duration {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return maps.Clone(server.demand)
}

// Requests returns the number of requests for each service since the start.
func (server *Server) Requests() map[string]int64 {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return maps.Clone(server.requests)
}

func (server *Server) addDemand(model string, hostTime time.Duration) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.demand[model] += hostTime
}

// recordRequest counts a request for a service, which adds to its retry budget.
func (server *Server) recordRequest(service string, now time.Time) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.budget(service).Deposit(now)
	server.requests[service]++
}

func (server *Server) withdrawRetry(service string, now time.Time, nodes int) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.budget(service).Withdraw(now, nodes)
}

// allowsRetry reports whether withdrawRetry would succeed.
func (server *Server) allowsRetry(service string, now time.Time, nodes int) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.budget(service).Allows(now, nodes)
}

func (server *Server) budget(service string) *retry.Budget {
	budget := server.budgets[service]
	if budget == nil {
		budget = retry.New(server.retryPolicy)
		server.budgets[service] = budget
	}
	return budget
}

// ServeHTTP answers a caller's request.
func (server *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	server.serve(&request{server: server, w: w, r: r, receivedAt: time.Now()})
}

func (server *Server) serve(request *request) {
	server.inFlight.Add(1)
	defer server.inFlight.Add(-1)
	server.hadRequests.Store(true)
	defer request.record()
	defer request.releaseHeld()
	request.loadSnapshot()
	if server.stop.Load() != nil {
		request.w.Header().Set("Connection", "close")
	}
	if !request.admit() {
		return
	}
	request.serve()
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// copyHeaders copies the headers that may be forwarded: neither hop-by-hop ones, nor those
// between nodes, nor those listed in "Connection". "Content-Length" is set from the body.
func copyHeaders(dst, src http.Header) {
	connectionValues := src.Values("Connection")
	for name, values := range src {
		if slices.Contains(hopByHopHeaders, name) || name == "Content-Length" || isPeerHeader(name) || containsToken(connectionValues, name) {
			continue
		}
		dst[name] = slices.Clone(values)
	}
}
