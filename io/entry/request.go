package entry

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"hickorybend/core/buffer"
	"hickorybend/core/crash"
	"hickorybend/core/reach"
	"hickorybend/core/site"
	"hickorybend/io/event"
	"hickorybend/io/pool"
	"hickorybend/platform"
)

// request is the state of a caller's request while it is served.
type request struct {
	server       *Server
	w            http.ResponseWriter
	r            *http.Request
	snapshot     *reach.Snapshot
	receivedAt   time.Time
	readAt       time.Time // when its body was whole
	deadline     time.Time
	header       platform.RequestHeader
	route        *site.Route
	team         string
	priority     int
	service      string
	body         []byte
	inputs       []crash.Input // that it is recognized by if it crashes endpoints, itself last
	suspected    bool          // one of its inputs was in question before its latest attempt
	trial        *crash.Trial  // that this request has claimed, or nil
	ticket       uint64        // of the endpoint that the zone's leader has assigned; 0 for none, or once an attempt has it
	ticketFor    string        // that endpoint
	assigned     int           // attempts at endpoints that the leader has assigned
	from         string        // the node that has sent it on; empty if it comes from a caller
	counted      atomic.Bool   // by this node or another one
	tried        []string      // IDs of the endpoints, and names of the nodes, that it was sent to
	peersTried   int           // nodes among them
	notRun       int           // attempts at them that did not run it
	unreached    int           // attempts at endpoints that no byte of it has reached
	arrivals     int           // attempts that an endpoint may have received, as far as they have ended
	peerRetryAt  atomic.Int64  // when another node has room again, in Unix nanoseconds; 0 if none has said so
	snapshotAge  time.Duration // how old the snapshot was when it was last used
	mayHaveRun   bool          // an endpoint may have run it
	broken       atomic.Bool   // an endpoint has broken off an attempt, or may have ended when it had just answered
	whole        atomic.Bool   // an endpoint of this node has answered as a whole
	status       int
	outcome      string
	sentAt       time.Time     // when the attempt began that brought the first event
	otherZone    bool          // that event came from an endpoint in another zone
	firstEventAt time.Time     // when the response headers of a stream were written
	lastEventAt  time.Time     // when the last event was written
	longestGap   time.Duration // longest time between two events
	heldMutex    sync.Mutex
	held         []*heldBytes // released when the request has ended
}

// admit checks the request and reads its body, before it is sent anywhere. If the
// request can't be served, admit answers it and returns false.
func (request *request) admit() bool {
	request.header = platform.ReadRequestHeader(request.r.Header)
	if request.snapshot == nil || request.snapshot.Index == nil {
		request.reject("no configuration known yet", request.server.routing.MinRetryDelay)
		return false
	}
	index := request.snapshot.Index
	route, found := index.Route(request.r.Host, request.r.URL.EscapedPath())
	if !found {
		request.fail(http.StatusNotFound, "no route for this host and path")
		return false
	}
	request.route = route
	request.priority = route.Priority
	if !request.authenticate(index) {
		request.fail(http.StatusUnauthorized, "the key is missing or unknown")
		return false
	}
	timeout := route.Timeout
	if request.header.Timeout > 0 {
		timeout = min(timeout, request.header.Timeout)
	}
	request.deadline = request.receivedAt.Add(timeout)
	if request.leavesTooSoon() {
		request.reject("this node is leaving", request.server.routing.MinRetryDelay)
		return false
	}
	return request.readBody(index.Config.Limits.BodyBytes)
}

// leavesTooSoon reports whether this node probably stops before an attempt that begins now
// would be answered.
func (request *request) leavesTooSoon() bool {
	now := time.Now()
	return request.server.stopsWithin(now, request.timeNeeded(now))
}

// timeNeeded returns the time within which the response to an attempt that begins now almost certainly
// ends. That of a stream is estimated from its prompt and the tokens that its caller
// accepts, and that of other requests from the answers of their services of late and their
// time limit.
func (request *request) timeNeeded(now time.Time) time.Duration {
	policy := request.server.policy
	if _, stream := request.route.Kind.(site.Stream); !stream {
		longest := policy.ExpectedAnswerTime
		for _, target := range request.route.Targets {
			longest = max(longest, time.Duration(policy.AnswerSlack*float64(request.server.answerTimes.longest(target.Service, now))))
		}
		return policy.LastAnswer + min(longest, request.deadline.Sub(now))
	}
	longest := policy.ExpectedAnswerTime
	for _, target := range request.route.Targets {
		service, found := request.snapshot.Index.Service(target.Service)
		if !found || service.Engine == nil {
			continue
		}
		if model, found := service.Engine.Model(request.header.Model); found {
			serviceTime := service.Engine.ServiceTime(model, request.header.PromptTokens, request.header.MaxAnswerTokens)
			longest = max(longest, policy.ExpectedAnswerTime+time.Duration(policy.StreamSlack*float64(serviceTime)))
		}
	}
	return policy.LastAnswer + longest
}

// authenticate reports whether the request is allowed, and sets the team and
// priority that belong to its key. A request without a known key is allowed on
// public routes and if no teams are configured.
func (request *request) authenticate(index *site.Index) bool {
	team, found := index.Team(request.header.Key)
	if request.header.HasKey && found {
		request.team = team.Name
		if team.HasPriority {
			request.priority = team.Priority
		}
		return true
	}
	return request.route.Public || !index.RequiresKey()
}

// readBody reads the complete body, so that it can be sent more than once. If it
// can't, it answers the request and returns false.
func (request *request) readBody(maxBytes int64) bool {
	if maxBytes > 0 {
		request.r.Body = http.MaxBytesReader(request.w, request.r.Body, maxBytes)
	}
	controller := http.NewResponseController(request.w)
	_ = controller.SetReadDeadline(request.receivedAt.Add(request.server.policy.BodyReadTimeout))
	held := &heldBytes{server: request.server, owner: buffer.Team{Name: request.team}, answer: true, end: func() {
		_ = controller.SetReadDeadline(time.Unix(1, 0)) // if it fails, the caller has left
	}}
	request.keep(held)
	body, err := held.read(request.r.Body, math.MaxInt64, request.r.ContentLength) // MaxBytesReader limits it
	_ = controller.SetReadDeadline(time.Time{})
	if err == nil {
		request.body, request.readAt = body, time.Now()
		return true
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		request.fail(http.StatusRequestEntityTooLarge, "the body is larger than the limit")
		return false
	case !held.complete():
		request.w.Header().Set("Connection", "close") // the rest of the body may never come
		request.reject("this node has no memory for the body", memoryRetryDelay)
		return false
	}
	request.fail(http.StatusBadRequest, "the body did not come whole")
	return false
}

// serve forwards an admitted request in the way that its route's kind requires.
func (request *request) serve() {
	request.service = request.route.Pick(rand.Float64())
	for _, id := range request.header.SharedParts {
		request.inputs = append(request.inputs, crash.Input{Service: request.service, ID: id})
	}
	request.inputs = append(request.inputs, request.identity())
	ctx, cancel := context.WithDeadline(request.r.Context(), request.deadline)
	defer cancel()
	switch request.route.Kind.(type) {
	case site.Stream:
		request.serveStream(ctx)
	case site.Idempotent, site.AtMostOnce:
		defer context.AfterFunc(request.server.stopping, cancel)()
		request.serveBuffered(ctx)
	}
}

// recordDemand adds the request's estimated host time to its model's demand,
// whether the request is served or not.
func (request *request) recordDemand() {
	service, found := request.snapshot.Index.Service(request.service)
	if !found || service.Engine == nil {
		return
	}
	if model, found := service.Engine.Model(request.header.Model); found {
		request.server.addDemand(model.Name, service.Engine.HostTime(model, request.header.PromptTokens, request.header.MaxAnswerTokens))
	}
}

// failure is the reason why no endpoint answered.
type failure struct {
	cause  string       // the caller may get it in the body of a 502 or 503
	reject reach.Reject // contains the time to retry at; zero if unknown
}

// tryEndpoints sends the request to one endpoint after another until one answers
// or no further attempt is allowed. It returns nil if one answered. headerWritten
// reports whether the caller has received part of the response.
func (request *request) tryEndpoints(ctx context.Context, headerWritten func() bool, send func(*reach.Candidate) result) *failure {
	defer request.endTrial()
	defer request.count() // if no byte of it has left this node
	defer request.returnTicket()
	cause := "no endpoint took the request"
	for request.mayAttempt() {
		if request.leavesTooSoon() { // the body or an attempt before may have taken long
			return &failure{cause: "this node is leaving"}
		}
		decision := request.choose(headerWritten())
		if request.callerLeft() { // while the request waited
			request.abortDisconnected()
		}
		if reject, rejected := decision.(reach.Reject); rejected {
			if retryAt := request.peerRetryAt.Load(); retryAt != 0 {
				reject.RetryAt = time.Unix(0, retryAt)
			}
			return &failure{cause: "turned away: " + string(reject.Reason), reject: reject}
		}
		switch result := send(decision.(reach.Send).Candidate).(type) {
		case answered:
			return nil
		case notExecuted, noRoom:
			cause = "the endpoints have no room"
		case unsent:
			cause = "the endpoints cannot be reached"
		case incomplete:
			cause = "the answer broke off: " + result.cause.Error()
		}
		if request.callerLeft() {
			request.abortDisconnected()
		}
		if ctx.Err() != nil {
			break
		}
	}
	return &failure{cause: cause}
}

// loadSnapshot loads the current snapshot. Its age is determined first, so the
// snapshot may be newer than that.
func (request *request) loadSnapshot() {
	request.snapshotAge = request.server.confirm(request.r.Context())
	request.snapshot = request.server.snapshot.Load()
}

// choose picks an endpoint by the current snapshot, or rejects the request.
// resumed reports whether the caller has received part of the response.
func (request *request) choose(resumed bool) reach.Decision {
	request.loadSnapshot()
	if blocked, found := request.findBlocked(); found {
		request.count()
		return reach.Reject{Reason: reach.ReasonCrashes, RetryAt: blocked.RetryAt}
	}
	request.suspected = slices.ContainsFunc(request.inputs, func(input crash.Input) bool { return request.snapshot.Suspected[input] })
	decision := request.chooseCandidate(request.snapshot, resumed, request.advised)
	if _, rejected := decision.(reach.Reject); rejected {
		request.count()
	}
	return decision
}

// chooseCandidate picks an endpoint, or another node if this one reaches no endpoint with
// room, has just found one that it does not reach, or doubts its links. The function chooseEndpoint
// picks the endpoint.
func (request *request) chooseCandidate(snapshot *reach.Snapshot, resumed bool, chooseEndpoint func(*reach.ServicePool, reach.Request) reach.Decision) reach.Decision {
	if peers := request.server.peers(); request.unreached > 0 || peers != nil && peers.Preferred {
		if peer := request.choosePeer(snapshot, resumed); peer != nil {
			return reach.Send{Candidate: peer}
		}
	}
	if !request.endpointsLeft() {
		return reach.Reject{Reason: reach.ReasonNoEndpoint, RetryAt: time.Now().Add(request.server.routing.MinRetryDelay)}
	}
	routed := request.routingRequest(resumed)
	decision := chooseEndpoint(snapshot.Services[request.service], routed)
	if reject, rejected := decision.(reach.Reject); rejected {
		if peer := request.choosePeer(snapshot, resumed); peer != nil {
			return reach.Send{Candidate: peer}
		}
		if reject.Reason == reach.ReasonNoEndpoint {
			request.logObstacles(snapshot, routed)
		}
	}
	return decision
}

// routingRequest describes the request for the choice of an endpoint.
func (request *request) routingRequest(resumed bool) reach.Request {
	return reach.Request{
		Model: request.header.Model, Now: time.Now(), Deadline: request.receivedAt.Add(request.route.LatencyObjective), Priority: request.priority,
		Retried: request.retriedByCaller(), Resumed: resumed, Tried: request.tried, PromptTokens: request.header.PromptTokens, SampleSize: request.server.routing.SampleSizeFor(request.snapshot.Nodes), Random: rand.Float64(),
	}
}

// retriedTimeoutFraction is the fraction of a route's timeout below which a
// request's timeout shows that its caller has sent it before.
const retriedTimeoutFraction = 0.93

// retriedByCaller reports whether the caller was rejected before and now retries:
// it then has less time left than callers of its route start with.
func (request *request) retriedByCaller() bool {
	return request.header.Timeout > 0 && float64(request.header.Timeout) < retriedTimeoutFraction*float64(request.route.Timeout)
}

// defaultPriority is the priority that endpoints give to a request without one.
const defaultPriority = 4

// forwardedRequest returns the request as it is sent to an endpoint. Resumed
// streams and requests that their caller retries get a more urgent priority.
func (request *request) forwardedRequest(candidate *reach.Candidate, lastEventID string) pool.Request {
	header := make(http.Header, len(request.r.Header)+4)
	copyHeaders(header, request.r.Header)
	priority := defaultPriority + request.priority
	if lastEventID != "" || request.retriedByCaller() {
		priority -= 2
	}
	platform.SetForwardHeader(header, platform.ForwardHeader{
		Endpoint: candidate.ID, Team: request.team, Timeout: time.Until(request.deadline), Priority: priority, LastEventID: lastEventID,
	})
	return pool.Request{
		ID: request.header.RequestID, Method: request.r.Method, Target: request.r.RequestURI, Host: request.r.Host, Header: header, Body: request.body,
		AtMostOnce: request.atMostOnce(), Wanted: request.callerStays,
	}
}

// atMostOnce reports whether the request may run once at most.
func (request *request) atMostOnce() bool { return !site.Retryable(request.route.Kind) }

// mayAttempt reports whether the request may be sent to another endpoint now. The
// first attempt is always allowed; each further one withdraws from the retry budget, once
// an endpoint may have received the request.
func (request *request) mayAttempt() bool {
	if len(request.tried) == 0 {
		return true
	}
	now := time.Now()
	if request.mayHaveRun && (request.suspected || request.atMostOnce()) || !request.attemptsLeft(now) {
		return false
	}
	return request.arrivals == 0 || request.server.withdrawRetry(request.service, now, request.snapshot.Nodes)
}

// attemptsAllowed returns the number of endpoints that may run the request. That of another
// node is one of those that the route allows there.
func (request *request) attemptsAllowed() int {
	if request.from != "" {
		return 1
	}
	return max(1, request.route.MaxAttempts)
}

// attemptsLeft reports whether another attempt is allowed by the number of those that
// were made and the time that is left. Attempts that did not run the request don't count
// against the route's maximum.
func (request *request) attemptsLeft(now time.Time) bool {
	policy := request.server.policy
	return len(request.tried)-request.notRun < request.attemptsAllowed() &&
		(request.endpointsLeft() || request.mayTryPeer()) && request.deadline.Sub(now) >= policy.MinTimeLeft
}

// endpointsLeft reports whether the request may be sent to a further endpoint by this node.
func (request *request) endpointsLeft() bool {
	return len(request.tried)-request.peersTried < request.server.policy.MaxEndpoints
}

// abortDisconnected ends a request whose caller has disconnected. It aborts the
// connection, so that a partial response can't look complete.
func (request *request) abortDisconnected() {
	request.outcome = "caller left"
	panic(http.ErrAbortHandler)
}

// record writes the log line and metrics of a request that has ended.
func (request *request) record() {
	took := time.Since(request.receivedAt)
	fields := []zap.Field{
		zap.String("request", request.header.RequestID), zap.Int("status", request.status), zap.String("outcome", request.outcome),
		zap.Duration("took", took),
	}
	label := request.service
	if request.route != nil {
		label = request.route.Name
	}
	request.server.meter.Count("requests_"+statusLabel(request.status), label)
	if request.peersTried > 0 {
		request.server.meter.Count("requests_by_other_nodes_"+statusLabel(request.status), label)
	}
	latencies := request.server.meter.Latencies(label)
	latencies.Total.Update(took.Microseconds())
	if !request.firstEventAt.IsZero() {
		fields = append(fields, zap.Duration("first", request.firstEventAt.Sub(request.receivedAt)), zap.Duration("pause", request.longestGap))
		latencies.FirstToken.Update(request.firstEventAt.Sub(request.receivedAt).Microseconds())
		fields = append(fields, request.recordLoss()...)
	}
	if request.route != nil {
		fields = append(fields, zap.String("route", request.route.Name), zap.String("team", request.team),
			zap.Strings("endpoints", request.tried), zap.Int64("config", request.snapshot.Index.Config.Version),
			zap.String("from-node", request.from), zap.Int("nodes", request.peersTried), zap.Int("assigned", request.assigned), zap.Duration("left", request.header.Timeout), zap.String("model", request.header.Model), zap.Strings("parts", request.header.SharedParts), zap.String("input", request.inputID()), zap.Duration("age", request.snapshotAge))
	}
	if stop := request.server.stop.Load(); stop != nil {
		fields = append(fields, zap.Duration("stops-in", time.Until(stop.exitAt)))
	}
	event.Log(request.server.log, event.RequestEnded, fields...)
}

// statusLabel returns the suffix of the counter for a status. Status 0 stands for a
// request that ended without one.
func statusLabel(status int) string {
	switch {
	case status == 0:
		return "cut"
	case status < 400:
		return "answered"
	case status == http.StatusServiceUnavailable:
		return "refused"
	default:
		return "failed"
	}
}

// containsToken reports whether comma-separated header values list a token,
// regardless of case.
func containsToken(values []string, token string) bool {
	for _, value := range values {
		for _, element := range strings.Split(value, ",") {
			if strings.EqualFold(strings.TrimSpace(element), token) {
				return true
			}
		}
	}
	return false
}
