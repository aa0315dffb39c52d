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

// AttemptBroken says that an endpoint may have ended when it was to answer a request, was
// answering it, or had just done so.
type AttemptBroken struct {
	Incarnation crash.Incarnation // of the endpoint
	Inputs      []crash.Input
	At          time.Time
	BegunAt     time.Time // when the answer began; zero if it had not
	Ended       bool      // the answer had ended
}

// TrialEnded says how a request that tried a blocked input has ended.
type TrialEnded struct {
	Input   crash.Input
	Crashed bool // its endpoint may have ended
	Passed  bool // it was answered as a whole, and its endpoint has outlived it
}

// WithCrashes sets the functions that are called when an attempt was broken off by its
// endpoint or a recent answer's endpoint may have ended, and when a trial of a blocked input has ended.
func WithCrashes(broken func(AttemptBroken), trialEnded func(TrialEnded)) Option {
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

// endTrial reports the end of the request if it is a trial. One whose endpoint has not
// ended counts as in progress until its answer is not recent any more.
func (request *request) endTrial() {
	if request.trial == nil {
		return
	}
	report := func() {
		crashed := request.broken.Load()
		request.server.trialEnded(TrialEnded{Input: request.trial.Input, Crashed: crashed, Passed: !crashed && request.whole.Load()})
	}
	if request.broken.Load() || !request.whole.Load() {
		report()
		return
	}
	time.AfterFunc(request.server.crashPolicy.Linger, report)
}

// handleBroken handles an attempt whose connection the endpoint's side has ended. Its
// inputs are suspected if the endpoint turns out to have crashed, and so are those of
// its recent answers.
func (request *request) handleBroken(attempt *attempt, err error) {
	request.broken.Store(true)
	candidate, now := attempt.candidate, time.Now()
	event.Log(request.server.log, event.AttemptBroken, zap.String("request", request.header.RequestID), zap.String("endpoint", candidate.ID),
		zap.Strings("parts", request.header.SharedParts), zap.String("input", request.inputID()), zap.Int64("events", attempt.eventCount.Load()), zap.Error(err))
	broken := AttemptBroken{Incarnation: incarnationOf(candidate), Inputs: request.inputs, At: now}
	if attempt.answer != nil {
		broken.BegunAt = attempt.answer.BegunAt
	}
	request.server.attemptBroken(broken)
	request.server.DoubtAnswers(candidate.ID, now)
}

// incarnationOf returns the incarnation of an endpoint that an attempt was sent to.
func incarnationOf(candidate *reach.Candidate) crash.Incarnation {
	return crash.Incarnation{Endpoint: candidate.ID, StartedAt: candidate.StartedAt.UnixMilli()}
}

// newAnswer returns the answer to the request, or to some of its inputs, that begins now.
func (request *request) newAnswer(candidate *reach.Candidate, inputs []crash.Input) *crash.Answer {
	return &crash.Answer{Incarnation: incarnationOf(candidate), Inputs: inputs, BegunAt: time.Now(), Broken: &request.broken}
}

// beginAnswer records that an endpoint has begun to answer with a stream. Another node
// does so for those that come through it.
func (request *request) beginAnswer(attempt *attempt) {
	if attempt.candidate.IsPeer {
		return
	}
	attempt.answer = request.newAnswer(attempt.candidate, request.inputs)
	request.server.settleAnswers(attempt.answer.BegunAt)
	request.server.answers.Begin(attempt.answer)
}

// recordAnswer records that an endpoint has answered as a whole, which counts at once.
func (request *request) recordAnswer(candidate *reach.Candidate, inputs []crash.Input) {
	if candidate.IsPeer {
		return
	}
	answer := request.newAnswer(candidate, inputs)
	request.server.answers.Complete(answer)
	request.server.recordSound(answer)
	request.whole.Store(true)
}

// wholeRequest returns the one of the inputs that stands for the whole request.
func (request *request) wholeRequest() []crash.Input { return request.inputs[len(request.inputs)-1:] }

// DoubtAnswers reports the recent answers of an endpoint that may have ended at a time.
func (server *Server) DoubtAnswers(endpoint string, at time.Time) {
	running, ended := server.answers.Doubt(endpoint, at)
	for _, answer := range running {
		server.attemptBroken(AttemptBroken{Incarnation: answer.Incarnation, Inputs: answer.Inputs, At: at, BegunAt: answer.BegunAt})
	}
	for _, answer := range ended {
		server.attemptBroken(AttemptBroken{Incarnation: answer.Incarnation, Inputs: answer.Inputs, At: at, BegunAt: answer.BegunAt, Ended: true})
	}
}

// settleAnswers counts the answers that their endpoints have outlived.
func (server *Server) settleAnswers(now time.Time) {
	known, outlived := server.answers.Settle(now)
	for _, answer := range known {
		for _, input := range answer.Inputs {
			server.soundUsesOf(input).RecordKnown(input, answer.BegunAt)
		}
	}
	for _, answer := range outlived {
		server.recordSound(answer)
	}
}

// recordSound counts an answer for its inputs.
func (server *Server) recordSound(answer *crash.Answer) {
	for _, input := range answer.Inputs {
		server.soundUsesOf(input).Record(input, answer.BegunAt)
	}
}

// soundUsesOf returns where the answers to requests with an input are counted.
func (server *Server) soundUsesOf(input crash.Input) *crash.SoundUses {
	if input.IsRequest() {
		return server.soundRequests
	}
	return server.soundParts
}

// connectionEnded reports whether an attempt failed because the endpoint, or its host,
// ended the connection, rather than this node or the caller.
func connectionEnded(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET) && errors.Is(err, pool.ErrIncompleteResponse) && !errors.Is(err, errCallerConnection)
}
