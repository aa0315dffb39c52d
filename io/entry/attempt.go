package entry

import (
	"context"
	"sync/atomic"
	"time"

	"hickorybend/core/crash"
	"hickorybend/core/reach"
	"hickorybend/io/pool"
)

// attempt is one sending of a request to an endpoint.
type attempt struct {
	candidate *reach.Candidate
	ctx       context.Context
	cancel    context.CancelCauseFunc
	sentAt    time.Time
	ticket    uint64       // by which the zone's leader is told of it; 0 if it is not
	silence   *time.Timer  // calls handover.handleSilence
	probe     *time.Timer  // has the endpoint of a stream probed; nil for other requests
	goneAt    atomic.Int64 // Unix nanoseconds from which the endpoint counts as gone if it stays silent; 0 if it has not been reported as lost

	// Of a stream.
	answer        *crash.Answer // that the endpoint has begun; nil before
	complete      bool          // the stream is whole, by more than the end of its connection
	resumeAfter   string        // id of the last event that the caller has received
	pendingTokens int           // of the prompt, until the answer begins
	heldTokens    int           // of the prompt and the longest answer, in the endpoint's memory
	eventCount    atomic.Int64  // complete events that the endpoint has sent
	forwarding    atomic.Bool   // an event is being written to the caller, so the endpoint is not asked for more
	exchange      *pool.Exchange
	reader        *eventReader
	readErr       error // of the last read of an event

	// Of an attempt that was begun beside another one.
	done   chan struct{} // closed when it has brought news or ended; nil for the first attempt
	result result        // once done is closed; nil for a stream that goes on
}

// attempts is a set of attempts.
type attempts map[*attempt]bool

// register counts an attempt as in flight until endAttempt.
func (server *Server) register(attempt *attempt) {
	attempt.candidate.Load.Begin()
	attempt.candidate.Load.AddPendingTokens(attempt.pendingTokens)
	attempt.candidate.Load.Hold(attempt.heldTokens, attempt.sentAt)
	server.mutex.Lock()
	defer server.mutex.Unlock()
	id := attempt.candidate.ID
	if server.attempts[id] == nil {
		server.attempts[id] = attempts{}
	}
	server.attempts[id][attempt] = true
}

// endAttempt undoes register and ends what the attempt still has in progress.
func (server *Server) endAttempt(attempt *attempt) {
	id := attempt.candidate.ID
	server.mutex.Lock()
	delete(server.attempts[id], attempt)
	if len(server.attempts[id]) == 0 {
		delete(server.attempts, id)
	}
	server.mutex.Unlock()
	attempt.cancel(nil)
	attempt.silence.Stop()
	if attempt.probe != nil {
		attempt.probe.Stop()
	}
	attempt.answerBegins()
	server.endAssigned(attempt)
	attempt.candidate.Load.EndHold(attempt.heldTokens)
	attempt.candidate.Load.End()
	switch {
	case attempt.answer == nil:
	case attempt.complete:
		server.answers.Finish(attempt.answer, time.Now())
	default:
		server.answers.Withdraw(attempt.answer, time.Now())
	}
}

// ReportLost reports the first hosts of replicas that have lost a member, or whose
// member does not answer. Attempts there are handed over to other replicas where
// that is possible, and end if they stay silent.
func (server *Server) ReportLost(firstHosts []string) {
	for _, firstHost := range firstHosts {
		server.DoubtAnswers(firstHost, time.Now())
	}
	goneAt := time.Now().Add(server.policy.GoneAfter)
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for _, firstHost := range firstHosts {
		for attempt := range server.attempts[firstHost] {
			attempt.goneAt.CompareAndSwap(0, goneAt.UnixNano())
			attempt.silence.Reset(0)
		}
	}
}

// ReportFound reports the first hosts of replicas whose members all answer again.
func (server *Server) ReportFound(firstHosts []string) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for _, firstHost := range firstHosts {
		for attempt := range server.attempts[firstHost] {
			attempt.goneAt.Store(0)
		}
	}
}

// answerBegins records that the prompt's prefill is no longer pending.
func (attempt *attempt) answerBegins() {
	attempt.candidate.Load.AddPendingTokens(-attempt.pendingTokens)
	attempt.pendingTokens = 0
}

// recordEvent records an event of a stream, which ends the endpoint's silence.
func (attempt *attempt) recordEvent(policy Policy) {
	attempt.eventCount.Add(1)
	attempt.answerBegins()
	attempt.goneAt.Store(0)
	attempt.probe.Reset(policy.ProbeAfter)
	attempt.silence.Reset(policy.StallAfter)
}

// reportedLost reports whether the endpoint has been reported as lost and neither found
// nor heard since.
func (attempt *attempt) reportedLost() bool { return attempt.goneAt.Load() != 0 }

// gone reports whether the endpoint counts as gone: it has been reported as lost, and
// has been silent for too long since.
func (attempt *attempt) gone(now time.Time) bool {
	goneAt := attempt.goneAt.Load()
	return goneAt != 0 && now.UnixNano() >= goneAt
}
