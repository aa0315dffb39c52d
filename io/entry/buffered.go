package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"hickorybend/core/reach"
	"hickorybend/core/site"
	"hickorybend/io/event"
	"hickorybend/io/pool"
	"hickorybend/platform"
)

// result is the outcome of one attempt: answered, unsent, notExecuted or
// incomplete.
type result interface {
	result()
}

// answered is an endpoint's complete response.
type answered struct {
	response *http.Response
	body     []byte
	header   platform.ResponseHeader
}

// unsent means that no byte of the request left this node.
type unsent struct{ cause error }

// notExecuted means that the endpoint states it has not run the request.
type notExecuted struct{ header platform.ResponseHeader }

// incomplete means that no usable response came; the request may have run. The text
// of the cause can reach the caller in the body of a 502.
type incomplete struct{ cause error }

func (answered) result()    {}
func (unsent) result()      {}
func (notExecuted) result() {}
func (incomplete) result()  {}

// serveBuffered serves a request whose response is sent to the caller only once it
// is complete. An error response that leads to a retry is kept, and is sent if no
// later attempt gets a response.
func (request *request) serveBuffered(ctx context.Context) {
	var last *answered
	handover := newHandover(ctx, request, request.receive)
	failure := request.tryEndpoints(ctx, func() bool { return false }, func(candidate *reach.Candidate) result {
		return handover.run(candidate, func(attempt *attempt) result {
			answer, ok := handover.await(attempt).(answered)
			if !ok {
				return attempt.result
			}
			last = &answer
			if request.shouldRetry(answer) {
				return incomplete{cause: errors.Newf("entry: status %d", answer.response.StatusCode)}
			}
			if !handover.conclude() {
				return incomplete{cause: errTakenOver}
			}
			return answer
		})
	})
	if last == nil {
		request.giveUp(failure.reject, failure.cause)
		return
	}
	request.outcome = "answered"
	request.writeResponse(last.response, last.body, last.response.Header)
}

// shouldRetry reports whether the response is a server error to an idempotent
// request, which is worth a retry at another endpoint.
func (request *request) shouldRetry(answer answered) bool {
	_, idempotent := request.route.Kind.(site.Idempotent)
	return idempotent && answer.response.StatusCode >= http.StatusInternalServerError
}

// receive makes one attempt at an endpoint and waits for its complete response. It
// reports whether that is one for the caller.
func (request *request) receive(attempt *attempt) bool {
	attempt.result = request.exchange(attempt)
	answer, ok := attempt.result.(answered)
	return ok && !request.shouldRetry(answer)
}

func (request *request) exchange(attempt *attempt) result {
	exchange, err := request.send(attempt)
	if err != nil {
		return request.handleFailure(attempt, causeOf(attempt.ctx, err))
	}
	if outcome := request.readPeerOutcome(attempt, exchange); outcome != nil {
		return outcome
	}
	responseheader := request.readHeader(attempt, exchange)
	return request.readAnswer(attempt, exchange, responseheader)
}

// readAnswer reads the body of a response that is no stream, and classifies it.
func (request *request) readAnswer(attempt *attempt, exchange *pool.Exchange, responseheader platform.ResponseHeader) result {
	limit := int64(maxBufferedBytes)
	if !responseheader.Receipt {
		limit = maxUnsignedBytes
	}
	held := request.holdAnswer(attempt, responseheader.Receipt)
	body, err := held.read(exchange.Response.Body, limit, exchange.Response.ContentLength)
	if err != nil {
		held.release()
		exchange.Close()
		return request.handleFailure(attempt, errors.Mark(causeOf(attempt.ctx, err), pool.ErrIncompleteResponse))
	}
	request.keep(held)
	return request.classify(attempt, exchange, responseheader, body)
}

// readHeader decodes the headers of an answer, and applies what the endpoint says of
// itself in them before the body has come: that it leaves, is to get no request for a
// while, or takes only so many.
func (request *request) readHeader(attempt *attempt, exchange *pool.Exchange) platform.ResponseHeader {
	candidate := attempt.candidate
	responseheader := platform.ReadResponseHeader(exchange.Response)
	if responseheader.Contradictory {
		request.ignoreNotRun(attempt, exchange)
	}
	if candidate.IsPeer {
		return responseheader // that node has applied it, and tells the others
	}
	if responseheader.Leaving && candidate.Load.MarkLeaving(candidate.StartedAt) {
		request.server.leaving(candidate.ID, candidate.StartedAt)
	}
	if len(responseheader.RequestIDs) > 0 && !request.belongsTo(responseheader) {
		return responseheader // it may be an old one
	}
	if delay := responseheader.RetryAfter.Delay; delay > 0 {
		candidate.Load.BackOff(time.Now().Add(delay))
	}
	if value := responseheader.RetryAfter.Unusable; value != "" {
		request.server.unusableRetryAfter.Do(func() {
			event.Log(request.server.log, event.RetryAfterUnusable, zap.String("endpoint", candidate.ID), zap.String("value", value))
		})
	}
	request.readLimit(candidate, exchange.Response.StatusCode, responseheader)
	return responseheader
}

// classify checks that a response belongs to this request and is complete. A
// status below 300 needs a receipt, a header that the endpoint sets on its own
// responses. A status such as 503 means "not run" only if another header of the
// endpoint says so; without that header, a request that isn't retryable counts as
// one that may have run. An encoding that was not requested counts as incomplete.
func (request *request) classify(attempt *attempt, exchange *pool.Exchange, responseheader platform.ResponseHeader, body []byte) result {
	candidate := attempt.candidate
	if responseheader.NotExecuted && (candidate.IsPeer || exchange.HasUnread()) { // another node states it by an outcome
		responseheader.NotExecuted = false
		request.ignoreNotRun(attempt, exchange)
	}
	status := exchange.Response.StatusCode
	switch {
	case !request.belongsTo(responseheader):
		exchange.Close()
		return request.handleFailure(attempt, errors.Mark(errors.New("entry: the answer is another request's"), pool.ErrIncompleteResponse))
	case responseheader.NotExecuted:
		request.logNotRun(event.AttemptNotRun, attempt, exchange)
		exchange.Release()
		request.handleNotExecuted(candidate, responseheader, status)
		return notExecuted{header: responseheader}
	case responseheader.Encoded, status < http.StatusMultipleChoices && !responseheader.Receipt, claimsNotExecuted(status):
		exchange.Close()
		return request.handleFailure(attempt, errors.Mark(errors.Newf("entry: status %d without the endpoint's word", status), pool.ErrIncompleteResponse))
	}
	exchange.Release()
	request.server.answerTimes.record(request.service, time.Since(attempt.sentAt), time.Now())
	switch {
	case status < http.StatusMultipleChoices:
		request.recordAnswer(candidate, request.inputs)
	case showsExecution(status, responseheader):
		request.recordAnswer(candidate, request.wholeRequest()) // the endpoint need not have read the prompt
	}
	candidate.Load.RecordResult(time.Now(), status >= http.StatusInternalServerError, time.Since(attempt.sentAt))
	return answered{response: exchange.Response, body: body, header: responseheader}
}

// belongsTo reports whether the request is the one that an answer bears the ID of, or has none.
func (request *request) belongsTo(responseheader platform.ResponseHeader) bool {
	return request.header.RequestID == "" || responseheader.RequestID == request.header.RequestID
}

// claimsNotExecuted reports whether a status by itself means that the request has
// not run. An endpoint that has not run it sets a header as well.
func claimsNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// showsExecution reports whether an answer without success shows that the endpoint has
// run the request and goes on. A server error may come before that.
func showsExecution(status int, responseheader platform.ResponseHeader) bool {
	return status < http.StatusInternalServerError && !claimsNotExecuted(status) && responseheader.Receipt
}

// handleNotExecuted keeps new requests away from an endpoint that had no capacity.
// It keeps them away longer, and has the endpoint probed, if another endpoint has
// the address or the response names a faulty member of the replica.
func (request *request) handleNotExecuted(candidate *reach.Candidate, responseheader platform.ResponseHeader, status int) {
	backoff := request.server.policy.FullBackoff
	if status == http.StatusMisdirectedRequest || responseheader.FaultyEndpoint != "" {
		backoff = request.server.policy.UnreachableBackoff
		request.server.suspect(candidate.ID)
	}
	candidate.Load.Avoid(time.Now().Add(backoff))
}

// handleFailure records that an attempt failed and returns its result. An attempt
// that ended because the caller disconnected, or because it was not needed any more,
// doesn't count against the endpoint.
func (request *request) handleFailure(attempt *attempt, err error) result {
	switch {
	case errors.Is(err, pool.ErrNoRoom):
		return noRoom{}
	case errors.Is(err, pool.ErrGivenUp):
		return unsent{cause: err} // by this node, which says nothing of the endpoint
	}
	candidate, now := attempt.candidate, time.Now()
	unneeded := errors.Is(context.Cause(attempt.ctx), errNotNeeded)
	late := request.lateToSee(attempt, err)
	if request.r.Context().Err() == nil && !unneeded {
		if !late {
			candidate.Load.RecordResult(now, true, now.Sub(attempt.sentAt))
		}
		if !candidate.IsPeer {
			request.server.suspect(candidate.ID)
		}
	}
	if connectionEnded(err) && !candidate.IsPeer {
		request.handleBroken(attempt, err)
	}
	if errors.IsAny(err, errTakenOver, errGone, errSilent) {
		event.Log(request.server.log, event.AttemptSilent, zap.String("request", request.header.RequestID), zap.String("endpoint", candidate.ID),
			zap.Int64("events", attempt.eventCount.Load()), zap.Duration("took", now.Sub(attempt.sentAt)), zap.Error(err))
	}
	if errors.Is(err, pool.ErrUnsent) {
		if !unneeded && request.r.Context().Err() == nil {
			request.logUnreached(attempt, err, late, now)
			if !late {
				candidate.Load.MarkUnreachable(now.Add(request.server.policy.UnreachableBackoff))
			}
			if !candidate.IsPeer {
				request.server.unreachable(candidate.ID, late)
			}
		}
		return unsent{cause: err}
	}
	return incomplete{cause: err}
}
