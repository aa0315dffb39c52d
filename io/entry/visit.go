package entry

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"hickorybend/core/reach"
	"hickorybend/core/site"
	"hickorybend/io/event"
	"hickorybend/io/pool"
	"hickorybend/platform"
)

// visit is one request of a caller on its way through.
type visit struct {
	server   *Server
	w        http.ResponseWriter
	r        *http.Request
	picture  *reach.Snapshot
	came     time.Time
	deadline time.Time
	ask      platform.RequestHeader
	route    *site.Route
	team     string
	priority int
	service  string
	body     []byte
	tried    []string
	ran      bool // some endpoint may have run it
	status   int
	outcome  string
	first    time.Time     // when the first event went to the caller
	last     time.Time     // when the last one did
	pause    time.Duration // the longest time between two
}

// admit checks the request before any endpoint hears of it.
func (visit *visit) admit() bool {
	if visit.picture == nil || visit.picture.Index == nil {
		visit.refuse("no configuration known yet", visit.server.reach.MinRetryDelay)
		return false
	}
	index := visit.picture.Index
	visit.ask = platform.ReadRequestHeader(visit.r.Header)
	route, found := index.Route(visit.r.Host, visit.r.URL.EscapedPath())
	if !found {
		visit.fail(http.StatusNotFound, "no route for this host and path")
		return false
	}
	visit.route = route
	visit.priority = route.Priority
	if !visit.authenticate(index) {
		visit.fail(http.StatusUnauthorized, "the key is missing or unknown")
		return false
	}
	if visit.server.tooLate(visit.came, visit.needed()) {
		visit.refuse("this node is leaving", visit.server.reach.MinRetryDelay)
		return false
	}
	limit := route.Timeout
	if visit.ask.Timeout > 0 {
		limit = min(limit, visit.ask.Timeout)
	}
	visit.deadline = visit.came.Add(limit)
	return visit.read(index.Config.Limits.BodyBytes)
}

// needed is the time in which the answer is all but sure to end: a stream's
// follows from the tokens that its caller takes.
func (visit *visit) needed() time.Duration {
	policy := visit.server.policy
	if _, stream := visit.route.Kind.(site.Stream); !stream {
		return policy.ExpectedAnswerTime
	}
	longest := policy.ExpectedAnswerTime
	for _, target := range visit.route.Targets {
		service, found := visit.picture.Index.Service(target.Service)
		if !found || service.Engine == nil {
			continue
		}
		if model, found := service.Engine.Model(visit.ask.Model); found {
			length := service.Engine.ServiceTime(model, visit.ask.PromptTokens, visit.ask.MaxAnswerTokens)
			longest = max(longest, policy.ExpectedAnswerTime+time.Duration(policy.StreamSlack*float64(length)))
		}
	}
	return longest
}

func (visit *visit) authenticate(index *site.Index) bool {
	team, found := index.Team(visit.ask.Key)
	if visit.ask.HasKey && found {
		visit.team = team.Name
		if team.HasPriority {
			visit.priority = team.Priority
		}
		return true
	}
	return visit.route.Public || !index.RequiresKey()
}

// read takes in the whole body, so that it can be sent again.
func (visit *visit) read(most int64) bool {
	if most > 0 {
		visit.r.Body = http.MaxBytesReader(visit.w, visit.r.Body, most)
	}
	control := http.NewResponseController(visit.w)
	_ = control.SetReadDeadline(visit.came.Add(visit.server.policy.BodyReadTimeout))
	body, err := io.ReadAll(visit.r.Body)
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		visit.body = body
		return true
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		visit.fail(http.StatusRequestEntityTooLarge, "the body is larger than the limit")
		return false
	}
	visit.fail(http.StatusBadRequest, "the body did not come whole")
	return false
}

// serve passes the request on by what may be repeated of it.
func (visit *visit) serve() {
	visit.service = visit.route.Pick(rand.Float64())
	visit.server.earn(visit.service, visit.came)
	visit.noteWork()
	ctx, cancel := context.WithDeadline(visit.r.Context(), visit.deadline)
	defer cancel()
	switch visit.route.Kind.(type) {
	case site.Stream:
		visit.stream(ctx)
	case site.Idempotent, site.AtMostOnce:
		visit.whole(ctx)
	}
}

// noteWork counts what the request asks of its model, served or not.
func (visit *visit) noteWork() {
	service, found := visit.picture.Index.Service(visit.service)
	if !found || service.Engine == nil {
		return
	}
	if model, found := service.Engine.Model(visit.ask.Model); found {
		visit.server.ask(model.Name, service.Engine.HostTime(model, visit.ask.PromptTokens, visit.ask.MaxAnswerTokens))
	}
}

// unserved tells why no endpoint answered.
type unserved struct {
	cause   string
	refusal reach.Reject // when to come back, where that is known
}

// offer sends the request to one endpoint after another until one has answered,
// which gives nil, or it may not be tried again; begun tells whether a part of
// the answer has gone to the caller.
func (visit *visit) offer(ctx context.Context, begun func() bool, send func(*reach.Candidate) result) *unserved {
	cause := "no endpoint took the request"
	for visit.mayTry() {
		decision := visit.choose(begun())
		if refusal, refused := decision.(reach.Reject); refused {
			return &unserved{cause: "turned away: " + string(refusal.Reason), refusal: refusal}
		}
		candidate := decision.(reach.Send).Candidate
		visit.tried = append(visit.tried, candidate.ID)
		switch result := send(candidate).(type) {
		case answered:
			return nil
		case declined:
			cause = "the endpoints have no room"
		case unsent:
			cause = "the endpoints cannot be reached"
		case broken:
			visit.ran = true
			cause = "the answer broke off: " + result.cause.Error()
		}
		if visit.r.Context().Err() != nil {
			visit.gone()
		}
		if ctx.Err() != nil {
			break
		}
	}
	return &unserved{cause: cause}
}

// choose picks an endpoint or says why there is none.
func (visit *visit) choose(resumed bool) reach.Decision {
	visit.picture = visit.server.picture.Load()
	return reach.Choose(visit.server.reach, visit.picture.Services[visit.service], reach.Request{
		Model: visit.ask.Model, Now: time.Now(), Deadline: visit.came.Add(visit.route.LatencyObjective), Priority: visit.priority,
		Retried: visit.back(), Resumed: resumed, Tried: visit.tried, SampleSize: visit.server.reach.SampleSizeFor(visit.picture.Nodes), Random: rand.Float64(),
	})
}

// backPart is the part of a route's time below which what is left tells that
// the caller has been here before.
const backPart = 0.93

// back tells whether the caller was turned away before and has come back: it
// has less time left than callers of its route begin with.
func (visit *visit) back() bool {
	return visit.ask.Timeout > 0 && float64(visit.ask.Timeout) < backPart*float64(visit.route.Timeout)
}

// usualRank is the rank that endpoints give to what says nothing.
const usualRank = 4

// requestTo makes the request for one endpoint.
func (visit *visit) requestTo(candidate *reach.Candidate, lastEvent string) pool.Request {
	header := make(http.Header, len(visit.r.Header)+4)
	copyHeaders(header, visit.r.Header)
	rank := usualRank + visit.priority
	if lastEvent != "" || visit.back() {
		rank -= 2
	}
	platform.SetForwardHeader(header, platform.ForwardHeader{
		Endpoint: candidate.ID, Team: visit.team, Timeout: time.Until(visit.deadline), Priority: rank, LastEventID: lastEvent,
	})
	return pool.Request{
		Method: visit.r.Method, Target: visit.r.RequestURI, Host: visit.r.Host, Header: header, Body: visit.body,
		NewConnection: !site.Retryable(visit.route.Kind),
	}
}

// mayTry tells whether another endpoint may be asked now; the first always may.
func (visit *visit) mayTry() bool {
	if len(visit.tried) == 0 {
		return true
	}
	now := time.Now()
	switch {
	case visit.ran && (len(visit.tried) >= visit.route.MaxAttempts || !site.Retryable(visit.route.Kind)):
		return false
	case len(visit.tried) >= visit.server.policy.MaxEndpoints, visit.deadline.Sub(now) < visit.server.policy.MinTimeLeft:
		return false
	default:
		return visit.server.mayRepeat(visit.service, now, visit.picture.Nodes)
	}
}

// gone ends a request whose caller has left; nothing of an answer may look
// complete.
func (visit *visit) gone() {
	visit.outcome = "caller left"
	panic(http.ErrAbortHandler)
}

// record writes the log line and the figures of a request that is over.
func (visit *visit) record() {
	took := time.Since(visit.came)
	fields := []zap.Field{
		zap.String("request", visit.ask.AttemptID), zap.Int("status", visit.status), zap.String("outcome", visit.outcome),
		zap.Duration("took", took),
	}
	label := visit.service
	if visit.route != nil {
		label = visit.route.Name
	}
	visit.server.meter.Count("requests_"+statusLabel(visit.status), label)
	latencies := visit.server.meter.Latencies(label)
	latencies.Total.Update(took.Microseconds())
	if !visit.first.IsZero() {
		fields = append(fields, zap.Duration("first", visit.first.Sub(visit.came)), zap.Duration("pause", visit.pause))
		latencies.FirstToken.Update(visit.first.Sub(visit.came).Microseconds())
	}
	if visit.route != nil {
		fields = append(fields, zap.String("route", visit.route.Name), zap.String("team", visit.team),
			zap.Strings("endpoints", visit.tried), zap.Int64("config", visit.picture.Index.Config.Version),
			zap.Duration("left", visit.ask.Timeout), zap.String("model", visit.ask.Model))
	}
	event.Log(visit.server.log, event.RequestEnded, fields...)
}

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

func namedIn(lists []string, name string) bool {
	for _, list := range lists {
		for _, part := range strings.Split(list, ",") {
			if strings.EqualFold(strings.TrimSpace(part), name) {
				return true
			}
		}
	}
	return false
}
