package soak

import (
	"strconv"
	"strings"
	"time"

	"hickorybend/platform/fakes"
)

const (
	busyNotice      = 500 * time.Millisecond // after a rejection until a node sends the runner nothing
	toleratedBusy   = 2                      // requests from a node between busyNotice and the end of Retry-After
	crashesToBlock  = 5                      // after which requests with a crashing part are blocked
	crashNotice     = 3 * time.Second        // until all nodes block them
	toleratedBlocks = 3                      // requests with a crashing part that runners get later than that, per run
)

// busyRunner is a runner that has asked a node for no requests.
type busyRunner struct {
	node   int
	runner string
}

// busyTime is a time for which a runner has asked a node for no requests.
type busyTime struct {
	from, until time.Time
	arrivals    int // in this time, without busyNotice
}

// RecordRejection records and checks that a runner rejects a request and asks for none
// for a time.
func (checker *checker) RecordRejection(rejection fakes.Rejection) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	record := checker.requests[rejection.RequestID]
	seconds, err := strconv.ParseFloat(rejection.RetryAfter, 64)
	if record == nil || err != nil {
		checker.addFinding(InvariantUnchangedRequest, "%s rejects %q with Retry-After %q", rejection.Runner, rejection.RequestID, rejection.RetryAfter)
		return
	}
	checker.checkBusy(record, rejection.Runner)
	record.rejected = true
	busy := busyRunner{node: record.node, runner: rejection.Runner}
	checker.busyTimes[busy] = append(checker.busyTimes[busy], &busyTime{from: checker.now(), until: checker.now().Add(time.Duration(seconds * float64(time.Second)))})
}

// checkBusy reports the request that is one too many for a runner that has asked for
// none, if neither the runner nor the node had a fault since.
func (checker *checker) checkBusy(record *record, runner string) {
	now := checker.now()
	for _, busytime := range checker.busyTimes[busyRunner{node: record.node, runner: runner}] {
		if now.Sub(busytime.from) <= busyNotice || !now.Before(busytime.until) {
			continue
		}
		busytime.arrivals++
		if busytime.arrivals == toleratedBusy+1 && checker.timeline.faultFree(busytime.from, now, nodeComponent(record.node), nodeRestartComponent(record.node), runnerComponent(runner), pauseComponent(runner)) {
			checker.addFinding(InvariantRetryAfter, "%d requests from node %d reach %s until %s after it has asked for none for %s", busytime.arrivals, record.node+1, runner, now.Sub(busytime.from), busytime.until.Sub(busytime.from))
		}
	}
}

// checkCrashingPart reports requests that crash runners later than crashNotice after
// the crash by which all nodes should block them, if their nodes were without a fault.
func (checker *checker) checkCrashingPart(record *record, execution fakes.Execution) {
	if !strings.Contains(record.request.Parts, crashPart+":") {
		return
	}
	now := checker.now()
	if len(checker.crashes) >= crashesToBlock && now.Sub(checker.crashes[crashesToBlock-1]) > crashNotice &&
		checker.timeline.faultFree(record.sentAt, now, nodeComponent(record.node), nodeRestartComponent(record.node), storeLinkComponent(record.node), storeComponent) {
		checker.lateCrashes++
		if checker.lateCrashes > toleratedBlocks {
			checker.addFinding(InvariantCrashingPart, "%s runs %s, though %d requests with its part have crashed runners", execution.Runner, execution.RequestID, len(checker.crashes))
		}
	}
	checker.recordCrash(execution)
}

// recordCrash records that a runner is about to crash, once for each of its incarnations.
// The crash is a fault of the runner even if its process is ended before it has started
// again, so that no heartbeat shows it.
func (checker *checker) recordCrash(execution fakes.Execution) {
	runner := checker.runners[execution.Runner]
	if runner == nil || !runner.crashedAt.IsZero() {
		return
	}
	runner.crashedAt = checker.now()
	checker.crashes = append(checker.crashes, runner.crashedAt)
	checker.timeline.addFault(runnerComponent(execution.Runner), runner.crashedAt, runner.crashedAt.Add(crashDowntime))
}
