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

// Server answers callers from the view that control publishes.
type Server struct {
	view     *atomic.Pointer[view.View]
	engines  *engine.Client
	store    rows.Store
	gate     *quota.Admission
	meter    *meter.Meter
	log      *zap.Logger
	self     string
	limits   Limits
	budget   *retryBudget
	explain  *RoutingLog
	open     atomic.Int64
	later    *recorder
	draining atomic.Bool
}

// Option changes how a Server is made.
type Option func(*Server)

// WithLimits sets the bounds on what callers may send and for how long.
func WithLimits(limits Limits) Option {
	return func(server *Server) { server.limits = limits }
}

// WithGate sets the gate that admits requests.
func WithGate(admission *quota.Admission) Option {
	return func(server *Server) { server.gate = admission }
}

// WithMeter sets where figures are counted.
func WithMeter(meter *meter.Meter) Option {
	return func(server *Server) { server.meter = meter }
}

// WithLog sets where events are logged.
func WithLog(log *zap.Logger) Option {
	return func(server *Server) { server.log = log }
}

// New makes a server of node self.
func New(self string, views *atomic.Pointer[view.View], engines *engine.Client, store rows.Store, options ...Option) *Server {
	server := &Server{
		view: views, engines: engines, store: store, self: self,
		gate: quota.NewAdmission(quota.DefaultPolicy()), meter: meter.New(), log: zap.NewNop(),
		limits: DefaultLimits(), budget: newRetryBudget(), explain: newExplainer(),
	}
	for _, option := range options {
		option(server)
	}
	server.later = newRecorder(store, server.limits, server.log)
	return server
}

// RoutingLog gives the record of recent routing decisions.
func (server *Server) RoutingLog() *RoutingLog { return server.explain }

// InFlight counts the requests under way.
func (server *Server) InFlight() int64 { return server.open.Load() }

// Unrecorded counts the calls whose outcome is not yet in the table service.
func (server *Server) Unrecorded() int { return server.later.waiting() }

// Drain makes the server unready, so that the balancer sends no more.
func (server *Server) Drain() { server.draining.Store(true) }

// Handler routes callers' requests.
func (server *Server) Handler() http.Handler {
	router := mux.NewRouter().SkipClean(true)
	router.HandleFunc("/healthz", server.ready).Methods(http.MethodGet)
	router.Handle("/v1/models", server.known(server.models)).Methods(http.MethodGet)
	router.Handle("/v1/models/{model}", server.known(server.model)).Methods(http.MethodGet)
	router.Handle(string(surfaceChat), server.known(server.generate(surfaceChat))).Methods(http.MethodPost)
	router.Handle(string(surfaceText), server.known(server.generate(surfaceText))).Methods(http.MethodPost)
	for _, path := range []string{string(surfaceChat), string(surfaceText), "/v1/models"} {
		router.HandleFunc(path, wrongMethod)
	}
	router.PathPrefix("/").Handler(server.known(server.plain))
	return server.counted(router)
}

func wrongMethod(w http.ResponseWriter, r *http.Request) {
	found := badRequest("method_not_allowed", "", r.Method+" is not served at "+r.URL.Path+".")
	found.status = http.StatusMethodNotAllowed
	found.write(w)
}

func (server *Server) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		server.open.Add(1)
		defer server.open.Add(-1)
		next.ServeHTTP(w, r)
	})
}

func (server *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if server.draining.Load() || !server.view.Load().Serving {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "draining or not yet serving\n")
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// visit is one request of a known team. Its id is the caller's, who may use one
// twice; its trace is this node's own, and parts its answer from all others.
type visit struct {
	w        http.ResponseWriter
	r        *http.Request
	view     *view.View
	team     intent.Team
	id       string
	trace    string
	priority intent.Priority
	came     time.Time
	deadline time.Time
}

// known lets a request through whose key belongs to a team.
func (server *Server) known(next func(visit visit) *problem) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		visit := visit{w: w, r: r, view: server.view.Load(), came: time.Now(), id: requestID(r), trace: uuid.NewString()}
		w.Header().Set("X-Request-Id", visit.id)
		found := server.prepare(&visit)
		if found == nil {
			found = next(visit)
		}
		if found == nil {
			return
		}
		found.honest(r.Header.Get(headerKey))
		server.meter.Count("answers_"+found.code, visit.team.Name)
		found.write(w)
	})
}

func (server *Server) prepare(visit *visit) *problem {
	if !visit.view.Serving {
		return notRun("node_not_serving", "This node takes no new work now.", time.Second)
	}
	key, bearer := strings.CutPrefix(visit.r.Header.Get("Authorization"), "Bearer ")
	if !bearer || key == "" {
		return unauthorized("missing_api_key", "The request needs a team's key, as Authorization: Bearer KEY.")
	}
	sum := sha256.Sum256([]byte(key))
	team, known := visit.view.TeamWithKey(hex.EncodeToString(sum[:]))
	if !known {
		return unauthorized("invalid_api_key", "No team has this key.")
	}
	visit.team = team
	visit.priority = priorityOf(visit.r, team)
	deadline, found := deadlineOf(visit.r, visit.came)
	visit.deadline = deadline
	if found != nil {
		return found
	}
	return nil
}

func unauthorized(code, message string) *problem {
	found := badRequest(code, "", message)
	found.status = http.StatusUnauthorized
	return found
}

const (
	maxRequestID  = 128
	headerTimeout = "X-Request-Timeout-Ms"
)

func requestID(r *http.Request) string {
	id := r.Header.Get("X-Request-Id")
	if id == "" || len(id) > maxRequestID || strings.ContainsFunc(id, unsafeInID) {
		return uuid.NewString()
	}
	return id
}

func unsafeInID(r rune) bool {
	safe := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
	return !safe && !strings.ContainsRune("-_.:", r)
}

// priorityOf reads the urgency of RFC 9218; a request may lower its team's
// priority and never raise it.
func priorityOf(r *http.Request, team intent.Team) intent.Priority {
	_, rest, found := strings.Cut(r.Header.Get("Priority"), "u=")
	if !found || rest == "" {
		return team.Priority
	}
	asked := intent.PriorityBatch
	switch {
	case rest[0] <= '2':
		asked = intent.PriorityLive
	case rest[0] <= '4':
		asked = intent.PriorityStandard
	}
	if asked.Rank() < team.Priority.Rank() {
		return team.Priority
	}
	return asked
}

func deadlineOf(r *http.Request, came time.Time) (time.Time, *problem) {
	value := r.Header.Get(headerTimeout)
	if value == "" {
		return time.Time{}, nil
	}
	millis, err := strconv.ParseInt(value, 10, 32)
	if err != nil || millis < 1 {
		return time.Time{}, badRequest("invalid_value", headerTimeout, headerTimeout+" must be a whole number of milliseconds above 0.")
	}
	return came.Add(time.Duration(millis) * time.Millisecond), nil
}

// read takes in a whole body within the limits.
func (server *Server) read(visit visit) ([]byte, *problem) {
	controller := http.NewResponseController(visit.w)
	_ = controller.SetReadDeadline(visit.came.Add(server.limits.ReadLimit))
	body, err := io.ReadAll(http.MaxBytesReader(visit.w, visit.r.Body, server.limits.BodyBytes))
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
		return body, nil
	}
	// Without this the answer would wait for the rest of the body.
	visit.w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		found := badRequest("body_too_large", "", "The body is over "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes.")
		found.status = http.StatusRequestEntityTooLarge
		return nil, found
	}
	found := badRequest("body_incomplete", "", "The body did not arrive whole in time.")
	found.status = http.StatusRequestTimeout
	return nil, found
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

func (server *Server) models(visit visit) *problem {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, modelservice := range visit.view.Models {
		list.Data = append(list.Data, entryOf(modelservice))
	}
	writeJSON(visit.w, list)
	return nil
}

func (server *Server) model(visit visit) *problem {
	name := mux.Vars(visit.r)["model"]
	modelservice, known := visit.view.ModelNamed(name)
	if !known {
		return unknownModel(name)
	}
	writeJSON(visit.w, entryOf(modelservice))
	return nil
}

func entryOf(modelservice view.ModelService) modelEntry {
	return modelEntry{ID: modelservice.Service.Model, Object: "model", OwnedBy: modelservice.Service.Name}
}

func unknownModel(name string) *problem {
	found := badRequest("model_not_found", "model", "The model "+strconv.Quote(name)+" does not exist.")
	found.status = http.StatusNotFound
	return found
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerOutcome, string(OutcomeRan))
	_ = json.NewEncoder(w).Encode(body)
}
