package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"hickorybend/core/reach"
	"hickorybend/core/site"
	"hickorybend/io/pool"
)

// errSequence means that a stream's event ids are not consecutive. Its text can reach
// the caller in the body of a 502.
var errSequence = errors.New("entry: an event is missing or comes twice")

// errCallerConnection marks failures of the caller's connection.
var errCallerConnection = errors.New("entry: the caller's connection failed")

// serveStream serves a request that is answered by a stream of events. Events that
// the caller has received stay valid if their endpoint fails: another endpoint
// resumes after the last of them. The response headers are the first endpoint's.
func (request *request) serveStream(ctx context.Context) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer request.endWriteDeadline()
	relay := &relay{request: request, handover: newHandover(ctx, request, request.openStream)}
	defer context.AfterFunc(request.server.stopping, func() { relay.withdraw(cancel) })()
	failure := request.tryEndpoints(ctx, relay.begun, func(candidate *reach.Candidate) result {
		return relay.handover.run(candidate, relay.follow)
	})
	if failure != nil {
		relay.giveUp(failure.reject, failure.cause)
	}
}

// relay forwards a stream's events to the caller.
type relay struct {
	request  *request
	handover *handover
	state    atomic.Int32 // relayUnbegun, relayBegun or relayWithdrawn
	held     *heldStream  // events that the caller gets once the stream is whole; nil if it gets them as they come
}

// The states of a relay.
const (
	relayUnbegun   = iota // the caller has received nothing
	relayBegun            // the caller has received the headers
	relayWithdrawn        // the caller gets an error in place of the stream, as this node stops
)

// headerWritten reports whether the caller has received the headers.
func (relay *relay) headerWritten() bool { return relay.state.Load() == relayBegun }

// begun reports whether events have come that another endpoint has to go on from.
func (relay *relay) begun() bool { return relay.headerWritten() || relay.held != nil }

// withdraw ends a stream of which the caller has received nothing, so that it can be
// answered before the node stops.
func (relay *relay) withdraw(cancel context.CancelCauseFunc) {
	if relay.state.CompareAndSwap(relayUnbegun, relayWithdrawn) {
		cancel(errStopping)
	}
}

// giveUp ends a stream that can't continue. If it has started, the connection is
// aborted, so that the response doesn't look complete.
func (relay *relay) giveUp(reject reach.Reject, cause string) {
	if !relay.headerWritten() {
		relay.request.giveUp(reject, cause)
		return
	}
	relay.request.outcome = cause
	panic(http.ErrAbortHandler)
}

// openStream makes one attempt at a stream until its first event or its end has come. It
// reports whether the stream goes on from there.
func (request *request) openStream(attempt *attempt) bool {
	attempt.result = request.open(attempt)
	return attempt.result == nil
}

// open sends the request and reads the head of the response and the first event. It
// returns nil if the endpoint answers with a stream.
func (request *request) open(attempt *attempt) result {
	exchange, err := request.send(attempt)
	if err != nil {
		return request.handleFailure(attempt, causeOf(attempt.ctx, err))
	}
	if outcome := request.readPeerOutcome(attempt, exchange); outcome != nil {
		return outcome
	}
	responseheader := request.readHeader(attempt, exchange)
	if exchange.Response.StatusCode != http.StatusOK {
		return request.readAnswer(attempt, exchange, responseheader)
	}
	if !request.belongsTo(responseheader) || !responseheader.Receipt || responseheader.Encoded {
		exchange.Close()
		return request.handleFailure(attempt, errors.Mark(errors.New("entry: the stream is another request's or bears no receipt"), pool.ErrIncompleteResponse))
	}
	held := request.holdAnswer(attempt, true)
	request.keep(held)
	attempt.exchange, attempt.reader = exchange, newEventReader(exchange.Response.Body, held)
	if request.readEvent(attempt); attempt.readErr != nil && !errors.Is(attempt.readErr, io.EOF) {
		return request.handleStreamFailure(attempt, attempt.readErr)
	}
	return nil
}

// readEvent reads the next event of an attempt. At the end of the stream, readErr is
// io.EOF. If nothing but the end of the connection marks that, and there was no event
// at all, then the endpoint has ended rather than the stream.
func (request *request) readEvent(attempt *attempt) {
	attempt.readErr = attempt.reader.next()
	if errors.Is(attempt.readErr, io.EOF) && attempt.eventCount.Load() == 0 && attempt.exchange.EndsWithConnection() {
		attempt.readErr = io.ErrUnexpectedEOF
	}
	if attempt.readErr != nil {
		return
	}
	attempt.recordEvent(request.server.policy)
	if attempt.eventCount.Load() == 1 {
		request.server.startAssigned(attempt)
		request.beginAnswer(attempt)
	}
}

// handleStreamFailure records that an attempt at a stream failed after its head had
// come.
func (request *request) handleStreamFailure(attempt *attempt, err error) result {
	attempt.exchange.Close()
	return request.handleFailure(attempt, errors.Mark(causeOf(attempt.ctx, err), pool.ErrIncompleteResponse))
}

// follow forwards the stream of an attempt, or the rest of it, to the caller.
func (relay *relay) follow(attempt *attempt) result {
	switch outcome := relay.handover.await(attempt).(type) {
	case nil:
		return relay.forward(attempt)
	case answered:
		return relay.forwardNonStream(outcome)
	default:
		return outcome
	}
}

// forward forwards the events of an attempt until its stream ends or breaks off.
func (relay *relay) forward(attempt *attempt) result {
	request := relay.request
	if err := relay.forwardEvents(attempt); err != nil {
		return request.handleStreamFailure(attempt, err)
	}
	if attempt.complete = !attempt.exchange.EndsWithConnection(); attempt.complete && attempt.answer == nil {
		request.beginAnswer(attempt)
	}
	request.whole.Store(attempt.complete && attempt.answer != nil)
	attempt.exchange.Release()
	attempt.candidate.Load.RecordResult(time.Now(), false, time.Since(attempt.sentAt))
	request.outcome = "answered"
	if len(request.tried) > 1 {
		request.outcome = "answered after a move"
	}
	if err := relay.finish(attempt.exchange.Response); err != nil {
		return incomplete{cause: err}
	}
	return answered{response: attempt.exchange.Response}
}

// forwardNonStream handles a response whose status is not 200.
func (relay *relay) forwardNonStream(answer answered) result {
	request := relay.request
	if relay.begun() || request.shouldRetryStream(answer.response.StatusCode) {
		return incomplete{cause: errors.Newf("entry: status %d", answer.response.StatusCode)}
	}
	if !relay.handover.conclude() {
		return incomplete{cause: errTakenOver}
	}
	request.outcome = "answered"
	request.writeResponse(answer.response, answer.body, answer.response.Header)
	return answer
}

// shouldRetryStream reports whether a response in place of a stream is a server
// error that is worth a retry.
func (request *request) shouldRetryStream(status int) bool {
	return status >= http.StatusInternalServerError && site.Retryable(request.route.Kind) && len(request.tried) < request.attemptsAllowed()
}

// forwardEvents forwards complete events, the first of which has been read, until the
// endpoint's response ends. It returns an error if the response breaks off, the event
// ids have a gap, or another endpoint has taken over.
func (relay *relay) forwardEvents(attempt *attempt) error {
	for ; ; relay.request.readEvent(attempt) {
		ended := errors.Is(attempt.readErr, io.EOF)
		if attempt.readErr != nil && !ended {
			return attempt.readErr
		}
		id := attempt.reader.id
		if err := checkSequence(relay.handover.lastEventID, id); err != nil {
			return err
		}
		if ended {
			return relay.conclude()
		}
		if !relay.handover.advance(id) {
			return errTakenOver
		}
		if err := relay.passOn(attempt); err != nil {
			return err
		}
	}
}

// conclude returns an error if another endpoint has taken over before the end of the
// stream.
func (relay *relay) conclude() error {
	if !relay.handover.conclude() {
		return errTakenOver
	}
	return nil
}

// checkSequence checks that an event's id follows the last one's. Ids that are not
// numbers are not checked.
func checkSequence(lastEventID, id string) error {
	if id == "" || lastEventID == "" {
		return nil
	}
	previous, errPrevious := strconv.ParseInt(lastEventID, 10, 64)
	current, errCurrent := strconv.ParseInt(id, 10, 64)
	if errPrevious != nil || errCurrent != nil || current == previous+1 {
		return nil
	}
	return errors.Wrapf(errSequence, "%d after %d", current, previous)
}

// passOn writes an event to the caller, or holds it until the stream is whole.
func (relay *relay) passOn(attempt *attempt) error {
	if request := relay.request; relay.held == nil && !relay.headerWritten() && request.mayOutlastNode() {
		held := request.holdAnswer(attempt, true)
		request.keep(held)
		relay.held = &heldStream{response: attempt.exchange.Response, bytes: held}
	}
	if relay.held != nil {
		return relay.held.add(attempt.reader.event.Bytes())
	}
	if err := relay.writeHeader(attempt.exchange.Response); err != nil {
		return err
	}
	return relay.writeEvent(attempt)
}

// finish writes what the caller of a whole stream has not received: the events that were
// held, or the headers of a stream without events.
func (relay *relay) finish(response *http.Response) error {
	if relay.held == nil {
		return relay.writeHeader(response)
	}
	if err := relay.writeHeader(relay.held.response); err != nil {
		return err
	}
	_, err := relay.request.w.Write(relay.held.events.Bytes())
	return errors.Mark(errors.Wrap(err, "entry: writing to the caller"), errCallerConnection)
}

// writeHeader writes the headers of the first endpoint's response, once. It fails if the
// stream has been withdrawn.
func (relay *relay) writeHeader(response *http.Response) error {
	if relay.headerWritten() {
		return nil
	}
	if !relay.state.CompareAndSwap(relayUnbegun, relayBegun) {
		return errStopping
	}
	request := relay.request
	request.status = response.StatusCode
	request.firstEventAt = time.Now()
	copyHeaders(request.w.Header(), response.Header)
	request.w.WriteHeader(response.StatusCode)
	return nil
}

// writeEvent writes the event that an attempt has brought to the caller and updates the
// longest gap. A caller that does not read holds it up; that is no silence of the endpoint.
func (relay *relay) writeEvent(attempt *attempt) error {
	attempt.forwarding.Store(true)
	defer attempt.forwarding.Store(false)
	now := time.Now()
	if request := relay.request; request.lastEventAt.IsZero() {
		request.sentAt, request.otherZone = attempt.sentAt, !attempt.candidate.SameZone
	} else {
		request.longestGap = max(request.longestGap, now.Sub(request.lastEventAt))
	}
	relay.request.lastEventAt = now
	return relay.request.writeInTime(attempt.reader.event.Bytes())
}

// causeOf returns the cause for which the context was canceled, if it was and the
// request had been sent; otherwise it returns err.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(err, pool.ErrUnsent) {
		return errors.Mark(errors.Wrap(cause, "entry"), pool.ErrIncompleteResponse)
	}
	return err
}
