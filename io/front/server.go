package front

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"hickorybend/core/intent"
	"hickorybend/core/quota"
	"hickorybend/core/rows"
	"hickorybend/core/view"
	"hickorybend/io/engine"
	"hickorybend/io/meter"
)

// Server serves callers by the latest view of services, teams and replicas.
type Server struct {
	view        *atomic.Pointer[view.View]
	engines     *engine.Client
	store       rows.Store
	admission   *quota.Admission
	meter       *meter.Meter
	log         *zap.Logger
	incarnation string // of this node; claims are made in its name
	limits      Limits
	retryBudget *retryBudget
	routingLog  *RoutingLog
	inFlight    atomic.Int64
	recorder    *recorder
	draining    atomic.Bool
}

// Option configures a Server.
type Option func(*Server)

// WithLimits sets the limits of a request.
func WithLimits(limits Limits) Option {
	return func(server *Server) { server.limits = limits }
}

// WithAdmission sets the admission control.
func WithAdmission(admission *quota.Admission) Option {
	return func(server *Server) { server.admission = admission }
}

// WithMeter sets the meter that records the metrics.
func WithMeter(meter *meter.Meter) Option {
	return func(server *Server) { server.meter = meter }
}

// WithLog sets the logger of events.
func WithLog(log *zap.Logger) Option {
	return func(server *Server) { server.log = log }
}

// New returns a server for an incarnation of this node.
func New(incarnation string, views *atomic.Pointer[view.View], engines *engine.Client, store rows.Store, options ...Option) *Server {
	server := &Server{
		view: views, engines: engines, store: store, incarnation: incarnation,
		admission: quota.NewAdmission(quota.DefaultPolicy()), meter: meter.New(), log: zap.NewNop(),
		limits: DefaultLimits(), retryBudget: newRetryBudget(), routingLog: newRoutingLog(),
	}
	for _, option := range options {
		option(server)
	}
	server.recorder = newRecorder(store, server.limits, server.log)
	return server
}

// RoutingLog returns the log of recent routing decisions.
func (server *Server) RoutingLog() *RoutingLog { return server.routingLog }

// InFlight returns the number of requests in flight.
func (server *Server) InFlight() int64 { return server.inFlight.Load() }

// Unrecorded returns the number of calls whose outcome is not yet in the table
// service.
func (server *Server) Unrecorded() int { return server.recorder.pendingCount() }

// Drain fails the health check, so that the load balancer sends no new requests.
func (server *Server) Drain() { server.draining.Store(true) }

// Handler returns the handler of all callers' requests.
func (server *Server) Handler() http.Handler {
	router := mux.NewRouter().SkipClean(true)
	router.HandleFunc("/healthz", server.handleHealth).Methods(http.MethodGet)
	router.Handle("/v1/models", server.authenticated(server.handleModels)).Methods(http.MethodGet)
	router.Handle("/v1/models/{model}", server.authenticated(server.handleModel)).Methods(http.MethodGet)
	router.Handle(string(apiChat), server.authenticated(server.handleCompletion(apiChat))).Methods(http.MethodPost)
	router.Handle(string(apiText), server.authenticated(server.handleCompletion(apiText))).Methods(http.MethodPost)
	for _, path := range []string{string(apiChat), string(apiText), "/v1/models"} {
		router.HandleFunc(path, handleWrongMethod)
	}
	router.PathPrefix("/").Handler(server.authenticated(server.handlePlain))
	return server.countInFlight(router)
}

func handleWrongMethod(w http.ResponseWriter, r *http.Request) {
	problem := badRequest("method_not_allowed", "", r.Method+" is not served at "+r.URL.Path+".")
	problem.status = http.StatusMethodNotAllowed
	problem.write(w)
}

// countInFlight returns next with a count of the requests in flight.
func (server *Server) countInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		server.inFlight.Add(1)
		defer server.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

func (server *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	if server.draining.Load() || !server.view.Load().Serving {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "draining or not yet serving\n")
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// request is one authenticated request of a team.
type request struct {
	w          http.ResponseWriter
	r          *http.Request
	view       *view.View
	team       intent.Team
	id         string // from the caller, who may use it twice, or generated
	internalID string // unique; tells the engine's chunks of this request from all others
	priority   intent.Priority
	receivedAt time.Time
	deadline   time.Time // zero if the caller set none
}

// authenticated returns a handler that passes a request to next if its key belongs
// to a team.
func (server *Server) authenticated(next func(request request) *problem) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := request{w: w, r: r, view: server.view.Load(), receivedAt: time.Now(), id: requestID(r), internalID: uuid.NewString()}
		w.Header().Set("X-Request-Id", request.id)
		problem := server.prepare(&request)
		if problem == nil {
			problem = next(request)
		}
		if problem == nil {
			return
		}
		problem.adjustOutcome(r.Header.Get(headerIdempotencyKey))
		server.meter.Count("answers_"+problem.code, request.team.Name)
		problem.write(w)
	})
}

// prepare authenticates a request and sets its team, priority and deadline.
func (server *Server) prepare(request *request) *problem {
	if !request.view.Serving {
		return notRun("node_not_serving", "This node takes no new work now.", time.Second)
	}
	key, bearer := strings.CutPrefix(request.r.Header.Get("Authorization"), "Bearer ")
	if !bearer || key == "" {
		return unauthorized("missing_api_key", "The request needs a team's key, as Authorization: Bearer KEY.")
	}
	sum := sha256.Sum256([]byte(key))
	team, known := request.view.TeamWithKey(hex.EncodeToString(sum[:]))
	if !known {
		return unauthorized("invalid_api_key", "No team has this key.")
	}
	request.team = team
	request.priority = priorityOf(request.r, team)
	deadline, problem := deadlineOf(request.r, request.receivedAt)
	request.deadline = deadline
	if problem != nil {
		return problem
	}
	return nil
}

func unauthorized(code, message string) *problem {
	problem := badRequest(code, "", message)
	problem.status = http.StatusUnauthorized
	return problem
}

const (
	maxRequestIDBytes = 128
	headerTimeout     = "X-Request-Timeout-Ms"
)

// requestID returns the caller's request ID if it is valid, or else a new one.
func requestID(r *http.Request) string {
	id := r.Header.Get("X-Request-Id")
	if id == "" || len(id) > maxRequestIDBytes || strings.ContainsFunc(id, invalidInID) {
		return uuid.NewString()
	}
	return id
}

func invalidInID(r rune) bool {
	alphanumeric := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
	return !alphanumeric && !strings.ContainsRune("-_.:", r)
}

// priorityOf returns the priority of a request by its urgency (RFC 9218): 0 to 2 is
// live, 3 and 4 is standard, above is batch. A request may lower its team's
// priority but not raise it.
func priorityOf(r *http.Request, team intent.Team) intent.Priority {
	_, urgency, found := strings.Cut(r.Header.Get("Priority"), "u=")
	if !found || urgency == "" {
		return team.Priority
	}
	requested := intent.PriorityBatch
	switch {
	case urgency[0] <= '2':
		requested = intent.PriorityLive
	case urgency[0] <= '4':
		requested = intent.PriorityStandard
	}
	if requested.Rank() < team.Priority.Rank() {
		return team.Priority
	}
	return requested
}

// deadlineOf returns the deadline that a request sets by its timeout header, or the
// zero time if it sets none.
func deadlineOf(r *http.Request, receivedAt time.Time) (time.Time, *problem) {
	value := r.Header.Get(headerTimeout)
	if value == "" {
		return time.Time{}, nil
	}
	millis, err := strconv.ParseInt(value, 10, 32)
	if err != nil || millis < 1 {
		return time.Time{}, badRequest("invalid_value", headerTimeout, headerTimeout+" must be a whole number of milliseconds above 0.")
	}
	return receivedAt.Add(time.Duration(millis) * time.Millisecond), nil
}

// readBody reads a complete request body within the limits.
func (server *Server) readBody(request request) ([]byte, *problem) {
	controller := http.NewResponseController(request.w)
	_ = controller.SetReadDeadline(request.receivedAt.Add(server.limits.ReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(request.w, request.r.Body, server.limits.BodyBytes))
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
		return body, nil
	}
	// Without this, the response would wait for the rest of the body.
	request.w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		problem := badRequest("body_too_large", "", "The body is over "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes.")
		problem.status = http.StatusRequestEntityTooLarge
		return nil, problem
	}
	problem := badRequest("body_incomplete", "", "The body did not arrive whole in time.")
	problem.status = http.StatusRequestTimeout
	return nil, problem
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (server *Server) handleModels(request request) *problem {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, modelservice := range request.view.Models {
		list.Data = append(list.Data, entryOf(modelservice))
	}
	writeJSON(request.w, list)
	return nil
}

func (server *Server) handleModel(request request) *problem {
	name := mux.Vars(request.r)["model"]
	modelservice, known := request.view.ModelNamed(name)
	if !known {
		return unknownModel(name)
	}
	writeJSON(request.w, entryOf(modelservice))
	return nil
}

func entryOf(modelservice view.ModelService) modelEntry {
	return modelEntry{ID: modelservice.Service.Model, Object: "model", OwnedBy: modelservice.Service.Name}
}

func unknownModel(name string) *problem {
	problem := badRequest("model_not_found", "model", "The model "+strconv.Quote(name)+" does not exist.")
	problem.status = http.StatusNotFound
	return problem
}

// writeJSON writes a successful response.
func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerOutcome, string(OutcomeRan))
	_ = json.NewEncoder(w).Encode(body)
}
