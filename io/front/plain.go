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

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

const (
	headerIdempotencyKey   = "Idempotency-Key"
	headerTeam             = "X-Team"
	maxIdempotencyKeyBytes = 255
)

// handlePlain forwards a request to an endpoint of the plain service whose path
// prefix covers the request's path.
func (server *Server) handlePlain(request request) *problem {
	cleaned := path.Clean(request.r.URL.Path)
	service, subpath, found := request.view.PlainAt(cleaned)
	if !found {
		problem := badRequest("not_found", "", "Nothing is served at "+cleaned+".")
		problem.status = http.StatusNotFound
		return problem
	}
	body, problem := server.readBody(request)
	if problem != nil {
		return problem
	}
	permit, problem := server.admit(request, service.Table, 0)
	if problem != nil {
		return problem
	}
	defer permit.Release()
	plaincall := &plainCall{server: server, request: request, service: service, call: callOf(request, subpath, body)}
	if service.AtMostOnce(request.r.Method, subpath) {
		return plaincall.serveAtMostOnce()
	}
	return plaincall.serve()
}

// callOf returns the request to the endpoint. It keeps the method, the path below
// the prefix, the query, the headers and the body, but not the team's key.
func callOf(request request, subpath string, body []byte) engine.Call {
	header := request.r.Header.Clone()
	for _, name := range strings.Split(header.Get("Connection"), ",") {
		header.Del(strings.TrimSpace(name))
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	header.Del("Authorization")
	header.Set(headerTeam, request.team.Name)
	header.Set("X-Request-Id", request.id)
	target := subpath
	if target == "" {
		target = "/"
	}
	target = escapePath(target)
	if request.r.URL.RawQuery != "" {
		target += "?" + request.r.URL.RawQuery
	}
	return engine.Call{Method: request.r.Method, Target: target, Header: header, Body: body}
}

// plainCall is one request to a plain service, over one or more attempts.
type plainCall struct {
	server        *Server
	request       request
	service       view.PlainService
	call          engine.Call
	avoid         []string // endpoints that were tried
	routingRecord RoutingRecord
}

// serve serves a call that is not an at-most-once call. A call with a safe method
// may be retried; any other only if it provably reached no endpoint.
func (plaincall *plainCall) serve() *problem {
	ctx, cancel := context.WithTimeout(plaincall.request.r.Context(), plaincall.server.limits.CallTimeout)
	defer cancel()
	response, err := plaincall.dispatch(ctx, safeMethod(plaincall.call.Method))
	switch {
	case err == nil:
		plaincall.write(response)
		return nil
	case errors.Is(err, engine.ErrUnreached):
		return notRun("endpoint_unreached", "No endpoint of the service could be reached.", time.Second)
	case safeMethod(plaincall.call.Method):
		return incompleteResponse("The endpoint's answer did not come whole; the request may be repeated.")
	default:
		return inDoubt("The endpoint took the request and its answer did not come.", time.Second)
	}
}

// safeMethod reports whether a method is safe in the sense of RFC 9110: it only
// reads.
func safeMethod(method string) bool {
	return slices.Contains([]string{http.MethodGet, http.MethodHead, http.MethodOptions}, method)
}

// dispatch sends the call. It retries on another endpoint if the call is
// idempotent or reached no endpoint, and if the retry budget allows it.
func (plaincall *plainCall) dispatch(ctx context.Context, idempotent bool) (engine.Response, error) {
	plaincall.routingRecord = RoutingRecord{Request: plaincall.request.id, Team: plaincall.request.team.Name, Service: plaincall.service.Service.Name, ReceivedAt: plaincall.request.receivedAt}
	defer func() { plaincall.server.routingLog.add(plaincall.routingRecord) }()
	plaincall.server.retryBudget.deposit()
	for attempt := 1; ; attempt++ {
		response, err := plaincall.attempt(ctx)
		if err == nil {
			plaincall.routingRecord.Result = "answered"
			return response, nil
		}
		plaincall.routingRecord.Result = err.Error()
		retryable := idempotent || errors.Is(err, engine.ErrUnreached)
		if !retryable || errors.Is(err, errNoReplica) || ctx.Err() != nil || attempt >= plaincall.server.limits.MaxAttempts || !plaincall.server.retryBudget.withdraw() {
			return engine.Response{}, err
		}
	}
}

func (plaincall *plainCall) attempt(ctx context.Context) (engine.Response, error) {
	table := plaincall.service.Table
	index := table.Pick(route.Request{Now: time.Now(), Salt: uint64(time.Now().UnixNano()), Avoid: plaincall.avoid})
	if index == route.None {
		return engine.Response{}, errors.Mark(errNoReplica, engine.ErrUnreached)
	}
	endpoint := &table.Replicas[index]
	plaincall.avoid = append(plaincall.avoid, endpoint.ID)
	plaincall.routingRecord.Attempts = append(plaincall.routingRecord.Attempts, Attempt{Target: endpoint.ID, Load: route.EstimatedStreams(endpoint), Candidates: len(table.Replicas)})
	endpoint.State.Begin()
	defer endpoint.State.End()
	call := plaincall.call
	call.Address = endpoint.Address
	return plaincall.server.engines.Call(ctx, call)
}

// write sends an endpoint's response to the caller.
func (plaincall *plainCall) write(response engine.Response) {
	header := plaincall.request.w.Header()
	for name, values := range response.Header {
		if !slices.Contains(hopByHopHeaders, name) && name != "Content-Length" {
			header[name] = values
		}
	}
	header.Set(headerOutcome, string(OutcomeRan))
	plaincall.request.w.WriteHeader(response.Status)
	_, _ = plaincall.request.w.Write(response.Body)
	plaincall.server.meter.Count("answers_whole", plaincall.request.team.Name)
}

func escapePath(decoded string) string {
	address := url.URL{Path: decoded}
	return address.EscapedPath()
}
