package front

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"hickorybend/core/quota"
	"hickorybend/core/relay"
	"hickorybend/core/route"
	"hickorybend/core/view"
	"hickorybend/io/engine"
	"hickorybend/io/event"
	"hickorybend/io/meter"
)

// errNoReplica means that no complete replica is left to try.
var errNoReplica = errors.New("front: no complete replica")

// errMemberMissing means that the replica lost a host during the stream.
var errMemberMissing = errors.New("front: a host of the replica is missing")

// errCallerGone means that the caller disconnected.
var errCallerGone = errors.New("front: the caller disconnected")

// errDeadlineExceeded means that the request's own deadline has passed.
var errDeadlineExceeded = errors.New("front: the request's deadline has passed")

// handleCompletion returns the handler of a generation API.
func (server *Server) handleCompletion(api api) func(request request) *problem {
	return func(request request) *problem {
		body, problem := server.readBody(request)
		if problem != nil {
			return problem
		}
		completionrequest, problem := decode(api, body)
		if problem != nil {
			return problem
		}
		modelservice, known := request.view.ModelNamed(completionrequest.model)
		if !known {
			return unknownModel(completionrequest.model)
		}
		permit, problem := server.admit(request, modelservice.Table, completionrequest.maxTokens)
		if problem != nil {
			return problem
		}
		defer permit.Release()
		generation := &generation{server: server, request: request, completion: completionrequest, service: modelservice.Service.Name, reply: newReply(request, completionrequest, server.limits)}
		generation.latencies = server.meter.Latencies(request.team.Name)
		generation.checker.RequestID = request.internalID
		return generation.serve()
	}
}

// admit admits or rejects a request without waiting. A request that cannot be
// served before its deadline is rejected at once, with a time to retry, so that it
// does not time out later.
func (server *Server) admit(request request, table *route.Table, tokens int) (*quota.Permit, *problem) {
	utilization, wait := table.Utilization(request.receivedAt)
	if utilization < 0 {
		return nil, notRun(errorCodeNoReplica, "No replica of this service is whole now.", time.Second)
	}
	if !request.deadline.IsZero() && request.receivedAt.Add(wait).After(request.deadline) {
		return nil, notRun("deadline_out_of_reach", "The wait would be longer than the request's time-out.", wait)
	}
	decision := server.admission.Admit(quota.Request{
		Team: request.team, Priority: request.priority, Tokens: tokens,
		Utilization: utilization, Nodes: request.view.Nodes, Now: request.receivedAt,
	})
	switch typed := decision.(type) {
	case quota.Rejected:
		server.meter.Count("shed_"+string(typed.Reason), request.team.Name)
		return nil, rejectionProblem(typed, request.receivedAt)
	case quota.Admitted:
		return typed.Permit, nil
	default:
		panic(errors.AssertionFailedf("front: unknown admission decision %T", decision))
	}
}

// rejectionProblem returns the response to a request that admission rejected.
func rejectionProblem(rejected quota.Rejected, receivedAt time.Time) *problem {
	wait := rejected.RetryAt.Sub(receivedAt)
	switch rejected.Reason {
	case quota.ReasonLoad:
		return notRun("overloaded", "The service is full; work of lower priority waits.", wait)
	case quota.ReasonFairness:
		return notRun("overloaded", "The service is full and the team uses more than its even part.", wait)
	default:
		return rateLimited("limit_"+string(rejected.Reason), "The team is over its "+string(rejected.Reason)+" limit.", wait)
	}
}

// generation is one request to a model, over one or more attempts.
type generation struct {
	server        *Server
	request       request
	completion    *completionRequest
	service       string
	checker       relay.Checker
	reply         *reply
	avoid         []string // replicas whose attempts failed
	routingRecord RoutingRecord
	lastTokenAt   time.Time // of the attempt; before its first token, when it was sent
	latencies     meter.Latencies
}

// serve makes attempts until the response is complete or no retry is allowed.
func (generation *generation) serve() *problem {
	generation.routingRecord = RoutingRecord{Request: generation.request.id, Team: generation.request.team.Name, Service: generation.service, ReceivedAt: generation.request.receivedAt}
	generation.server.retryBudget.deposit()
	var err error
	for attempt := 1; ; attempt++ {
		err = generation.attempt()
		if err == nil || !generation.shouldRetry(err, attempt) {
			break
		}
	}
	return generation.finish(err)
}

// shouldRetry reports whether another attempt is allowed after an error. If so, it
// withdraws the retry from the retry budget.
func (generation *generation) shouldRetry(err error, attempt int) bool {
	if errors.Is(err, errCallerGone) || errors.Is(err, errDeadlineExceeded) || errors.Is(err, errNoReplica) {
		return false
	}
	if attempt >= generation.server.limits.MaxAttempts || !generation.server.retryBudget.withdraw() {
		return false
	}
	generation.server.meter.Count("retries", generation.service)
	if generation.checker.NextOffset > 0 {
		event.Log(generation.server.log, event.StreamResumed, zap.String("request", generation.request.id), zap.Int("offset", generation.checker.NextOffset), zap.Error(err))
	}
	return true
}

// finish ends a request after its last attempt: it completes the response, or
// returns or writes the problem. If the caller has disconnected, it panics with
// http.ErrAbortHandler.
func (generation *generation) finish(err error) *problem {
	generation.routingRecord.Result = "whole"
	if err != nil {
		generation.routingRecord.Result = err.Error()
	}
	generation.server.routingLog.add(generation.routingRecord)
	switch {
	case err == nil:
		generation.server.meter.Count("answers_whole", generation.request.team.Name)
		meter.Observe(generation.latencies.Total, time.Since(generation.request.receivedAt))
		return generation.reply.writeEnd(&generation.checker)
	case errors.Is(err, errCallerGone):
		generation.server.meter.Count("answers_cancelled", generation.request.team.Name)
		panic(http.ErrAbortHandler) // a return would make net/http complete the abandoned response
	}
	event.Log(generation.server.log, event.AnswerIncomplete, zap.String("request", generation.request.id), zap.Error(err))
	return generation.reply.writeFailure(generation.problemOf(err))
}

// problemOf returns the problem for the caller after the last attempt's error.
func (generation *generation) problemOf(err error) *problem {
	switch {
	case errors.Is(err, errDeadlineExceeded):
		problem := incompleteResponse("The request's time-out has passed.")
		problem.status, problem.code = http.StatusGatewayTimeout, "deadline_exceeded"
		return problem
	case len(generation.routingRecord.Attempts) == 0:
		return notRun(errorCodeNoReplica, "No replica of this service is whole now.", time.Second)
	case generation.checker.NextOffset == 0 && generation.allRejected():
		return notRun("replica_refused", "No replica took the request.", time.Second)
	default:
		return incompleteResponse("The answer broke off and could not be completed.")
	}
}

// allRejected reports whether no engine accepted the request in any attempt.
func (generation *generation) allRejected() bool {
	for _, attempt := range generation.routingRecord.Attempts {
		if attempt.Error != attemptRejected {
			return false
		}
	}
	return true
}

// The values of Attempt.Error.
const (
	attemptRejected = "refused"
	attemptBroken   = "broken"
)

// attempt asks one replica for the rest of the completion. It loads the view
// again, since the replicas may have changed since the request was received.
func (generation *generation) attempt() error {
	modelservice, known := generation.server.view.Load().ModelNamed(generation.completion.model)
	if !known {
		return errNoReplica
	}
	now := time.Now()
	index := modelservice.Table.Pick(route.Request{Now: now, PrefixHash: generation.completion.prefixHash, Salt: rand.Uint64(), Avoid: generation.avoid})
	if index == route.None {
		return errNoReplica
	}
	replica := &modelservice.Table.Replicas[index]
	generation.routingRecord.Attempts = append(generation.routingRecord.Attempts, Attempt{
		Target: replica.ID, Load: route.EstimatedStreams(replica), Candidates: len(modelservice.Table.Replicas), Offset: generation.checker.NextOffset,
	})
	replica.State.Begin()
	defer replica.State.End()
	err := generation.relayStream(modelservice, replica, now)
	if err != nil {
		generation.avoid = append(generation.avoid, replica.ID)
		generation.recordError(err)
	}
	return err
}

func (generation *generation) recordError(err error) {
	last := &generation.routingRecord.Attempts[len(generation.routingRecord.Attempts)-1]
	last.Error = attemptBroken
	if errors.Is(err, engine.ErrRejected) {
		last.Error = attemptRejected
	}
}

// relayStream sends the request to a replica and relays its stream to the caller.
func (generation *generation) relayStream(modelservice view.ModelService, replica *route.Replica, sentAt time.Time) error {
	watchdog := newWatchdog(generation, modelservice.Table, replica)
	defer watchdog.stop()
	stream, err := generation.server.engines.Generate(watchdog.ctx, engine.GenerateRequest{
		Address: replica.Address, Path: string(generation.completion.api), RequestID: generation.request.internalID,
		Replica: replica.ID, Epoch: replica.Epoch, Priority: generation.request.priority.Rank(),
		Body: generation.completion.bodyFrom(generation.checker.NextOffset),
	})
	if err != nil {
		return watchdog.cause(err)
	}
	defer stream.Close()
	generation.lastTokenAt = sentAt
	for {
		payload, err := stream.Next()
		if err != nil {
			return watchdog.cause(err)
		}
		now := time.Now()
		if !replica.State.Complete(modelservice.Table.Start, now) {
			return errMemberMissing
		}
		done, err := generation.handleChunk(payload, stream, replica, now)
		if err != nil || done {
			return err
		}
		watchdog.extendStallDeadline(now)
	}
}

// handleChunk checks one chunk of a stream and passes it to the caller if it is
// the next one. It returns true if the response is complete.
func (generation *generation) handleChunk(payload []byte, stream *engine.Stream, replica *route.Replica, now time.Time) (bool, error) {
	previousOffset := generation.checker.NextOffset
	decision, err := generation.checker.Check(payload)
	if err != nil {
		return false, err
	}
	switch decision {
	case relay.Complete:
		return true, nil
	case relay.Mismatched:
		generation.server.meter.Count("chunks_foreign", generation.service)
		event.Log(generation.server.log, event.ChunkMismatched, zap.String("request", generation.request.id), zap.String("replica", replica.ID))
		return false, nil
	case relay.Pass:
		generation.recordLatency(previousOffset, replica, now)
		return false, generation.reply.writeChunk(payload, !stream.Buffered(), now)
	default:
		return false, nil
	}
}

// recordLatency records the time to the first token or the inter-token latency, for a
// chunk that has tokens; previousOffset is NextOffset before the chunk. For the replica,
// the time to the first token starts with the attempt; for the caller, with the receipt
// of the request.
func (generation *generation) recordLatency(previousOffset int, replica *route.Replica, now time.Time) {
	if generation.checker.NextOffset == previousOffset {
		return
	}
	took := now.Sub(generation.lastTokenAt)
	generation.lastTokenAt = now
	if previousOffset > 0 {
		meter.Observe(generation.latencies.InterToken, took)
		return
	}
	replica.State.RecordFirstToken(took)
	meter.Observe(generation.latencies.FirstToken, now.Sub(generation.request.receivedAt))
}

// watchdog cancels an attempt whose replica loses a host, whose engine stalls or
// whose request passes its deadline.
type watchdog struct {
	ctx           context.Context
	cancel        context.CancelCauseFunc
	timer         *time.Timer
	generation    *generation
	table         *route.Table
	replicaState  *route.ReplicaState
	stallDeadline atomic.Int64 // nanoseconds since table.Start
}

// checkInterval is how often the watchdog checks an attempt. The replica's state
// is also checked at each chunk; the interval bounds the delay when no chunk
// arrives.
const checkInterval = 250 * time.Millisecond

func newWatchdog(generation *generation, table *route.Table, replica *route.Replica) *watchdog {
	ctx, cancel := context.WithCancelCause(generation.request.r.Context())
	watchdog := &watchdog{ctx: ctx, cancel: cancel, generation: generation, table: table, replicaState: replica.State}
	watchdog.setStallDeadline(time.Now().Add(generation.server.limits.FirstTokenTimeout))
	watchdog.timer = time.AfterFunc(checkInterval, watchdog.check)
	return watchdog
}

// extendStallDeadline extends the stall deadline after a chunk.
func (watchdog *watchdog) extendStallDeadline(now time.Time) {
	watchdog.setStallDeadline(now.Add(watchdog.generation.server.limits.StallTimeout))
}

func (watchdog *watchdog) setStallDeadline(deadline time.Time) {
	watchdog.stallDeadline.Store(int64(deadline.Sub(watchdog.table.Start)))
}

func (watchdog *watchdog) check() {
	now := time.Now()
	deadline := watchdog.generation.request.deadline
	switch {
	case !deadline.IsZero() && now.After(deadline):
		watchdog.cancel(errDeadlineExceeded)
	case !watchdog.replicaState.Complete(watchdog.table.Start, now):
		watchdog.cancel(errMemberMissing)
	case int64(now.Sub(watchdog.table.Start)) > watchdog.stallDeadline.Load():
		watchdog.cancel(engine.ErrIncompleteResponse)
	default:
		watchdog.timer.Reset(checkInterval)
	}
}

func (watchdog *watchdog) stop() {
	watchdog.timer.Stop()
	watchdog.cancel(nil)
}

// cause returns why a stream ended. The caller's disconnect and the watchdog's
// reason take precedence over err, the transport's error, which after a
// cancellation reflects nothing else.
func (watchdog *watchdog) cause(err error) error {
	if watchdog.generation.request.r.Context().Err() != nil {
		return errCallerGone
	}
	if cause := context.Cause(watchdog.ctx); cause != nil {
		return cause
	}
	return err
}
