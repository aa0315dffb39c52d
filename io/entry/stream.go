package entry

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"hickorybend/core/reach"
	"hickorybend/core/site"
	"hickorybend/io/pool"
	"hickorybend/platform"
)

// errStalled cancels an attempt at a stream that had no event for StallAfter. Its
// text and the next one's can reach the caller in the body of a 502.
var errStalled = errors.New("entry: the stream stands still")

// errSequence means that a stream's event ids are not consecutive.
var errSequence = errors.New("entry: an event is missing or comes twice")

// errEventTooLong means that an event does not end within maxEventBytes.
var errEventTooLong = errors.Newf("entry: an event has more than %d bytes", maxEventBytes)

// errCallerConnection marks failures of the caller's connection.
var errCallerConnection = errors.New("entry: the caller's connection failed")

// maxEventBytes limits one event.
const maxEventBytes = 1 << 20

// serveStream serves a request that is answered by a stream of events. Events that
// the caller has received stay valid if their endpoint fails: another endpoint
// resumes after the last of them. The response headers are the first endpoint's.
func (request *request) serveStream(ctx context.Context) {
	relay := &relay{request: request, lastEventID: request.header.LastEventID}
	failure := request.tryEndpoints(ctx, func() bool { return relay.headerWritten }, func(candidate *reach.Candidate) result {
		return relay.streamFrom(ctx, candidate)
	})
	if failure != nil {
		relay.giveUp(failure.reject, failure.cause)
	}
}

// relay forwards a stream's events to the caller.
type relay struct {
	request       *request
	lastEventID   string       // id of the last event that the caller has received
	headerWritten bool         // the caller has received the headers
	event         bytes.Buffer // the event being forwarded
}

// giveUp ends a stream that can't continue. If it has started, the connection is
// aborted, so that the response doesn't look complete.
func (relay *relay) giveUp(reject reach.Reject, cause string) {
	if !relay.headerWritten {
		relay.request.giveUp(reject, cause)
		return
	}
	relay.request.outcome = cause
	panic(http.ErrAbortHandler)
}

// streamFrom makes one attempt: it forwards the stream, or the rest of it, from an
// endpoint.
func (relay *relay) streamFrom(ctx context.Context, candidate *reach.Candidate) result {
	request := relay.request
	policy := request.server.policy
	sentAt := time.Now()
	ctx, endAttempt := request.server.beginAttempt(ctx, candidate)
	defer endAttempt()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	probe := time.AfterFunc(policy.ProbeAfter+request.route.LatencyObjective, func() { request.server.suspect(candidate.ID) })
	defer probe.Stop()
	stall := request.watchForStall(ctx, cancel)
	defer stall.Stop()
	candidate.Load.AddPendingTokens(request.header.PromptTokens)
	removePendingTokens := sync.OnceFunc(func() { candidate.Load.AddPendingTokens(-request.header.PromptTokens) })
	defer removePendingTokens()
	exchange, err := request.server.pool.Send(ctx, candidate.Address, request.forwardedRequest(candidate, relay.lastEventID))
	if err != nil {
		return request.handleFailure(candidate, causeOf(ctx, err), sentAt)
	}
	responseheader := request.readHeader(candidate, exchange)
	if exchange.Response.StatusCode != http.StatusOK {
		return relay.handleNonStream(candidate, exchange, responseheader, sentAt)
	}
	if request.header.RequestID != "" && responseheader.RequestID != request.header.RequestID || !responseheader.Receipt || responseheader.Encoded {
		exchange.Close()
		return request.handleFailure(candidate, errors.Mark(errors.New("entry: the stream is another request's or bears no receipt"), pool.ErrIncompleteResponse), sentAt)
	}
	err = relay.forwardEvents(exchange, func() {
		request.attemptEvents++
		if request.attemptEvents == request.server.soundEvents {
			request.recordSound()
		}
		removePendingTokens()
		probe.Reset(policy.ProbeAfter)
		stall.Reset(policy.StallAfter)
	})
	if err != nil {
		exchange.Close()
		return request.handleFailure(candidate, errors.Mark(causeOf(ctx, err), pool.ErrIncompleteResponse), sentAt)
	}
	if !exchange.EndsWithConnection() {
		request.recordSound()
	}
	exchange.Release()
	candidate.Load.RecordResult(time.Now(), false, time.Since(sentAt))
	request.outcome = "answered"
	if len(request.tried) > 1 {
		request.outcome = "answered after a move"
	}
	relay.writeHeader(exchange.Response) // for a stream without events
	return answered{response: exchange.Response, header: responseheader}
}

// watchForStall returns a timer that cancels the context of an attempt after StallAfter
// if another endpoint may then take the request over. Otherwise it waits on, until the
// attempt has ended: the rest of the answer may still come.
func (request *request) watchForStall(ctx context.Context, cancel context.CancelCauseFunc) *time.Timer {
	alternative := request.alternative()
	var stall *time.Timer
	assigned := make(chan struct{}) // closed once the function may use stall
	stall = time.AfterFunc(request.server.policy.StallAfter, func() {
		<-assigned
		switch {
		case ctx.Err() != nil:
		case alternative():
			cancel(errStalled)
		default:
			stall.Reset(request.server.policy.StallAfter)
		}
	})
	close(assigned)
	return stall
}

// alternative returns a function that reports whether another attempt at the request
// would be made if the present one ended now. Other goroutines may call it while the
// attempt is running.
func (request *request) alternative() func() bool {
	server, service, deadline, inputs := request.server, request.service, request.deadline, request.inputs
	mayRepeat := site.Retryable(request.route.Kind) && !request.suspected && len(request.tried) < min(request.route.MaxAttempts, server.policy.MaxEndpoints)
	resumed := request.routingRequest(true)
	return func() bool {
		now, snapshot := time.Now(), server.snapshot.Load()
		if !mayRepeat || snapshot.Blocks(inputs) || deadline.Sub(now) < server.policy.MinTimeLeft || !server.allowsRetry(service, now, snapshot.Nodes) {
			return false
		}
		next := resumed
		next.Now = now
		return reach.HasRoom(server.routing, snapshot.Services[service], next)
	}
}

// handleNonStream handles a response whose status is not 200.
func (relay *relay) handleNonStream(candidate *reach.Candidate, exchange *pool.Exchange, responseheader platform.ResponseHeader, sentAt time.Time) result {
	request := relay.request
	body, err := exchange.ReadBody(maxBufferedBytes)
	if err != nil {
		return request.handleFailure(candidate, err, sentAt)
	}
	result := request.classify(candidate, exchange, responseheader, body, sentAt)
	answer, ok := result.(answered)
	if !ok {
		return result
	}
	if relay.headerWritten || request.shouldRetryStream(answer.response.StatusCode) {
		return incomplete{cause: errors.Newf("entry: status %d", answer.response.StatusCode)}
	}
	request.outcome = "answered"
	request.writeResponse(answer.response, body, answer.response.Header)
	return result
}

// shouldRetryStream reports whether a response in place of a stream is a server
// error that is worth a retry.
func (request *request) shouldRetryStream(status int) bool {
	return status >= http.StatusInternalServerError && site.Retryable(request.route.Kind) && len(request.tried) < request.route.MaxAttempts
}

// forwardEvents forwards complete events until the endpoint's response ends. It
// returns an error if the response breaks off or the event ids have a gap.
func (relay *relay) forwardEvents(exchange *pool.Exchange, onEvent func()) error {
	reader := bufio.NewReaderSize(exchange.Response.Body, 4<<10)
	for {
		id, err := relay.readEvent(reader)
		if errors.Is(err, io.EOF) && relay.event.Len() == 0 {
			return relay.checkEnd(exchange)
		}
		if err != nil {
			return err
		}
		onEvent()
		if err := relay.checkSequence(id); err != nil {
			return err
		}
		relay.writeHeader(exchange.Response)
		if err := relay.writeEvent(); err != nil {
			return err
		}
		if id != "" {
			relay.lastEventID = id
		}
	}
}

// checkEnd checks a stream that has ended between two events. If nothing but the end of
// the connection marks its end, and it has no event at all, then the endpoint has ended
// rather than the stream.
func (relay *relay) checkEnd(exchange *pool.Exchange) error {
	if relay.request.attemptEvents == 0 && exchange.EndsWithConnection() {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// readEvent reads one event into relay.event, up to and including the empty line
// that ends it, and returns its id.
func (relay *relay) readEvent(reader *bufio.Reader) (string, error) {
	relay.event.Reset()
	id, continued := "", false
	for {
		line, err := reader.ReadSlice('\n')
		relay.event.Write(line)
		if relay.event.Len() > maxEventBytes {
			return "", errEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			id, continued = idOf(line, continued, id), true
			continue
		}
		if errors.Is(err, io.EOF) && relay.event.Len() > 0 {
			return "", io.ErrUnexpectedEOF
		}
		if err != nil {
			return "", err
		}
		if !continued && len(bytes.TrimRight(line, "\r\n")) == 0 {
			return id, nil
		}
		id, continued = idOf(line, continued, id), false
	}
}

// idOf returns the id that a line states, or the known one. A line that does not fit
// into the reader's buffer comes in parts; only the first one can state an id.
func idOf(line []byte, continued bool, known string) string {
	value, found := bytes.CutPrefix(line, []byte("id:"))
	if !found || continued {
		return known
	}
	return string(bytes.TrimSpace(value))
}

// checkSequence checks that an event's id follows the last one's. Ids that are not
// numbers are not checked.
func (relay *relay) checkSequence(id string) error {
	if id == "" || relay.lastEventID == "" {
		return nil
	}
	previous, errPrevious := strconv.ParseInt(relay.lastEventID, 10, 64)
	current, errCurrent := strconv.ParseInt(id, 10, 64)
	if errPrevious != nil || errCurrent != nil || current == previous+1 {
		return nil
	}
	return errors.Wrapf(errSequence, "%d after %d", current, previous)
}

// writeHeader writes the headers of the first endpoint's response, once.
func (relay *relay) writeHeader(response *http.Response) {
	if relay.headerWritten {
		return
	}
	relay.headerWritten = true
	request := relay.request
	request.status = response.StatusCode
	request.firstEventAt = time.Now()
	copyHeaders(request.w.Header(), response.Header)
	request.w.WriteHeader(response.StatusCode)
}

// writeEvent writes the event to the caller and updates the longest gap.
func (relay *relay) writeEvent() error {
	now := time.Now()
	if request := relay.request; !request.lastEventAt.IsZero() {
		request.longestGap = max(request.longestGap, now.Sub(request.lastEventAt))
	}
	relay.request.lastEventAt = now
	if _, err := relay.request.w.Write(relay.event.Bytes()); err != nil {
		return errors.Mark(errors.Wrap(err, "entry: writing to the caller"), errCallerConnection)
	}
	err := http.NewResponseController(relay.request.w).Flush()
	return errors.Mark(errors.Wrap(err, "entry: writing to the caller"), errCallerConnection)
}

// causeOf returns the cause for which the context was canceled, if it was and the
// request had been sent; otherwise it returns err.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(err, pool.ErrUnsent) {
		return errors.Mark(errors.Wrap(cause, "entry"), pool.ErrIncompleteResponse)
	}
	return err
}
