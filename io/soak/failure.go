package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"hickorybend/platform/fakes"
)

// failure is an answer that was cut off, or a 502. Whether a fault excuses it is decided
// at the end: the heartbeats that show a fault may come later.
type failure struct {
	record  *record
	at      time.Time
	answer  fakes.Answer
	runners []string // that ran the request, with their replicas
}

// membersOf returns the members of the replica that a runner last was the first host of,
// or the runner alone.
func (checker *checker) membersOf(id string) []string {
	members := []string{id}
	if runner := checker.runners[id]; runner != nil {
		members = append(members, runner.lastMembership.Members...)
	}
	return members
}

// recordFailure records an answer that was cut off, or a 502.
func (checker *checker) recordFailure(record *record, answer fakes.Answer) {
	if !record.disconnectedAt.IsZero() {
		return
	}
	failure := failure{record: record, at: checker.now(), answer: answer}
	for _, execution := range record.executions {
		for _, id := range checker.membersOf(execution.Runner) {
			if member := checker.runners[id]; member != nil {
				checker.recordUnresponsive(id, member.heartbeatAt)
			}
			failure.runners = append(failure.runners, id)
		}
	}
	checker.failures = append(checker.failures, failure)
}

// checkFailures reports answers that were cut off although the node, its callers' link
// and the replica that ran the request had no fault. A planned restart of the node is no
// fault here, and neither is a pause of runners. Requests that were in progress when a node was cut
// off are left out: the node may have sent them on to that one.
func (checker *checker) checkFailures() {
	lostAnswers := 0
	for _, failure := range checker.failures {
		record := failure.record
		for _, execution := range record.executions {
			failure.runners = append(append(failure.runners, execution.Runner), execution.members...)
		}
		components := []string{nodeComponent(record.node), callerLinkComponent(record.node)}
		for _, runner := range failure.runners {
			components = append(components, runnerComponent(runner))
		}
		paused := slices.ContainsFunc(failure.runners, func(runner string) bool {
			return checker.timeline.duration(pauseComponent(runner), record.sentAt, failure.at) > 0
		})
		switch {
		case len(record.executions) == 0:
		case checker.timeline.duration(cutComponent, record.sentAt, failure.at) > 0:
		case failure.answer.Err == nil:
			checker.checkBadGateway(failure, paused)
		case !checker.timeline.faultFree(record.sentAt, failure.at, components...):
		case paused && checker.timeline.faultFree(record.sentAt, failure.at, nodeRestartComponent(record.node)):
			checker.addFailure(InvariantPauses, failure)
		default:
			lostAnswers++
			if lostAnswers > toleratedViolations {
				checker.addFailure(InvariantNoLostAnswers, failure)
			}
		}
	}
}

// checkBadGateway reports a 502 during a pause of a runner that ran the request, if
// nothing else had a fault.
func (checker *checker) checkBadGateway(failure failure, paused bool) {
	record := failure.record
	components := []string{nodeComponent(record.node), nodeRestartComponent(record.node), callerLinkComponent(record.node)}
	for id := range checker.runners {
		components = append(components, runnerComponent(id))
	}
	if paused && !record.rejected && checker.timeline.faultFree(record.sentAt, failure.at, components...) {
		checker.addFailure(InvariantPauses, failure)
	}
}

func (checker *checker) addFailure(invariant string, failure failure) {
	text := fmt.Sprintf("%s: answer cut off at node %d: %v", failure.record.request.ID, failure.record.node+1, failure.answer.Err)
	if failure.answer.Err == nil {
		text = fmt.Sprintf("%s: status %d from node %d", failure.record.request.ID, http.StatusBadGateway, failure.record.node+1)
	}
	checker.findings = append(checker.findings, Finding{At: failure.at, Invariant: invariant, Text: text})
}
