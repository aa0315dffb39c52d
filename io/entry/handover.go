package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"hickorybend/core/reach"
	"hickorybend/core/site"
	"hickorybend/io/event"
)

// The causes for which a node ends an attempt. The texts of the last two can reach the
// caller in the body of a 502.
var (
	errTakenOver = errors.New("entry: another endpoint has answered meanwhile")
	errNotNeeded = errors.New("entry: the endpoint that was silent has gone on")
	errGone      = errors.New("entry: the replica lost a member")
	errSilent    = errors.New("entry: the endpoint does not answer, and there are others")
)

// handover lets another endpoint take over a request whose endpoint is silent.
//
// Silence does not show that an endpoint is gone: a sound one may pause for a second
// or two and then go on. So a silent attempt is not ended; another one is begun beside
// it, if one is allowed and an endpoint has room. The first of the two that brings
// news, the next event of a stream or a complete answer, goes on, and the other one is
// ended.
//
// For example, the stream from endpoint a is silent after event 7, and endpoint b is
// asked for the events after 7. If event 8 comes from a first, the attempt at b is
// ended. If it comes from b, the one at a is. If b rejects the request, the node goes on
// waiting for a, and looks for another endpoint every HandoverInterval.
type handover struct {
	request *request
	ctx     context.Context
	attend  func(*attempt) (news bool) // makes an attempt until it has brought news or has ended; sets its result

	mutex       sync.Mutex
	current     *attempt // the one whose news the caller gets; nil between two runs
	second      *attempt // beside it; nil if there is none
	takenOver   bool     // by second, which has brought news
	settled     bool     // the current attempt has ended or has brought its last news, so no other one begins
	lastEventID string   // of a stream: the id of the last event that is for the caller
}

func newHandover(ctx context.Context, request *request, attend func(*attempt) bool) *handover {
	return &handover{request: request, ctx: ctx, attend: attend, lastEventID: request.header.LastEventID}
}

// run makes an attempt at an endpoint, and those that take over from it. The function
// follow is called for each of them, until one has answered or the last has ended.
func (handover *handover) run(candidate *reach.Candidate, follow func(*attempt) result) result {
	handover.mutex.Lock()
	current := handover.begin(candidate)
	handover.current, handover.settled = current, false
	handover.mutex.Unlock()
	for {
		outcome := follow(current)
		next := handover.finish(outcome)
		if next == nil {
			return outcome
		}
		current = next
	}
}

// await makes the attempt, or waits for one that was begun beside another one, until it
// has brought news or ended. It returns its result, which is nil for a stream that goes
// on.
func (handover *handover) await(attempt *attempt) result {
	if attempt.done == nil {
		handover.attend(attempt)
	} else {
		<-attempt.done
	}
	if attempt.result != nil {
		handover.settle()
	}
	return attempt.result
}

// begin begins an attempt. The mutex must be held.
func (handover *handover) begin(candidate *reach.Candidate) *attempt {
	request := handover.request
	policy := request.server.policy
	request.tried = append(request.tried, candidate.ID)
	if candidate.IsPeer {
		request.peersTried++
	}
	attempt := &attempt{candidate: candidate, sentAt: time.Now(), pendingTokens: request.header.PromptTokens, heldTokens: request.header.PromptTokens + request.answerTokens(), resumeAfter: handover.lastEventID}
	attempt.ctx, attempt.cancel = context.WithCancelCause(handover.ctx)
	patience := policy.AnswerPatience
	if _, stream := request.route.Kind.(site.Stream); stream {
		patience = policy.StallAfter
		attempt.probe = time.AfterFunc(policy.ProbeAfter+request.route.LatencyObjective, func() { request.server.suspect(candidate.ID) })
	}
	attempt.silence = time.AfterFunc(patience, func() { handover.handleSilence(attempt) })
	attempt.ticket = request.beginAssigned(candidate)
	request.server.register(attempt)
	return attempt
}

// handleSilence begins another attempt beside a silent one if possible, and otherwise
// comes back later. It ends an attempt whose endpoint is gone.
func (handover *handover) handleSilence(attempt *attempt) {
	handover.mutex.Lock()
	defer handover.mutex.Unlock()
	if attempt.ctx.Err() != nil || handover.settled {
		return
	}
	if attempt.forwarding.Load() {
		attempt.silence.Reset(handover.request.server.policy.StallAfter)
		return
	}
	second := attempt == handover.second && !handover.takenOver
	switch {
	case attempt.gone(time.Now()), second && attempt.reportedLost():
		attempt.cancel(errGone)
		return
	case second && handover.request.hasAlternative():
		attempt.cancel(errSilent) // the first one goes on
		return
	}
	if !site.Retryable(handover.request.route.Kind) && !attempt.reportedLost() {
		return // nothing can take the request over; ReportLost comes back to it
	}
	if attempt == handover.current && handover.second == nil {
		handover.beginSecond()
	}
	attempt.silence.Reset(handover.request.server.policy.HandoverInterval)
}

// beginSecond begins an attempt beside the current one, if one is allowed and an
// endpoint has room. Many requests can be silent together, so one chooses after the other:
// each sees the room that those before it have taken. The mutex must be held.
func (handover *handover) beginSecond() {
	request := handover.request
	request.server.seconds.Lock()
	defer request.server.seconds.Unlock()
	candidate := request.chooseSecond()
	if candidate == nil {
		return
	}
	silent := handover.current
	second := handover.begin(candidate)
	second.done = make(chan struct{})
	handover.second = second
	event.Log(request.server.log, event.AttemptHandover, zap.String("request", request.header.RequestID), zap.String("endpoint", silent.candidate.ID), zap.String("other", candidate.ID),
		zap.Int64("events", silent.eventCount.Load()), zap.Bool("lost", silent.reportedLost()), zap.Duration("age", time.Since(silent.sentAt)))
	go func() {
		defer close(second.done)
		handover.handleOutcome(second, handover.attend(second))
	}()
}

// handleOutcome handles the outcome of an attempt that was begun beside another one.
func (handover *handover) handleOutcome(second *attempt, news bool) {
	handover.mutex.Lock()
	defer handover.mutex.Unlock()
	switch {
	case second == handover.current: // the other one has ended meanwhile; run looks at the outcome
	case news && second.ctx.Err() == nil:
		handover.takenOver = true
		handover.current.cancel(errTakenOver)
	default:
		handover.drop(second)
		if errors.Is(context.Cause(second.ctx), errSilent) && !handover.settled {
			handover.beginSecond()
		}
	}
}

// drop ends the second attempt. The mutex must be held.
func (handover *handover) drop(second *attempt) {
	handover.request.recordOutcome(second, second.result)
	if second.exchange != nil {
		second.exchange.Close()
	}
	handover.request.server.endAttempt(second)
	handover.second, handover.takenOver = nil, false
}

// recordOutcome records whether an attempt may have run the request, and whether an
// endpoint may have received it. A nil result is that of a stream that was not read to its
// end.
func (request *request) recordOutcome(attempt *attempt, outcome result) {
	isPeer := attempt.candidate.IsPeer
	switch outcome.(type) {
	case unsent, noRoom:
		request.notRun++
		if !isPeer {
			request.unreached++
		}
	case notExecuted:
		request.notRun++
		if !isPeer {
			request.arrivals++
		}
	default:
		request.arrivals++
		request.mayHaveRun = true
	}
}

// advance reports whether the current attempt may go on with an event that has the given
// id. It may not if another attempt has taken over. One that has not yet is ended.
func (handover *handover) advance(id string) bool {
	handover.mutex.Lock()
	defer handover.mutex.Unlock()
	if handover.takenOver {
		return false
	}
	if handover.second != nil {
		handover.second.cancel(errNotNeeded)
	}
	if id != "" {
		handover.lastEventID = id
	}
	return true
}

// conclude does the same for the last news of the request: the end of a stream or a
// complete answer.
func (handover *handover) conclude() bool {
	if !handover.advance("") {
		return false
	}
	handover.settle()
	return true
}

// settle keeps other attempts from being begun. From then on the attempts do not change
// but for the second one.
func (handover *handover) settle() {
	handover.mutex.Lock()
	defer handover.mutex.Unlock()
	handover.settled = true
}

// finish ends the current attempt, and returns the one that goes on in its place: nil
// if the request has been answered or no other attempt is left.
func (handover *handover) finish(outcome result) *attempt {
	_, answered := outcome.(answered)
	over := answered || handover.ctx.Err() != nil
	handover.mutex.Lock()
	defer handover.mutex.Unlock()
	request := handover.request
	request.recordOutcome(handover.current, outcome)
	handover.settled = true
	if second := handover.second; second != nil && (over || second.ctx.Err() != nil) {
		second.cancel(errNotNeeded)
		handover.mutex.Unlock()
		<-second.done
		handover.mutex.Lock()
		if handover.second == second {
			handover.drop(second) // it had taken over when the request's time ran out
		}
	}
	request.server.endAttempt(handover.current)
	handover.current, handover.second, handover.takenOver = handover.second, nil, false
	handover.settled = handover.current == nil
	return handover.current
}

// chooseSecond chooses an endpoint for an attempt beside the present one, or returns nil
// if none is allowed or no endpoint has room.
func (request *request) chooseSecond() *reach.Candidate {
	if !request.hasAlternative() {
		return nil
	}
	server, now := request.server, time.Now()
	snapshot := server.snapshot.Load()
	send, chosen := request.chooseCandidate(snapshot, true, request.chooseAlone).(reach.Send)
	if !chosen || !server.withdrawRetry(request.service, now, snapshot.Nodes) {
		return nil
	}
	return send.Candidate
}

// hasAlternative reports whether another attempt beside the present ones is allowed and an
// endpoint has room for it.
func (request *request) hasAlternative() bool {
	server, now := request.server, time.Now()
	snapshot := server.snapshot.Load()
	return site.Retryable(request.route.Kind) && !request.suspected && request.attemptsLeft(now) && !snapshot.Blocks(request.inputs) &&
		server.allowsRetry(request.service, now, snapshot.Nodes) &&
		(reach.HasRoom(server.routing, snapshot.Services[request.service], request.routingRequest(true)) || request.choosePeer(snapshot, true) != nil)
}
