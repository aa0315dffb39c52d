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

// errStalled ends a stream that no event came of for too long.
var errStalled = errors.New("entry: the stream stands still")

// errSequence says that a stream's events do not follow one another.
var errSequence = errors.New("entry: an event is missing or comes twice")

// maxEvent bounds one event.
const maxEvent = 1 << 20

// stream serves a request that is answered by events. Events that were handed
// on stay valid whatever becomes of their endpoint: another one goes on after
// the last of them, under the first one's headers.
func (visit *visit) stream(ctx context.Context) {
	relay := &relay{visit: visit, last: visit.ask.LastEventID}
	missed := visit.offer(ctx, func() bool { return relay.begun }, func(candidate *reach.Candidate) result {
		return relay.run(ctx, candidate)
	})
	if missed != nil {
		relay.giveUp(missed.refusal, missed.cause)
	}
}

// relay hands a stream's events on.
type relay struct {
	visit *visit
	last  string // id of the last event that the caller has
	begun bool   // headers and events have gone to the caller
	event bytes.Buffer
}

// giveUp ends a stream that cannot go on. One that has begun is cut, so that
// it does not look complete.
func (relay *relay) giveUp(refusal reach.Reject, cause string) {
	if !relay.begun {
		relay.visit.giveUp(refusal, cause)
		return
	}
	relay.visit.outcome = cause
	panic(http.ErrAbortHandler)
}

// run takes the stream, or the rest of it, from one replica.
func (relay *relay) run(ctx context.Context, candidate *reach.Candidate) result {
	visit := relay.visit
	policy := visit.server.policy
	sent := time.Now()
	ctx, leave := visit.server.enter(ctx, candidate)
	defer leave()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	probe := time.AfterFunc(policy.ProbeAfter+visit.route.LatencyObjective, func() { visit.server.suspect(candidate.ID) })
	defer probe.Stop()
	stall := time.AfterFunc(policy.StallAfter, func() { cancel(errStalled) })
	defer stall.Stop()
	candidate.Load.AddPendingTokens(visit.ask.PromptTokens)
	read := sync.OnceFunc(func() { candidate.Load.AddPendingTokens(-visit.ask.PromptTokens) })
	defer read()
	exchange, err := visit.server.channels.Send(ctx, candidate.Address, visit.requestTo(candidate, relay.last))
	if err != nil {
		return visit.failed(candidate, causeOf(ctx, err), sent)
	}
	if exchange.Response.StatusCode != http.StatusOK {
		return relay.refused(candidate, exchange, sent)
	}
	responseheader := platform.ReadResponseHeader(exchange.Response)
	if visit.ask.AttemptID != "" && responseheader.AttemptID != visit.ask.AttemptID || !responseheader.Receipt || responseheader.Encoded {
		exchange.Close()
		return visit.failed(candidate, errors.Mark(errors.New("entry: the stream is another request's or bears no receipt"), pool.ErrIncompleteResponse), sent)
	}
	err = relay.events(exchange, func() {
		read()
		probe.Reset(policy.ProbeAfter)
		stall.Reset(policy.StallAfter)
	})
	if err != nil {
		exchange.Close()
		return visit.failed(candidate, errors.Mark(causeOf(ctx, err), pool.ErrIncompleteResponse), sent)
	}
	exchange.Release()
	candidate.Load.RecordResult(time.Now(), false, time.Since(sent))
	visit.outcome = "answered"
	if len(visit.tried) > 1 {
		visit.outcome = "answered after a move"
	}
	relay.begin(exchange.Response)
	return answered{response: exchange.Response, word: responseheader}
}

// refused takes in an answer that is no stream.
func (relay *relay) refused(candidate *reach.Candidate, exchange *pool.Exchange, sent time.Time) result {
	visit := relay.visit
	body, err := io.ReadAll(io.LimitReader(exchange.Response.Body, maxWhole))
	if err != nil {
		exchange.Close()
		return visit.failed(candidate, errors.Mark(err, pool.ErrIncompleteResponse), sent)
	}
	judged := visit.judge(candidate, exchange, body, sent)
	whole, ok := judged.(answered)
	if !ok {
		return judged
	}
	if relay.begun || visit.retryable(whole.response.StatusCode) {
		return broken{cause: errors.Newf("entry: status %d", whole.response.StatusCode)}
	}
	visit.outcome = "answered"
	visit.writeWhole(whole.response, body, whole.response.Header)
	return judged
}

// retryable tells whether a stream that failed before its first event may have
// another try.
func (visit *visit) retryable(status int) bool {
	return status >= http.StatusInternalServerError && site.Retryable(visit.route.Kind) && len(visit.tried) < visit.route.MaxAttempts
}

// events hands on whole events until the endpoint's answer ends; an error says
// that it did not end properly.
func (relay *relay) events(exchange *pool.Exchange, progress func()) error {
	reader := bufio.NewReaderSize(exchange.Response.Body, 4<<10)
	for {
		id, err := relay.next(reader)
		if errors.Is(err, io.EOF) && relay.event.Len() == 0 {
			return nil
		}
		if err != nil {
			return err
		}
		progress()
		if err := relay.follows(id); err != nil {
			return err
		}
		relay.begin(exchange.Response)
		if err := relay.forward(); err != nil {
			return err
		}
		if id != "" {
			relay.last = id
		}
	}
}

// next reads one event, up to its empty line, and gives its id.
func (relay *relay) next(reader *bufio.Reader) (string, error) {
	relay.event.Reset()
	id := ""
	for {
		line, err := reader.ReadSlice('\n')
		relay.event.Write(line)
		if errors.Is(err, bufio.ErrBufferFull) && relay.event.Len() < maxEvent {
			continue
		}
		if errors.Is(err, io.EOF) && relay.event.Len() > 0 {
			return "", io.ErrUnexpectedEOF
		}
		if err != nil {
			return "", err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return id, nil
		}
		if value, found := bytes.CutPrefix(text, []byte("id:")); found {
			id = string(bytes.TrimSpace(value))
		}
	}
}

// follows checks that an event is the one after the last.
func (relay *relay) follows(id string) error {
	if id == "" || relay.last == "" {
		return nil
	}
	before, errBefore := strconv.ParseInt(relay.last, 10, 64)
	now, errNow := strconv.ParseInt(id, 10, 64)
	if errBefore != nil || errNow != nil || now == before+1 {
		return nil
	}
	return errors.Wrapf(errSequence, "%d after %d", now, before)
}

// begin sends the headers of the first replica's answer, once.
func (relay *relay) begin(response *http.Response) {
	if relay.begun {
		return
	}
	relay.begun = true
	visit := relay.visit
	visit.status = response.StatusCode
	visit.first = time.Now()
	copyHeaders(visit.w.Header(), response.Header)
	visit.w.WriteHeader(response.StatusCode)
}

func (relay *relay) forward() error {
	now := time.Now()
	if visit := relay.visit; !visit.last.IsZero() {
		visit.pause = max(visit.pause, now.Sub(visit.last))
	}
	relay.visit.last = now
	if _, err := relay.visit.w.Write(relay.event.Bytes()); err != nil {
		return errors.Wrap(err, "entry: writing to the caller")
	}
	return errors.Wrap(http.NewResponseController(relay.visit.w).Flush(), "entry: writing to the caller")
}

// causeOf gives the reason for which a context ended the exchange, if it did.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(err, pool.ErrUnsent) {
		return errors.Mark(errors.Wrap(cause, "entry"), pool.ErrIncompleteResponse)
	}
	return err
}
