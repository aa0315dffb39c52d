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
	maxClaimAttempts = 4               // if other writers change the row of the key
	onceRetryAfter   = 2 * time.Second // if the outcome of a call or its row is not available
)

// serveAtMostOnce serves a call that may run at most once, whichever nodes its
// duplicates reach. It claims the call's idempotency key in the table service
// before any byte is sent to an endpoint, and stores the complete response under
// the key afterwards. The call continues when the caller disconnects.
func (plaincall *plainCall) serveAtMostOnce() *problem {
	key := plaincall.request.r.Header.Get(headerIdempotencyKey)
	if key == "" || len(key) > maxIdempotencyKeyBytes {
		return badRequest("idempotency_key_missing", headerIdempotencyKey, "This call may not be repeated, so it needs an Idempotency-Key of 1 to 255 bytes.")
	}
	call := once.Call{
		Team: plaincall.request.team.Name, Service: plaincall.service.Service.Name, Key: key,
		Payload: once.PayloadHash(plaincall.call.Method, plaincall.call.Target, plaincall.call.Body),
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(plaincall.request.r.Context()), plaincall.server.limits.CallTimeout+plaincall.server.limits.ClaimTimeout)
	defer cancel()
	claim, problem := plaincall.claimKey(ctx, call)
	if problem != nil || claim.WriteID == "" {
		return problem
	}
	return plaincall.runClaimed(ctx, claim)
}

// claimKey commits the claim under which the call may run and returns it. If the
// call must not run, it returns the problem instead, or an empty claim and no
// problem after it has written a stored response.
func (plaincall *plainCall) claimKey(ctx context.Context, call once.Call) (rows.Txn, *problem) {
	row := rows.Row{Key: call.RowKey()}
	for range maxClaimAttempts {
		decision, err := once.Decide(call, row, plaincall.server.incarnation, uuid.NewString(), plaincall.isAlive)
		if err != nil {
			event.Log(plaincall.server.log, event.RowUnreadable, zap.Error(err))
			return rows.Txn{}, inDoubt("The record of this key is not readable.", onceRetryAfter)
		}
		run, mayRun := decision.(once.Run)
		if !mayRun {
			return rows.Txn{}, plaincall.respondWithoutRunning(ctx, call, decision)
		}
		claimed, problem := plaincall.commitClaim(ctx, run.Claim)
		if claimed || problem != nil {
			return run.Claim, problem
		}
		row, err = plaincall.server.store.Get(ctx, call.RowKey())
		if err != nil && !errors.Is(err, rows.ErrAbsent) {
			return rows.Txn{}, plaincall.storeUnavailable()
		}
	}
	return rows.Txn{}, plaincall.inProgress()
}

// commitClaim commits a claim and reports whether it took effect. If it did not and
// there is no problem, the row of the key has changed and must be read again.
func (plaincall *plainCall) commitClaim(ctx context.Context, claim rows.Txn) (bool, *problem) {
	ctx, cancel := context.WithTimeout(ctx, plaincall.server.limits.ClaimTimeout)
	defer cancel()
	switch table.CommitAndResolve(ctx, plaincall.server.store, claim).(type) {
	case rows.Committed:
		return true, nil
	case rows.Rejected:
		return false, nil
	default:
		plaincall.server.recorder.abandonClaim(claim)
		return false, plaincall.storeUnavailable()
	}
}

// storeUnavailable returns the problem for the case that the table service does
// not answer and this request has sent nothing to an endpoint. A claim that may
// still take effect is released once the table service answers again.
func (plaincall *plainCall) storeUnavailable() *problem {
	return notRun("record_unavailable", "The record of calls does not answer.", onceRetryAfter)
}

func (plaincall *plainCall) inProgress() *problem {
	problem := badRequest("still_running", headerIdempotencyKey, "A call with this key is running.")
	problem.status, problem.outcome, problem.retryAfter = http.StatusConflict, OutcomeUnknown, onceRetryAfter
	return problem
}

// respondWithoutRunning responds to a call that must not run now.
func (plaincall *plainCall) respondWithoutRunning(ctx context.Context, call once.Call, decision once.Decision) *problem {
	switch typed := decision.(type) {
	case once.Replay:
		return plaincall.replay(ctx, call, typed)
	case once.InProgress:
		return plaincall.inProgress()
	case once.Mismatch:
		problem := badRequest("idempotency_key_reused", headerIdempotencyKey, "This key was used for another request.")
		problem.status, problem.provenForKey = http.StatusUnprocessableEntity, true
		return problem
	case once.InDoubt:
		return plaincall.callInDoubt()
	default:
		panic(errors.AssertionFailedf("front: unknown decision %T on an at-most-once call", decision))
	}
}

func (plaincall *plainCall) callInDoubt() *problem {
	return inDoubt("The call with this key may have run; ask its service by the key, and do not send it under another.", onceRetryAfter)
}

// replay writes the stored response to the caller of a duplicate, completely or
// not at all. The body of a long response is stored in chunks.
func (plaincall *plainCall) replay(ctx context.Context, call once.Call, replay once.Replay) *problem {
	response := replay.Response
	for n := range response.Chunks {
		row, err := plaincall.server.store.Get(ctx, once.ChunkKey(call.RowKey(), replay.ClaimID, n))
		if err != nil {
			return plaincall.storeUnavailable()
		}
		response.Body = append(response.Body, row.Body...)
	}
	plaincall.write(fromStored(response))
	return nil
}

// isAlive reports whether the incarnation that holds a claim may still finish its
// call.
func (plaincall *plainCall) isAlive(claimant string) bool {
	return slices.Contains(plaincall.server.view.Load().AliveIncarnations, claimant)
}

// runClaimed sends a call whose claim is committed and records its outcome. The
// claim is released for a later attempt only if no endpoint was reached.
func (plaincall *plainCall) runClaimed(ctx context.Context, claim rows.Txn) *problem {
	response, err := plaincall.dispatch(ctx, false)
	switch {
	case err == nil:
		plaincall.server.recorder.close(ctx, callResult{claim: claim, state: once.StateRan, response: toStored(response)})
		plaincall.write(response)
		return nil
	case errors.Is(err, engine.ErrUnreached):
		plaincall.server.recorder.close(ctx, callResult{claim: claim, state: once.StateNotRun})
		problem := notRun("endpoint_unreached", "No endpoint of the service could be reached.", time.Second)
		problem.provenForKey = true
		return problem
	default:
		event.Log(plaincall.server.log, event.CallInDoubt, zap.String("request", plaincall.request.id), zap.Error(err))
		plaincall.server.recorder.close(ctx, callResult{claim: claim, state: once.StateInDoubt})
		return plaincall.callInDoubt()
	}
}

func toStored(response engine.Response) once.Response {
	stored := once.Response{Status: response.Status, Body: response.Body}
	for name, values := range response.Header {
		for _, value := range values {
			stored.Headers = append(stored.Headers, once.Header{Name: name, Value: value})
		}
	}
	slices.SortFunc(stored.Headers, func(a, b once.Header) int { return strings.Compare(a.Name, b.Name) })
	return stored
}

func fromStored(stored once.Response) engine.Response {
	response := engine.Response{Status: stored.Status, Body: stored.Body, Header: http.Header{}}
	for _, header := range stored.Headers {
		response.Header.Add(header.Name, header.Value)
	}
	return response
}
