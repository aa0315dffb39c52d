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
		model, known := visit.view.ModelNamed(job.model)
		if !known {
			return unknownModel(job.model)
		}
		place, found := server.admit(visit, model.Table, job.tokens)
		if found != nil {
			return found
		}
		defer place.Done()
		run := &run{server: server, visit: visit, job: job, service: model.Service.Name, reply: newReply(visit, job, server.limits)}
		run.times = server.meter.TimesOf(visit.team.Name)
		run.checker.Request = visit.trace
		return run.whole()
	}
}

// admit decides at once: a request that cannot be served in time is told so
// now, with when to come back.
func (server *Server) admit(visit visit, table *route.Table, tokens int) (*quota.Place, *problem) {
	load, wait := table.Pressure(visit.came)
	if load < 0 {
		return nil, notRun(errorCodeCold, "No replica of this service is whole now.", time.Second)
	}
	if !visit.deadline.IsZero() && visit.came.Add(wait).After(visit.deadline) {
		return nil, notRun("deadline_out_of_reach", "The wait would be longer than the request's time-out.", wait)
	}
	verdict := server.gate.Admit(quota.Ask{
		Team: visit.team, Priority: visit.priority, Tokens: tokens,
		Load: load, Nodes: visit.view.Nodes, Now: visit.came,
	})
	switch typed := verdict.(type) {
	case quota.Shed:
		server.meter.Count("shed_"+string(typed.Reason), visit.team.Name)
		return nil, shedding(typed, visit.came)
	case quota.Admitted:
		return typed.Place, nil
	default:
		panic(errors.AssertionFailedf("front: unknown verdict %T", verdict))
	}
}

func shedding(shed quota.Shed, came time.Time) *problem {
	wait := shed.RetryAt.Sub(came)
	switch shed.Reason {
	case quota.ReasonLoad:
		return notRun("overloaded", "The service is full; work of lower priority waits.", wait)
	case quota.ReasonFairness:
		return notRun("overloaded", "The service is full and the team uses more than its even part.", wait)
	default:
		return limited("limit_"+string(shed.Reason), "The team is over its "+string(shed.Reason)+" limit.", wait)
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
	record  Visit
	last    time.Time
	times   meter.Times
}

// whole tries until the answer is whole or nothing more may be tried.
func (run *run) whole() *problem {
	run.record = Visit{Request: run.visit.id, Team: run.visit.team.Name, Service: run.service, Came: run.visit.came}
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
	if run.checker.Next > 0 {
		event.Log(run.server.log, event.StreamResumed, zap.String("request", run.visit.id), zap.Int("offset", run.checker.Next), zap.Error(err))
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
		meter.Note(run.times.Whole, time.Since(run.visit.came))
		return run.reply.end(&run.checker)
	case errors.Is(err, errCaller):
		run.server.meter.Count("answers_cancelled", run.visit.team.Name)
		panic(http.ErrAbortHandler) // returning would complete an answer that was given up on
	}
	event.Log(run.server.log, event.AnswerBroken, zap.String("request", run.visit.id), zap.Error(err))
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
	case run.checker.Next == 0 && run.refusedOnly():
		return notRun("replica_refused", "No replica took the request.", time.Second)
	default:
		return broken("The answer broke off and could not be completed.")
	}
}

// refusedOnly tells whether every attempt ended before an engine took it.
func (run *run) refusedOnly() bool {
	for _, attempt := range run.record.Attempts {
		if attempt.Failed != failedRefused {
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
	model, known := run.server.view.Load().ModelNamed(run.job.model)
	if !known {
		return errNoReplica
	}
	now := time.Now()
	index := model.Table.Pick(route.Request{Now: now, Prefix: run.job.prefix, Salt: rand.Uint64(), Avoid: run.avoid})
	if index == route.None {
		return errNoReplica
	}
	replica := &model.Table.Replicas[index]
	run.record.Attempts = append(run.record.Attempts, Attempt{
		Target: replica.ID, Load: route.Load(replica), Candidates: len(model.Table.Replicas), Offset: run.checker.Next,
	})
	replica.Cell.Begin()
	defer replica.Cell.End()
	err := run.stream(model, replica, now)
	if err != nil {
		run.avoid = append(run.avoid, replica.ID)
		run.mark(err)
	}
	return err
}

func (run *run) mark(err error) {
	last := &run.record.Attempts[len(run.record.Attempts)-1]
	last.Failed = failedBroken
	if errors.Is(err, engine.ErrRefused) {
		last.Failed = failedRefused
	}
}

func (run *run) stream(model view.Model, replica *route.Replica, begun time.Time) error {
	guard := newGuard(run, model.Table, replica)
	defer guard.stop()
	stream, err := run.server.engines.Generate(guard.ctx, engine.Generation{
		Address: replica.Address, Path: string(run.job.surface), Request: run.visit.trace,
		Replica: replica.ID, Epoch: replica.Epoch, Priority: run.visit.priority.Rank(),
		Body: run.job.bodyFrom(run.checker.Next),
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
		if !replica.Cell.Whole(model.Table.Start, now) {
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
	before := run.checker.Next
	verdict, err := run.checker.Chunk(payload)
	if err != nil {
		return false, err
	}
	switch verdict {
	case relay.Whole:
		return true, nil
	case relay.Foreign:
		run.server.meter.Count("chunks_foreign", run.service)
		event.Log(run.server.log, event.ChunkForeign, zap.String("request", run.visit.id), zap.String("replica", replica.ID))
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
	case before > 0 && run.checker.Next > before:
		meter.Note(run.times.Between, took)
	case run.checker.Next > 0:
		replica.Cell.NoteFirst(took)
		meter.Note(run.times.First, now.Sub(run.visit.came))
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
	cell   *route.Cell
	silent atomic.Int64
}

// checkEvery is how often a silent stream's replica is looked at.
const checkEvery = 250 * time.Millisecond

func newGuard(run *run, table *route.Table, replica *route.Replica) *guard {
	ctx, cancel := context.WithCancelCause(run.visit.r.Context())
	guard := &guard{ctx: ctx, cancel: cancel, run: run, table: table, cell: replica.Cell}
	guard.silentBy(time.Now().Add(run.server.limits.FirstToken))
	guard.timer = time.AfterFunc(checkEvery, guard.check)
	return guard
}

// progress notes that the engine is not silent.
func (guard *guard) progress(now time.Time) {
	guard.silentBy(now.Add(guard.run.server.limits.Stall))
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
	case !guard.cell.Whole(guard.table.Start, now):
		guard.cancel(errMemberMissing)
	case int64(now.Sub(guard.table.Start)) > guard.silent.Load():
		guard.cancel(engine.ErrBroken)
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
