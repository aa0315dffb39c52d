package front

import (
	"context"
	"net/http"
	"net/url"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"hickorybend/core/route"
	"hickorybend/core/view"
	"hickorybend/io/engine"
)

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

const (
	headerKey  = "Idempotency-Key"
	headerTeam = "X-Team"
	maxKey     = 255
)

// plain passes a request to an instance of the plain service whose prefix
// covers its path.
func (server *Server) plain(visit visit) *problem {
	cleaned := path.Clean(visit.r.URL.Path)
	service, below, found := visit.view.PlainAt(cleaned)
	if !found {
		missing := badRequest("not_found", "", "Nothing is served at "+cleaned+".")
		missing.status = http.StatusNotFound
		return missing
	}
	body, problem := server.read(visit)
	if problem != nil {
		return problem
	}
	permit, problem := server.admit(visit, service.Table, 0)
	if problem != nil {
		return problem
	}
	defer permit.Release()
	trip := &trip{server: server, visit: visit, service: service, call: callOf(visit, below, body)}
	if service.AtMostOnce(visit.r.Method, below) {
		return trip.once()
	}
	return trip.send()
}

// callOf keeps method, path below the prefix, query, headers and body; the
// team's key stays here.
func callOf(visit visit, below string, body []byte) engine.Call {
	header := visit.r.Header.Clone()
	for _, name := range strings.Split(header.Get("Connection"), ",") {
		header.Del(strings.TrimSpace(name))
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
	header.Del("Authorization")
	header.Set(headerTeam, visit.team.Name)
	header.Set("X-Request-Id", visit.id)
	target := below
	if target == "" {
		target = "/"
	}
	target = escapePath(target)
	if visit.r.URL.RawQuery != "" {
		target += "?" + visit.r.URL.RawQuery
	}
	return engine.Call{Method: visit.r.Method, Target: target, Header: header, Body: body}
}

// trip is one request to a plain service.
type trip struct {
	server  *Server
	visit   visit
	service view.PlainService
	call    engine.Call
	avoid   []string
	record  RoutingRecord
}

// send serves a call that needs no record: one that only reads may be sent
// again, any other only if it provably did not reach its endpoint.
func (trip *trip) send() *problem {
	ctx, cancel := context.WithTimeout(trip.visit.r.Context(), trip.server.limits.CallLimit)
	defer cancel()
	response, err := trip.dispatch(ctx, safeMethod(trip.call.Method))
	switch {
	case err == nil:
		trip.write(response)
		return nil
	case errors.Is(err, engine.ErrUnreached):
		return notRun("endpoint_unreached", "No endpoint of the service could be reached.", time.Second)
	case safeMethod(trip.call.Method):
		return broken("The endpoint's answer did not come whole; the request may be repeated.")
	default:
		return inDoubt("The endpoint took the request and its answer did not come.", time.Second)
	}
}

func safeMethod(method string) bool {
	return slices.Contains([]string{http.MethodGet, http.MethodHead, http.MethodOptions}, method)
}

// dispatch sends the call, and again elsewhere if that is safe and the budget
// of retries allows it.
func (trip *trip) dispatch(ctx context.Context, repeatable bool) (engine.Response, error) {
	trip.record = RoutingRecord{Request: trip.visit.id, Team: trip.visit.team.Name, Service: trip.service.Service.Name, ReceivedAt: trip.visit.came}
	defer func() { trip.server.explain.note(trip.record) }()
	trip.server.budget.earn()
	for attempt := 1; ; attempt++ {
		response, err := trip.attempt(ctx)
		if err == nil {
			trip.record.Ended = "answered"
			return response, nil
		}
		trip.record.Ended = err.Error()
		again := repeatable || errors.Is(err, engine.ErrUnreached)
		if !again || errors.Is(err, errNoReplica) || ctx.Err() != nil || attempt >= trip.server.limits.MaxAttempts || !trip.server.budget.spend() {
			return engine.Response{}, err
		}
	}
}

func (trip *trip) attempt(ctx context.Context) (engine.Response, error) {
	table := trip.service.Table
	index := table.Pick(route.Request{Now: time.Now(), Salt: uint64(time.Now().UnixNano()), Avoid: trip.avoid})
	if index == route.None {
		return engine.Response{}, errors.Mark(errNoReplica, engine.ErrUnreached)
	}
	endpoint := &table.Replicas[index]
	trip.avoid = append(trip.avoid, endpoint.ID)
	trip.record.Attempts = append(trip.record.Attempts, Attempt{Target: endpoint.ID, Load: route.Load(endpoint), Candidates: len(table.Replicas)})
	endpoint.State.Begin()
	defer endpoint.State.End()
	call := trip.call
	call.Address = endpoint.Address
	return trip.server.engines.Call(ctx, call)
}

func (trip *trip) write(response engine.Response) {
	header := trip.visit.w.Header()
	for name, values := range response.Header {
		if !slices.Contains(hopHeaders, name) && name != "Content-Length" {
			header[name] = values
		}
	}
	header.Set(headerOutcome, string(OutcomeRan))
	trip.visit.w.WriteHeader(response.Status)
	_, _ = trip.visit.w.Write(response.Body)
	trip.server.meter.Count("answers_whole", trip.visit.team.Name)
}

func escapePath(decoded string) string {
	address := url.URL{Path: decoded}
	return address.EscapedPath()
}
