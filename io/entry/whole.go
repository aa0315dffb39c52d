package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"hickorybend/core/reach"
	"hickorybend/core/site"
	"hickorybend/io/pool"
	"hickorybend/platform"
)

// maxWhole bounds an answer that is kept until it is whole.
const maxWhole = 16 << 20

// result is what became of one sending: answered, unsent, declined or broken.
type result interface {
	result()
}

// answered is an endpoint's whole answer.
type answered struct {
	response *http.Response
	body     []byte
	word     platform.ResponseHeader
}

// unsent never left this node.
type unsent struct{ cause error }

// declined did not run, by the endpoint's own word.
type declined struct{ word platform.ResponseHeader }

// broken may have run.
type broken struct{ cause error }

func (answered) result() {}
func (unsent) result()   {}
func (declined) result() {}
func (broken) result()   {}

// whole serves a request whose answer is handed back in one piece. The failure
// of one endpoint that was worth a second try is kept, in case nothing better
// comes.
func (visit *visit) whole(ctx context.Context) {
	var last *answered
	missed := visit.offer(ctx, func() bool { return false }, func(candidate *reach.Candidate) result {
		sent := visit.send(ctx, candidate)
		whole, ok := sent.(answered)
		if !ok {
			return sent
		}
		last = &whole
		if visit.worthRepeat(whole) {
			return broken{cause: errors.Newf("entry: status %d", whole.response.StatusCode)}
		}
		return sent
	})
	if last == nil {
		visit.giveUp(missed.refusal, missed.cause)
		return
	}
	visit.outcome = "answered"
	visit.writeWhole(last.response, last.body, last.response.Header)
}

// worthRepeat tells whether a safe request's failure at one endpoint is worth
// a second one.
func (visit *visit) worthRepeat(result answered) bool {
	_, safe := visit.route.Kind.(site.Idempotent)
	return safe && result.response.StatusCode >= http.StatusInternalServerError
}

// send passes the request to one endpoint and waits for its whole answer.
func (visit *visit) send(ctx context.Context, candidate *reach.Candidate) result {
	sent := time.Now()
	if _, safe := visit.route.Kind.(site.Idempotent); safe && len(visit.tried) < visit.route.MaxAttempts {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, visit.server.policy.SafeAttemptTimeout)
		defer cancel()
	}
	ctx, leave := visit.server.enter(ctx, candidate)
	defer leave()
	exchange, err := visit.server.channels.Send(ctx, candidate.Address, visit.requestTo(candidate, ""))
	if err != nil {
		return visit.failed(candidate, err, sent)
	}
	body, err := io.ReadAll(io.LimitReader(exchange.Response.Body, maxWhole))
	if err != nil {
		exchange.Close()
		return visit.failed(candidate, errors.Mark(err, pool.ErrIncompleteResponse), sent)
	}
	return visit.judge(candidate, exchange, body, sent)
}

// judge tells whether an answer is this request's own and whole.
func (visit *visit) judge(candidate *reach.Candidate, exchange *pool.Exchange, body []byte, sent time.Time) result {
	responseheader := platform.ReadResponseHeader(exchange.Response)
	status := exchange.Response.StatusCode
	switch {
	case visit.ask.AttemptID != "" && responseheader.AttemptID != visit.ask.AttemptID:
		exchange.Close()
		return visit.failed(candidate, errors.Mark(errors.New("entry: the answer is another request's"), pool.ErrIncompleteResponse), sent)
	case responseheader.NotExecuted:
		exchange.Release()
		visit.decline(candidate, responseheader, status)
		return declined{word: responseheader}
	case responseheader.Encoded, status < http.StatusMultipleChoices && !responseheader.Receipt, promises(status) && !site.Retryable(visit.route.Kind):
		exchange.Close()
		return visit.failed(candidate, errors.Mark(errors.Newf("entry: status %d without the endpoint's word", status), pool.ErrIncompleteResponse), sent)
	}
	exchange.Release()
	candidate.Load.RecordResult(time.Now(), status >= http.StatusInternalServerError, time.Since(sent))
	return answered{response: exchange.Response, body: body, word: responseheader}
}

// promises tells whether a status says that the request has not run, which an
// endpoint says only with its own word for it.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// decline takes in that an endpoint had no room or is another one.
func (visit *visit) decline(candidate *reach.Candidate, responseheader platform.ResponseHeader, status int) {
	pause := visit.server.policy.FullBackoff
	if status == http.StatusMisdirectedRequest || responseheader.FaultyEndpoint != "" {
		pause = visit.server.policy.UnreachableBackoff
		visit.server.suspect(candidate.ID)
	}
	candidate.Load.Avoid(time.Now().Add(pause))
}

// failed takes in that an endpoint did not answer. One that the caller left,
// or that was cut off from here, is not at fault.
func (visit *visit) failed(candidate *reach.Candidate, err error, sent time.Time) result {
	if visit.r.Context().Err() == nil {
		candidate.Load.RecordResult(time.Now(), true, time.Since(sent))
		visit.server.suspect(candidate.ID)
	}
	if errors.Is(err, pool.ErrUnsent) {
		candidate.Load.Avoid(time.Now().Add(visit.server.policy.UnreachableBackoff))
		return unsent{cause: err}
	}
	return broken{cause: err}
}
