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

	"hickorybend/core/reach"
	"hickorybend/core/retry"
	"hickorybend/io/meter"
	"hickorybend/io/pool"
)

// errLost ends the requests at a replica that lost a member.
var errLost = errors.New("entry: the replica lost a member")

// Server passes callers' requests on.
type Server struct {
	policy   Policy
	reach    reach.Policy
	spend    retry.Policy
	channels *pool.Pool
	picture  *atomic.Pointer[reach.Snapshot]
	suspect  func(endpoint string)
	log      *zap.Logger
	meter    *meter.Meter
	endsAt   atomic.Pointer[time.Time] // when this node ends; nil while it stays
	open     atomic.Int64
	visited  atomic.Bool
	mutex    sync.Mutex
	budgets  map[string]*retry.Budget
	flows    map[string]map[*flow]bool
	asked    map[string]time.Duration
}

// flow is one request at one endpoint.
type flow struct {
	cancel context.CancelCauseFunc
}

// Option changes a server before it is used.
type Option func(*Server)

// WithLog sets the log.
func WithLog(log *zap.Logger) Option { return func(server *Server) { server.log = log } }

// WithMeter sets the meter.
func WithMeter(meter *meter.Meter) Option { return func(server *Server) { server.meter = meter } }

// WithPolicy sets the times of passing requests on.
func WithPolicy(policy Policy) Option { return func(server *Server) { server.policy = policy } }

// WithRouting sets the weights of the choice.
func WithRouting(policy reach.Policy) Option { return func(server *Server) { server.reach = policy } }

// WithRetryBudget sets the budget of second sends.
func WithRetryBudget(policy retry.Policy) Option {
	return func(server *Server) { server.spend = policy }
}

// WithSuspect sets what is called with an endpoint that may be lost.
func WithSuspect(suspect func(endpoint string)) Option {
	return func(server *Server) { server.suspect = suspect }
}

// New makes a server over the picture that control publishes.
func New(channels *pool.Pool, picture *atomic.Pointer[reach.Snapshot], options ...Option) *Server {
	server := &Server{
		policy: DefaultPolicy(), reach: reach.DefaultPolicy(), channels: channels, picture: picture,
		spend: retry.Policy{Ratio: 0.1, Extra: 50, Window: 10 * time.Second, UsableShare: 0.8}, suspect: func(string) {},
		log: zap.NewNop(), meter: meter.New(), budgets: map[string]*retry.Budget{}, flows: map[string]map[*flow]bool{},
		asked: map[string]time.Duration{},
	}
	for _, option := range options {
		option(server)
	}
	return server
}

// Drain makes every answer the last of its channel, and turns away requests
// that would hardly be answered before the node ends.
func (server *Server) Drain(endsAt time.Time) { server.endsAt.Store(&endsAt) }

// tooLate tells whether the node ends before a request is likely answered. The
// balancer sends requests to a node that is not ready where too few others are.
func (server *Server) tooLate(now time.Time, needed time.Duration) bool {
	endsAt := server.endsAt.Load()
	return endsAt != nil && endsAt.Sub(now) < needed
}

// InFlight counts the requests under way.
func (server *Server) InFlight() int64 { return server.open.Load() }

// HadRequests tells whether any caller has come.
func (server *Server) HadRequests() bool { return server.visited.Load() }

// AbortAttempts ends the requests at replicas that cannot go on, so that they are moved.
func (server *Server) AbortAttempts(heads []string) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for _, head := range heads {
		for flow := range server.flows[head] {
			flow.cancel(errLost)
		}
	}
}

// enter counts a request at an endpoint until the function it gives is called.
func (server *Server) enter(ctx context.Context, candidate *reach.Candidate) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	entered := &flow{cancel: cancel}
	candidate.Load.Begin()
	server.mutex.Lock()
	if server.flows[candidate.ID] == nil {
		server.flows[candidate.ID] = map[*flow]bool{}
	}
	server.flows[candidate.ID][entered] = true
	server.mutex.Unlock()
	return ctx, func() {
		server.mutex.Lock()
		delete(server.flows[candidate.ID], entered)
		if len(server.flows[candidate.ID]) == 0 {
			delete(server.flows, candidate.ID)
		}
		server.mutex.Unlock()
		candidate.Load.End()
		cancel(nil)
	}
}

// Demand gives the hosts' time that callers have asked of each model since the
// start.
func (server *Server) Demand() map[string]time.Duration {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return maps.Clone(server.asked)
}

func (server *Server) ask(model string, work time.Duration) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.asked[model] += work
}

func (server *Server) earn(service string, now time.Time) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.budget(service).Deposit(now)
}

func (server *Server) mayRepeat(service string, now time.Time, nodes int) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.budget(service).Withdraw(now, nodes)
}

func (server *Server) budget(service string) *retry.Budget {
	found := server.budgets[service]
	if found == nil {
		found = retry.New(server.spend)
		server.budgets[service] = found
	}
	return found
}

// ServeHTTP answers one request of a caller.
func (server *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	server.open.Add(1)
	defer server.open.Add(-1)
	server.visited.Store(true)
	visit := &visit{server: server, w: w, r: r, came: time.Now(), picture: server.picture.Load()}
	defer visit.record()
	if server.endsAt.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	if !visit.admit() {
		return
	}
	visit.serve()
}

// hopHeaders concern one channel and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// copyHeaders copies what may be passed on, names in "Connection" left out.
func copyHeaders(into, from http.Header) {
	named := from.Values("Connection")
	for name, values := range from {
		if slices.Contains(hopHeaders, name) || name == "Content-Length" || namedIn(named, name) {
			continue
		}
		into[name] = slices.Clone(values)
	}
}
