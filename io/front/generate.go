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

// errNoReplica says that no whole replica is left to try.
var errNoReplica = errors.New("front: no whole replica")

// errMemberMissing says that the replica lost a host while it was answering.
var errMemberMissing = errors.New("front: a host of the replica is missing")

// errCaller says that the caller is gone.
var errCaller = errors.New("front: the caller is gone")

// errDeadline says that the request's own deadline has passed.
var errDeadline = errors.New("front: the request's deadline has passed")

func (server *Server) generate(surface surface) func(visit visit) *problem {
	return func(visit visit) *problem {
		body, found := server.read(visit)
		if found != nil {
			return found
		}
		job, found := decode(surface, body)
		if found != nil {
			return found
		}
		modelservice, known := visit.view.ModelNamed(job.model)
		if !known {
			return unknownModel(job.model)
		}
		permit, found := server.admit(visit, modelservice.Table, job.tokens)
		if found != nil {
			return found
		}
		defer permit.Release()
		run := &run{server: server, visit: visit, job: job, service: modelservice.Service.Name, reply: newReply(visit, job, server.limits)}
		run.times = server.meter.Latencies(visit.team.Name)
		run.checker.RequestID = visit.trace
		return run.whole()
	}
}

// admit decides at once: a request that cannot be served in time is told so
// now, with when to come back.
func (server *Server) admit(visit visit, table *route.Table, tokens int) (*quota.Permit, *problem) {
	load, wait := table.Utilization(visit.came)
	if load < 0 {
		return nil, notRun(errorCodeCold, "No replica of this service is whole now.", time.Second)
	}
	if !visit.deadline.IsZero() && visit.came.Add(wait).After(visit.deadline) {
		return nil, notRun("deadline_out_of_reach", "The wait would be longer than the request's time-out.", wait)
	}
	decision := server.gate.Admit(quota.Request{
		Team: visit.team, Priority: visit.priority, Tokens: tokens,
		Load: load, Nodes: visit.view.Nodes, Now: visit.came,
	})
	switch typed := decision.(type) {
	case quota.Rejected:
		server.meter.Count("shed_"+string(typed.Reason), visit.team.Name)
		return nil, shedding(typed, visit.came)
	case quota.Admitted:
		return typed.Permit, nil
	default:
		panic(errors.AssertionFailedf("front: unknown verdict %T", decision))
	}
}

func shedding(rejected quota.Rejected, came time.Time) *problem {
	wait := rejected.RetryAt.Sub(came)
	switch rejected.Reason {
	case quota.ReasonLoad:
		return notRun("overloaded", "The service is full; work of lower priority waits.", wait)
	case quota.ReasonFairness:
		return notRun("overloaded", "The service is full and the team uses more than its even part.", wait)
	default:
		return limited("limit_"+string(rejected.Reason), "The team is over its "+string(rejected.Reason)+" limit.", wait)
	}
}

// run is one request to a model, over as many attempts as it takes.
type run struct {
	server  *Server
	visit   visit
	job     *job
	service string
	checker relay.Checker
	reply   *reply
	avoid   []string
	record  RoutingRecord
	last    time.Time
	times   meter.Latencies
}

// whole tries until the answer is whole or nothing more may be tried.
func (run *run) whole() *problem {
	run.record = RoutingRecord{Request: run.visit.id, Team: run.visit.team.Name, Service: run.service, ReceivedAt: run.visit.came}
	run.server.budget.earn()
	var err error
	for attempt := 1; ; attempt++ {
		err = run.attempt()
		if err == nil || !run.again(err, attempt) {
			break
		}
	}
	return run.finish(err)
}

func (run *run) again(err error, attempt int) bool {
	if errors.Is(err, errCaller) || errors.Is(err, errDeadline) || errors.Is(err, errNoReplica) {
		return false
	}
	if attempt >= run.server.limits.MaxAttempts || !run.server.budget.spend() {
		return false
	}
	run.server.meter.Count("retries", run.service)
	if run.checker.NextOffset > 0 {
		event.Log(run.server.log, event.StreamResumed, zap.String("request", run.visit.id), zap.Int("offset", run.checker.NextOffset), zap.Error(err))
	}
	return true
}

func (run *run) finish(err error) *problem {
	run.record.Ended = "whole"
	if err != nil {
		run.record.Ended = err.Error()
	}
	run.server.explain.note(run.record)
	switch {
	case err == nil:
		run.server.meter.Count("answers_whole", run.visit.team.Name)
		meter.Observe(run.times.Total, time.Since(run.visit.came))
		return run.reply.end(&run.checker)
	case errors.Is(err, errCaller):
		run.server.meter.Count("answers_cancelled", run.visit.team.Name)
		panic(http.ErrAbortHandler) // returning would complete an answer that was given up on
	}
	event.Log(run.server.log, event.AnswerIncomplete, zap.String("request", run.visit.id), zap.Error(err))
	return run.reply.fail(run.failure(err))
}

func (run *run) failure(err error) *problem {
	switch {
	case errors.Is(err, errDeadline):
		found := broken("The request's time-out has passed.")
		found.status, found.code = http.StatusGatewayTimeout, "deadline_exceeded"
		return found
	case len(run.record.Attempts) == 0:
		return notRun(errorCodeCold, "No replica of this service is whole now.", time.Second)
	case run.checker.NextOffset == 0 && run.refusedOnly():
		return notRun("replica_refused", "No replica took the request.", time.Second)
	default:
		return broken("The answer broke off and could not be completed.")
	}
}

// refusedOnly tells whether every attempt ended before an engine took it.
func (run *run) refusedOnly() bool {
	for _, attempt := range run.record.Attempts {
		if attempt.Error != failedRefused {
			return false
		}
	}
	return true
}

const (
	failedRefused = "refused"
	failedBroken  = "broken"
)

// attempt sends the rest of the request to one replica. The view is read anew,
// since the replicas may have changed since the request came.
func (run *run) attempt() error {
	modelservice, known := run.server.view.Load().ModelNamed(run.job.model)
	if !known {
		return errNoReplica
	}
	now := time.Now()
	index := modelservice.Table.Pick(route.Request{Now: now, Prefix: run.job.prefix, Salt: rand.Uint64(), Avoid: run.avoid})
	if index == route.None {
		return errNoReplica
	}
	replica := &modelservice.Table.Replicas[index]
	run.record.Attempts = append(run.record.Attempts, Attempt{
		Target: replica.ID, Load: route.Load(replica), Candidates: len(modelservice.Table.Replicas), Offset: run.checker.NextOffset,
	})
	replica.State.Begin()
	defer replica.State.End()
	err := run.stream(modelservice, replica, now)
	if err != nil {
		run.avoid = append(run.avoid, replica.ID)
		run.mark(err)
	}
	return err
}

func (run *run) mark(err error) {
	last := &run.record.Attempts[len(run.record.Attempts)-1]
	last.Error = failedBroken
	if errors.Is(err, engine.ErrRefused) {
		last.Error = failedRefused
	}
}

func (run *run) stream(modelservice view.ModelService, replica *route.Replica, begun time.Time) error {
	guard := newGuard(run, modelservice.Table, replica)
	defer guard.stop()
	stream, err := run.server.engines.Generate(guard.ctx, engine.GenerateRequest{
		Address: replica.Address, Path: string(run.job.surface), RequestID: run.visit.trace,
		Replica: replica.ID, Epoch: replica.Epoch, Priority: run.visit.priority.Rank(),
		Body: run.job.bodyFrom(run.checker.NextOffset),
	})
	if err != nil {
		return guard.cause(err)
	}
	defer stream.Close()
	run.last = begun
	for {
		payload, err := stream.Next()
		if err != nil {
			return guard.cause(err)
		}
		now := time.Now()
		if !replica.State.Complete(modelservice.Table.Start, now) {
			return errMemberMissing
		}
		done, err := run.take(payload, stream, replica, now)
		if err != nil || done {
			return err
		}
		guard.progress(now)
	}
}

// take judges one chunk and hands it on if it is the caller's next.
func (run *run) take(payload []byte, stream *engine.Stream, replica *route.Replica, now time.Time) (bool, error) {
	before := run.checker.NextOffset
	decision, err := run.checker.Check(payload)
	if err != nil {
		return false, err
	}
	switch decision {
	case relay.Complete:
		return true, nil
	case relay.Foreign:
		run.server.meter.Count("chunks_foreign", run.service)
		event.Log(run.server.log, event.ChunkMismatched, zap.String("request", run.visit.id), zap.String("replica", replica.ID))
		return false, nil
	case relay.Pass:
		run.time(before, replica, now)
		return false, run.reply.chunk(payload, !stream.Buffered(), now)
	default:
		return false, nil
	}
}

func (run *run) time(before int, replica *route.Replica, now time.Time) {
	took := now.Sub(run.last)
	run.last = now
	switch {
	case before > 0 && run.checker.NextOffset > before:
		meter.Observe(run.times.InterToken, took)
	case run.checker.NextOffset > 0:
		replica.State.RecordFirstToken(took)
		meter.Observe(run.times.FirstToken, now.Sub(run.visit.came))
	}
}

// guard ends an attempt whose replica loses a host, whose engine stalls, or
// whose request runs out of time.
type guard struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	run    *run
	table  *route.Table
	cell   *route.ReplicaState
	silent atomic.Int64
}

// checkEvery is how often a silent stream's replica is looked at.
const checkEvery = 250 * time.Millisecond

func newGuard(run *run, table *route.Table, replica *route.Replica) *guard {
	ctx, cancel := context.WithCancelCause(run.visit.r.Context())
	guard := &guard{ctx: ctx, cancel: cancel, run: run, table: table, cell: replica.State}
	guard.silentBy(time.Now().Add(run.server.limits.FirstTokenLimit))
	guard.timer = time.AfterFunc(checkEvery, guard.check)
	return guard
}

// progress notes that the engine is not silent.
func (guard *guard) progress(now time.Time) {
	guard.silentBy(now.Add(guard.run.server.limits.StallLimit))
}

func (guard *guard) silentBy(deadline time.Time) {
	guard.silent.Store(int64(deadline.Sub(guard.table.Start)))
}

func (guard *guard) check() {
	now := time.Now()
	deadline := guard.run.visit.deadline
	switch {
	case !deadline.IsZero() && now.After(deadline):
		guard.cancel(errDeadline)
	case !guard.cell.Complete(guard.table.Start, now):
		guard.cancel(errMemberMissing)
	case int64(now.Sub(guard.table.Start)) > guard.silent.Load():
		guard.cancel(engine.ErrIncompleteResponse)
	default:
		guard.timer.Reset(checkEvery)
	}
}

func (guard *guard) stop() {
	guard.timer.Stop()
	guard.cancel(nil)
}

// cause says why a stream ended, by the guard's reason before the transport's.
func (guard *guard) cause(err error) error {
	if guard.run.visit.r.Context().Err() != nil {
		return errCaller
	}
	if cause := context.Cause(guard.ctx); cause != nil {
		return cause
	}
	return err
}
