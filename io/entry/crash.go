package entry

import (
	"io"
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
	Parts     []crash.Part
	At        time.Time
}

// WithCrashes sets the functions that are called when an attempt was broken off by its
// endpoint, and when a trial of a blocked part has ended.
func WithCrashes(broken func(AttemptBroken), trialEnded func(part crash.Part, crashed bool)) Option {
	return func(server *Server) { server.attemptBroken, server.trialEnded = broken, trialEnded }
}

// findBlocked returns why the request may not be sent because of a part of its prompt.
// A request that gets the permission to try a blocked part is sent once.
func (request *request) findBlocked() (reach.Blocked, bool) {
	if len(request.snapshot.Blocked) == 0 {
		return reach.Blocked{}, false
	}
	for _, part := range request.parts {
		blocked, found := request.snapshot.Blocked[part]
		if found && !request.claimTrial(blocked) {
			return blocked, true
		}
	}
	return reach.Blocked{}, false
}

// claimTrial reports whether the request is the trial of a blocked part, or becomes it.
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
		request.server.trialEnded(request.trial.Part, request.broken.Load())
	}
}

// handleBroken handles an attempt whose connection the endpoint's side has ended. The
// parts of the prompt are suspected if the endpoint turns out to have crashed, unless
// it had answered for long enough to show that they are sound.
func (request *request) handleBroken(attempt *attempt, err error) {
	request.broken.Store(true)
	candidate := attempt.candidate
	event.Log(request.server.log, event.AttemptBroken, zap.String("request", request.header.RequestID), zap.String("endpoint", candidate.ID),
		zap.Strings("parts", request.header.SharedParts), zap.Int("events", attempt.eventCount), zap.Error(err))
	if len(request.parts) > 0 && attempt.eventCount < request.server.soundEvents {
		request.server.attemptBroken(AttemptBroken{Endpoint: candidate.ID, StartedAt: candidate.StartedAt, Parts: request.parts, At: time.Now()})
	}
}

// recordSound records that an endpoint has answered the request's prompt.
func (request *request) recordSound() {
	if len(request.parts) > 0 {
		request.server.soundTimes.Record(request.parts, time.Now())
	}
}

// connectionEnded reports whether an attempt failed because the endpoint, or its host,
// ended the connection, rather than this node or the caller.
func connectionEnded(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET) && errors.Is(err, pool.ErrIncompleteResponse) && !errors.Is(err, errCallerConnection)
}
