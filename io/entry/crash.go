package entry

import (
	"io"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"hickorybend/core/crash"
	"hickorybend/core/reach"
	"hickorybend/io/event"
	"hickorybend/io/pool"
)

// AttemptBroken says that the connection of an attempt has ended before the endpoint
// had answered enough to show that the prompt is sound.
type AttemptBroken struct {
	Endpoint  string
	StartedAt time.Time // of the incarnation of the endpoint
	Inputs    []crash.Input
	At        time.Time
}

// WithCrashes sets the functions that are called when an attempt was broken off by its
// endpoint, and when a trial of a blocked input has ended.
func WithCrashes(broken func(AttemptBroken), trialEnded func(input crash.Input, crashed bool)) Option {
	return func(server *Server) { server.attemptBroken, server.trialEnded = broken, trialEnded }
}

// identity returns the input that stands for the whole request and its repetitions. Its
// headers are left out: IDs, deadlines and idempotency keys differ from one repetition
// to the next.
func (request *request) identity() crash.Input {
	return crash.Request{
		Method: request.r.Method, Host: strings.ToLower(request.r.Host), Target: request.r.URL.RequestURI(), Team: request.team, Body: request.body,
	}.Input()
}

// inputID returns the ID of the input that stands for the whole request, or an empty
// string if the request was not admitted.
func (request *request) inputID() string {
	if len(request.inputs) == 0 {
		return ""
	}
	return request.inputs[len(request.inputs)-1].ID
}

// findBlocked returns why the request may not be sent because of one of its inputs.
// A request that gets the permission to try a blocked input is sent once.
func (request *request) findBlocked() (reach.Blocked, bool) {
	if len(request.snapshot.Blocked) == 0 {
		return reach.Blocked{}, false
	}
	for _, input := range request.inputs {
		blocked, found := request.snapshot.Blocked[input]
		if found && !request.claimTrial(blocked) {
			return blocked, true
		}
	}
	return reach.Blocked{}, false
}

// claimTrial reports whether the request is the trial of a blocked input, or becomes it.
func (request *request) claimTrial(blocked reach.Blocked) bool {
	switch {
	case request.mayHaveRun || blocked.Trial == nil:
		return false
	case request.trial != nil:
		return request.trial == blocked.Trial
	case !blocked.Trial.Claim():
		return false
	}
	request.trial = blocked.Trial
	return true
}

// endTrial reports the end of the request if it is a trial.
func (request *request) endTrial() {
	if request.trial != nil {
		request.server.trialEnded(request.trial.Input, request.broken.Load())
	}
}

// handleBroken handles an attempt whose connection the endpoint's side has ended. The
// inputs are suspected if the endpoint turns out to have crashed, unless
// it had answered for long enough to show that they are sound.
func (request *request) handleBroken(attempt *attempt, err error) {
	request.broken.Store(true)
	candidate := attempt.candidate
	event.Log(request.server.log, event.AttemptBroken, zap.String("request", request.header.RequestID), zap.String("endpoint", candidate.ID),
		zap.Strings("parts", request.header.SharedParts), zap.String("input", request.inputID()), zap.Int("events", attempt.eventCount), zap.Error(err))
	if attempt.eventCount < request.server.soundEvents {
		request.server.attemptBroken(AttemptBroken{Endpoint: candidate.ID, StartedAt: candidate.StartedAt, Inputs: request.inputs, At: time.Now()})
	}
}

// recordSound records that an endpoint has answered the request.
func (request *request) recordSound() {
	now := time.Now()
	if parts := request.inputs[:len(request.inputs)-1]; len(parts) > 0 {
		request.server.soundTimes.Record(parts, now)
	}
	request.recordRequestSound(now)
}

// recordRequestSound records that an endpoint has answered the whole request, which need
// not mean that it has read the prompt.
func (request *request) recordRequestSound(now time.Time) {
	request.server.soundRequests.Record(request.inputs[len(request.inputs)-1:], now)
}

// connectionEnded reports whether an attempt failed because the endpoint, or its host,
// ended the connection, rather than this node or the caller.
func connectionEnded(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET) && errors.Is(err, pool.ErrIncompleteResponse) && !errors.Is(err, errCallerConnection)
}
