package front

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"hickorybend/core/once"
	"hickorybend/core/rows"
	"hickorybend/io/engine"
	"hickorybend/io/event"
	"hickorybend/io/table"
)

const (
	claimTries = 4
	askAgain   = 2 * time.Second
)

// once serves a call that may run at most once, through whichever node: its
// key is claimed in the table service before a byte leaves for an endpoint, and
// the whole answer is stored under the key after it.
func (trip *trip) once() *problem {
	key := trip.visit.r.Header.Get(headerKey)
	if key == "" || len(key) > maxKey {
		return badRequest("idempotency_key_missing", headerKey, "This call may not be repeated, so it needs an Idempotency-Key of 1 to 255 bytes.")
	}
	call := once.Call{
		Team: trip.visit.team.Name, Service: trip.service.Service.Name, Key: key,
		Payload: once.PayloadHash(trip.call.Method, trip.call.Target, trip.call.Body),
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(trip.visit.r.Context()), trip.server.limits.CallLimit+trip.server.limits.ClaimLimit)
	defer cancel()
	claim, found := trip.claim(ctx, call)
	if found != nil || claim.WriteID == "" {
		return found
	}
	return trip.runOnce(ctx, claim)
}

// claim gives the claim under which the call may run, or the answer there is
// without running it; an empty claim says that the answer is written.
func (trip *trip) claim(ctx context.Context, call once.Call) (rows.Txn, *problem) {
	row := rows.Row{Key: call.Row()}
	for range claimTries {
		decision, err := once.Decide(call, row, trip.server.self, uuid.NewString(), trip.alive)
		if err != nil {
			event.Log(trip.server.log, event.RowUnreadable, zap.Error(err))
			return rows.Txn{}, inDoubt("The record of this key is not readable.", askAgain)
		}
		run, may := decision.(once.Run)
		if !may {
			return rows.Txn{}, trip.without(ctx, call, decision)
		}
		claimed, found := trip.commitClaim(ctx, run.Claim)
		if claimed || found != nil {
			return run.Claim, found
		}
		row, err = trip.server.store.Get(ctx, call.Row())
		if err != nil && !errors.Is(err, rows.ErrAbsent) {
			return rows.Txn{}, trip.storeDown()
		}
	}
	return rows.Txn{}, trip.busy()
}

func (trip *trip) commitClaim(ctx context.Context, claim rows.Txn) (bool, *problem) {
	ctx, cancel := context.WithTimeout(ctx, trip.server.limits.ClaimLimit)
	defer cancel()
	switch table.CommitAndResolve(ctx, trip.server.store, claim).(type) {
	case rows.Committed:
		return true, nil
	case rows.Refused:
		return false, nil
	default:
		trip.server.later.abandon(claim)
		return false, trip.storeDown()
	}
}

// storeDown is said before anything was sent; the claim that may yet land is
// taken back when the store answers.
func (trip *trip) storeDown() *problem {
	return notRun("record_unavailable", "The record of calls does not answer.", askAgain)
}

func (trip *trip) busy() *problem {
	found := badRequest("still_running", headerKey, "A call with this key is running.")
	found.status, found.outcome, found.retryAfter = http.StatusConflict, OutcomeUnknown, askAgain
	return found
}

// without answers a call that must not run now.
func (trip *trip) without(ctx context.Context, call once.Call, decision once.Decision) *problem {
	switch typed := decision.(type) {
	case once.Replay:
		return trip.replay(ctx, call, typed)
	case once.InProgress:
		return trip.busy()
	case once.Mismatch:
		found := badRequest("idempotency_key_reused", headerKey, "This key was used for another request.")
		found.status, found.proven = http.StatusUnprocessableEntity, true
		return found
	case once.InDoubt:
		return trip.doubt()
	default:
		panic(errors.AssertionFailedf("front: unknown decision %T", decision))
	}
}

func (trip *trip) doubt() *problem {
	return inDoubt("The call with this key may have run; ask its service by the key, and do not send it under another.", askAgain)
}

// replay gives a duplicate the stored answer, whole or not at all.
func (trip *trip) replay(ctx context.Context, call once.Call, replay once.Replay) *problem {
	response := replay.Response
	for n := range response.Chunks {
		row, err := trip.server.store.Get(ctx, once.ChunkKey(call.Row(), replay.Claim, n))
		if err != nil {
			return trip.storeDown()
		}
		response.Body = append(response.Body, row.Body...)
	}
	trip.write(answerOf(response))
	return nil
}

func (trip *trip) alive(claimant string) bool {
	return slices.Contains(trip.server.view.Load().AliveIncarnations, claimant)
}

func (trip *trip) runOnce(ctx context.Context, claim rows.Txn) *problem {
	response, err := trip.dispatch(ctx, false)
	switch {
	case err == nil:
		trip.server.later.close(ctx, ending{claim: claim, state: once.StateRan, answer: storedOf(response)})
		trip.write(response)
		return nil
	case errors.Is(err, engine.ErrUnreached):
		trip.server.later.close(ctx, ending{claim: claim, state: once.StateNotRun})
		found := notRun("endpoint_unreached", "No endpoint of the service could be reached.", time.Second)
		found.proven = true
		return found
	default:
		event.Log(trip.server.log, event.CallInDoubt, zap.String("request", trip.visit.id), zap.Error(err))
		trip.server.later.close(ctx, ending{claim: claim, state: once.StateInDoubt})
		return trip.doubt()
	}
}

func storedOf(response engine.Response) once.Response {
	stored := once.Response{Status: response.Status, Body: response.Body}
	for name, values := range response.Header {
		for _, value := range values {
			stored.Headers = append(stored.Headers, once.Header{Name: name, Value: value})
		}
	}
	slices.SortFunc(stored.Headers, func(a, b once.Header) int { return strings.Compare(a.Name, b.Name) })
	return stored
}

func answerOf(stored once.Response) engine.Response {
	response := engine.Response{Status: stored.Status, Body: stored.Body, Header: http.Header{}}
	for _, header := range stored.Headers {
		response.Header.Add(header.Name, header.Value)
	}
	return response
}
