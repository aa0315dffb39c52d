package soak

import "hickorybend/platform/fakes"

// checkRuns reports a request that runs in an attempt that was answered as not run, or a request
// that may run once and runs more often than there are attempts that were not.
func (checker *checker) checkRuns(record *record, execution fakes.Execution) {
	attempts, runs := 0, []executionRecord(nil)
	for attempt := checker.requests[execution.RequestID]; attempt != nil; attempt = attempt.previous {
		runs = append(runs, attempt.executions...)
		if !attempt.notRun {
			attempts++
		}
	}
	if record.kind == kindAtMostOnce && (len(record.executions) > 0 || len(runs) >= max(1, attempts)) {
		checker.addFinding(InvariantAtMostOnce, "%s runs %s again, after %s", execution.Runner, execution.RequestID, runs[0].Runner)
	}
	if record.notRun {
		checker.addFinding(InvariantNotRun, "%s runs %s, which was answered as not run", execution.Runner, execution.RequestID)
	}
}

// checkPromise reports an attempt that is answered as not run but has run, or that is rejected
// without Retry-After.
func (checker *checker) checkPromise(record *record, answer fakes.Answer) {
	record.notRun = true
	if len(record.executions) > 0 {
		checker.addFinding(InvariantNotRun, "%s: status %d, but %s ran it", record.request.ID, answer.Status, record.executions[0].Runner)
	}
	if answer.RetryAfter <= 0 {
		checker.addFinding(InvariantAccess, "%s: status %d without Retry-After", record.request.ID, answer.Status)
	}
}

// attempt returns the record of an attempt at a request, or nil.
func (checker *checker) attempt(id string, number int) *record {
	record := checker.requests[id]
	for record != nil && record.request.Attempt != number {
		record = record.previous
	}
	return record
}

// checkAttempts reports attempts of callers in which a request ran at more endpoints than its kind
// allows. Endpoints that had a fault do not count.
func (checker *checker) checkAttempts() {
	overLimit := 0
	for id, record := range checker.requests {
		for ; record != nil; record = record.previous {
			runners := map[string]bool{}
			for _, execution := range record.executions {
				if checker.timeline.faultFree(record.sentAt, execution.beganAt, runnerComponent(execution.Runner), pauseComponent(execution.Runner)) {
					runners[execution.Runner] = true
				}
			}
			if len(runners) > record.kind.maxAttempts() {
				overLimit++
			}
			if overLimit > toleratedViolations {
				checker.addFinding(InvariantRetryBudget, "%s ran at %d endpoints that had no fault", id, len(runners))
				return
			}
		}
	}
}
