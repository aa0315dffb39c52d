package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"hickorybend/platform/fakes"
)

// Finding is a violation of an invariant.
type Finding struct {
	At        time.Time
	Invariant string
	Text      string
}

// The invariants, by the names that findings show.
const (
	InvariantIntactAnswers     = "whole answers"          // each caller gets the complete, unchanged answer to its own request
	InvariantAtMostOnce        = "at most once"           // a request that is not idempotent runs at most once
	InvariantNotRun            = "not run means not run"  // a request answered as not run never runs
	InvariantUnchangedRequest  = "requests as they came"  // endpoints get what callers sent, with the team and without the key
	InvariantReplicaReady      = "whole replicas"         // a request begins only in a replica whose members were all ready
	InvariantOneReplicaPerHost = "one replica a host"     // a host joins a replica only when the first host of its previous one cannot serve
	InvariantAccess            = "nobody denied"          // no 401 or 404 for an allowed request, and Retry-After with each rejection
	InvariantConfigPropagation = "changes everywhere"     // nodes apply a change within configBound and do not revert
	InvariantDrain             = "drains respected"       // no new requests for a draining endpoint after drainBound
	InvariantEvacuation        = "evacuated zones"        // no request begins in the zone evacuationBound after its row was written
	InvariantLeaving           = "leaving endpoints"      // no request to an endpoint leavingBound after the node has passed on that it leaves
	InvariantRetryBudget       = "retry budget"           // retries within the budget, and attempts within maxAttempts
	InvariantCancellation      = "callers that left"      // no request begins cancellationTimeout after its caller disconnected
	InvariantNoLostAnswers     = "answers not lost"       // no answer is cut off without a fault
	InvariantPauses            = "pauses cut nothing off" // no answer is cut off, or replaced by 502, because runners pause
	InvariantRetryAfter        = "busy endpoints"         // an endpoint that asks for no requests for a time gets hardly any then
	InvariantCrashingPart      = "crashing prompt parts"  // requests that crash endpoints are blocked
	InvariantProcessAlive      = "processes live"         // programs start, nodes exit only when stopped, and then in time
	InvariantRecovery          = "recovery"               // requests are served at the start and after the last fault
)

const (
	stallTimeout        = 3 * time.Second        // after which a first host without one of its members stops serving; in the nodes' settings too. Longer than maxPause
	configBound         = 2 * time.Second        // after which a node without faults has applied a change of the configuration
	drainBound          = 2 * time.Second        // after which a node without faults sends a draining endpoint nothing
	leavingBound        = 50 * time.Millisecond  // after which a node sends nothing to an endpoint that has said in an answer that it leaves
	propagationTimeout  = 5 * time.Second        // after which nodes with faults have applied a change, too
	cancellationTimeout = 500 * time.Millisecond // after which no request of a disconnected caller begins at an endpoint
	toleratedLateStarts = 3                      // requests that begin too late after their caller disconnected, per run
	toleratedViolations = 3                      // lost answers, and requests with too many attempts, per run
	budgetWindow        = 10 * time.Second       // with the two below: the retry budget in the nodes' settings
	budgetRatio         = 0.2
	budgetExtra         = 20.0
	heartbeatTimeout    = 400 * time.Millisecond // after which a member without a heartbeat counts as unresponsive
)

// kind is how often a request may run, and which service it is for.
type kind int

const (
	kindIdempotent kind = iota
	kindAtMostOnce
	kindStream // may be resumed at another endpoint
)

// maxAttempts returns how many endpoints may run a request.
func (kind kind) maxAttempts() int {
	if kind == kindAtMostOnce {
		return 1
	}
	return 2
}

func (kind kind) service() string {
	if kind == kindStream {
		return fakes.ServiceModels
	}
	return fakes.ServicePlain
}

// record is an attempt of a caller at a request with its executions and its outcome. All attempts at
// a request have its ID.
type record struct {
	previous       *record // the attempt before
	request        fakes.Request
	kind           kind
	node           int
	sentAt         time.Time
	disconnectedAt time.Time // when the caller closed its connection before the answer was complete
	notRun         bool      // the answer's status means that the request has not run
	executions     []executionRecord
	rejected       bool // an endpoint has rejected it with Retry-After
}

// executionRecord is an execution that a runner began.
type executionRecord struct {
	fakes.Execution
	beganAt time.Time
	members []string // of the runner's replica
}

// runner is the state of a runner by its last heartbeat.
type runner struct {
	fakes.Heartbeat
	heartbeatAt    time.Time
	lastMembership fakes.Heartbeat // the last one of this incarnation that names a replica
	exited         bool            // the process has exited
	crashedAt      time.Time       // when it began a request on which it crashes
}

// checker checks the invariants on what callers and runners observe.
type checker struct {
	mutex          sync.Mutex
	timeline       *timeline
	now            func() time.Time
	events         int                  // number in each stream
	requests       map[string]*record   // the latest attempts by request id
	runners        map[string]*runner   // by name
	readyMembers   map[string]bool      // members that were ready, by readyKey
	drainingSince  map[string]time.Time // by runner: when the store first listed it as draining
	leavingNotices map[leavingNotice]time.Time
	revokedKeys    map[string]bool
	evacuatedSince time.Time // of leftZone; zero while it is not evacuated
	services       map[string]*traffic
	failures       []failure
	busyTimes      map[busyRunner][]*busyTime
	crashes        []time.Time // of runners
	lateCrashes    int         // that should have been blocked
	lateStarts     int         // requests that began more than cancellationTimeout after their caller disconnected
	findings       []Finding
}

// leavingNotice is a node that has passed on an answer in which an endpoint says that it
// leaves.
type leavingNotice struct {
	node   int
	runner string
}

// traffic holds the times of the requests for one service and of their retries.
type traffic struct {
	requests []time.Time
	retries  []time.Time // executions of a request after its first
}

func newChecker(timeline *timeline, events int) *checker {
	return &checker{
		timeline: timeline, now: time.Now, events: events, requests: map[string]*record{}, runners: map[string]*runner{},
		readyMembers: map[string]bool{}, drainingSince: map[string]time.Time{}, leavingNotices: map[leavingNotice]time.Time{}, revokedKeys: map[string]bool{}, services: map[string]*traffic{},
		busyTimes: map[busyRunner][]*busyTime{},
	}
}

// addFinding adds a finding; the caller holds the mutex.
func (checker *checker) addFinding(invariant, format string, values ...any) {
	checker.findings = append(checker.findings, Finding{At: checker.now(), Invariant: invariant, Text: fmt.Sprintf(format, values...)})
}

// report adds a finding from outside the checker.
func (checker *checker) report(invariant, format string, values ...any) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.addFinding(invariant, format, values...)
}

func readyKey(id, replica string, epoch int64, members []string) string {
	return fmt.Sprint(id, "/", replica, "/", epoch, "/", members)
}

// Heartbeat records a runner's heartbeat and reports whether its replica is
// complete. It checks that a runner that joins a replica may do so.
func (checker *checker) Heartbeat(heartbeat fakes.Heartbeat) bool {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	known := checker.runners[heartbeat.ID]
	if known != nil && outdated(heartbeat, known.Heartbeat) {
		return checker.complete(known.Heartbeat)
	}
	if known != nil && (known.StartedAt != heartbeat.StartedAt || heartbeat.Phase == "broken") {
		checker.timeline.addFault(runnerComponent(heartbeat.ID), known.heartbeatAt, checker.now())
	}
	if known == nil || known.StartedAt != heartbeat.StartedAt {
		known = &runner{}
		checker.runners[heartbeat.ID] = known
	}
	if heartbeat.Replica != "" && (heartbeat.Replica != known.lastMembership.Replica || heartbeat.Epoch != known.lastMembership.Epoch) {
		checker.checkJoin(known, heartbeat)
	}
	checker.recordUnresponsive(heartbeat.ID, known.heartbeatAt)
	known.Heartbeat, known.heartbeatAt = heartbeat, checker.now()
	if heartbeat.Replica != "" {
		known.lastMembership = heartbeat
	}
	if heartbeat.Phase == "ready" || heartbeat.Phase == "open" {
		checker.readyMembers[readyKey(heartbeat.ID, heartbeat.Replica, heartbeat.Epoch, heartbeat.Members)] = true
	}
	return checker.complete(heartbeat)
}

// outdated reports whether a heartbeat was sent before another one of the same runner. A runner gives up waiting for
// the reply to a heartbeat and sends the next one, so that the first may be handled last.
func outdated(heartbeat, known fakes.Heartbeat) bool {
	if heartbeat.StartedAt != known.StartedAt {
		return heartbeat.StartedAt < known.StartedAt
	}
	return heartbeat.Sequence < known.Sequence
}

// isOutdated reports whether a later heartbeat of the same runner has been handled.
func (checker *checker) isOutdated(heartbeat fakes.Heartbeat) bool {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	known := checker.runners[heartbeat.ID]
	return known != nil && outdated(heartbeat, known.Heartbeat)
}

// recordUnresponsive records a fault of a runner whose last heartbeat is older than
// heartbeatTimeout, apart from pauses: the first host of its replica pauses its requests
// for that time.
func (checker *checker) recordUnresponsive(id string, heartbeatAt time.Time) {
	now := checker.now()
	if !heartbeatAt.IsZero() && now.Sub(heartbeatAt)-checker.timeline.duration(pauseComponent(id), heartbeatAt, now) > heartbeatTimeout {
		checker.timeline.addFault(runnerComponent(id), heartbeatAt, now)
	}
}

// checkJoin reports a runner that joins a replica while the first host of its
// previous replica can still serve.
func (checker *checker) checkJoin(runner *runner, heartbeat fakes.Heartbeat) {
	previous := runner.lastMembership
	if previous.Replica == "" {
		return
	}
	firstHost := checker.runners[previous.Members[0]]
	if firstHost == nil || firstHost.exited || !firstHost.crashedAt.IsZero() || checker.now().Sub(firstHost.heartbeatAt) > stallTimeout {
		return
	}
	if firstHost.Replica == previous.Replica && firstHost.Epoch == previous.Epoch && (firstHost.Phase == "open" || firstHost.Phase == "closing") {
		checker.addFinding(InvariantOneReplicaPerHost, "%s joins %s while %s, first host of its previous replica %s, is %s", heartbeat.ID, heartbeat.Replica, firstHost.ID, previous.Replica, firstHost.Phase)
	}
}

// complete reports whether every member of the sender's replica is running, has
// sent a heartbeat within heartbeatTimeout, and is in the same replica and epoch.
func (checker *checker) complete(heartbeat fakes.Heartbeat) bool {
	for _, id := range heartbeat.Members {
		member := checker.runners[id]
		if member == nil || member.exited || checker.now().Sub(member.heartbeatAt) > heartbeatTimeout || member.Replica != heartbeat.Replica || member.Epoch != heartbeat.Epoch {
			return false
		}
	}
	return true
}

// runnerExited records that a runner's process has exited.
func (checker *checker) runnerExited(id string) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	if runner := checker.runners[id]; runner != nil {
		runner.exited = true
	}
}

// runnerDraining records that the store lists a runner as draining.
func (checker *checker) runnerDraining(id string) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	if checker.drainingSince[id].IsZero() {
		checker.drainingSince[id] = checker.now()
	}
}

// BeginExecution records and checks that a runner begins a request. It never
// prevents the execution.
func (checker *checker) BeginExecution(execution fakes.Execution) bool {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	record := checker.attempt(execution.RequestID, execution.Attempt)
	if record == nil {
		checker.addFinding(InvariantUnchangedRequest, "%s runs %q, which no caller sent", execution.Runner, execution.RequestID)
		return true
	}
	checker.checkUnchanged(record, execution)
	checker.checkRuns(record, execution)
	checker.checkReplicaReady(execution)
	checker.checkDrainAndCancellation(record, execution)
	checker.checkLeaving(record, execution)
	checker.checkBusy(record, execution.Runner)
	checker.checkCrashingPart(record, execution)
	if len(record.executions) > 0 {
		traffic := checker.trafficOf(record.kind)
		traffic.retries = append(traffic.retries, checker.now())
	}
	record.executions = append(record.executions, executionRecord{Execution: execution, beganAt: checker.now(), members: checker.membersOf(execution.Runner)})
	return true
}

// checkUnchanged reports a request that reaches a runner other than as its caller
// sent it, for another team, or with the caller's key.
func (checker *checker) checkUnchanged(record *record, execution fakes.Execution) {
	request := record.request
	if execution.Method != request.Method || execution.Target != request.Path || execution.Body != string(request.Body) || execution.Team != fakes.Team || execution.HasKey {
		checker.addFinding(InvariantUnchangedRequest, "%s runs %s as %s %s of team %q, key passed on %t, body %q", execution.Runner, execution.RequestID, execution.Method, execution.Target, execution.Team, execution.HasKey, execution.Body)
	}
}

// checkReplicaReady reports a request that begins in a replica with a member that
// was never ready.
func (checker *checker) checkReplicaReady(execution fakes.Execution) {
	if execution.Replica == "" {
		return
	}
	firstHost := checker.runners[execution.Runner]
	if firstHost == nil || firstHost.lastMembership.Replica != execution.Replica || firstHost.lastMembership.Epoch != execution.Epoch {
		return // execution and heartbeat differ for a moment when the replica changes
	}
	for _, id := range firstHost.lastMembership.Members {
		if !checker.readyMembers[readyKey(id, execution.Replica, execution.Epoch, firstHost.lastMembership.Members)] {
			checker.addFinding(InvariantReplicaReady, "%s runs %s in %s, where %s was never ready", execution.Runner, execution.RequestID, execution.Replica, id)
		}
	}
}

// checkDrainAndCancellation reports a request that begins at a runner which has
// been draining for more than drainBound, or more than cancellationTimeout
// after its caller disconnected, if no component on its path had a fault.
func (checker *checker) checkDrainAndCancellation(record *record, execution fakes.Execution) {
	now := checker.now()
	if since := checker.drainingSince[execution.Runner]; !since.IsZero() && now.Sub(since) > drainBound &&
		checker.timeline.faultFree(since, now, storeComponent, nodeComponent(record.node), nodeRestartComponent(record.node), storeLinkComponent(record.node), runnerComponent(execution.Runner), pauseComponent(execution.Runner)) {
		checker.addFinding(InvariantDrain, "%s runs %s, %s after the store listed it as draining", execution.Runner, execution.RequestID, now.Sub(since))
	}
	if !record.disconnectedAt.IsZero() && now.Sub(record.disconnectedAt) > cancellationTimeout &&
		checker.timeline.faultFree(record.sentAt, now, nodeComponent(record.node), callerLinkComponent(record.node), runnerComponent(execution.Runner), pauseComponent(execution.Runner)) {
		checker.lateStarts++
		if checker.lateStarts > toleratedLateStarts {
			checker.addFinding(InvariantCancellation, "%s runs %s, %s after its caller disconnected", execution.Runner, execution.RequestID, now.Sub(record.disconnectedAt))
		}
	}
}

// checkLeaving reports a request that its caller sent later than leavingBound after
// the node had passed on that the endpoint leaves, if the node had no fault since.
func (checker *checker) checkLeaving(record *record, execution fakes.Execution) {
	saidAt := checker.leavingNotices[leavingNotice{node: record.node, runner: execution.Runner}]
	if !saidAt.IsZero() && record.sentAt.Sub(saidAt) > leavingBound && checker.timeline.faultFree(saidAt, checker.now(), nodeComponent(record.node), nodeRestartComponent(record.node)) {
		checker.addFinding(InvariantLeaving, "%s runs %s, which node %d was sent %s after it had passed on that the endpoint leaves", execution.Runner, execution.RequestID, record.node+1, record.sentAt.Sub(saidAt))
	}
}

// recordLeaving records what an endpoint says of itself in an answer.
func (checker *checker) recordLeaving(record *record, answer fakes.Answer) {
	runner, signed := strings.CutPrefix(answer.Receipt, fakes.ReceiptOf(""))
	notice := leavingNotice{node: record.node, runner: runner}
	if signed && answer.Header.Get("Server-Leaving") == "1" && checker.leavingNotices[notice].IsZero() {
		checker.leavingNotices[notice] = checker.now()
	}
}

func (checker *checker) trafficOf(kind kind) *traffic {
	service := kind.service()
	if checker.services[service] == nil {
		checker.services[service] = &traffic{}
	}
	return checker.services[service]
}

// requestSent records an attempt at a request before the caller sends it.
func (checker *checker) requestSent(request fakes.Request, kind kind, node int) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.requests[request.ID] = &record{previous: checker.requests[request.ID], request: request, kind: kind, node: node, sentAt: checker.now()}
	traffic := checker.trafficOf(kind)
	traffic.requests = append(traffic.requests, checker.now())
}

// callerDisconnected records that a caller closes its connection before the answer
// is complete.
func (checker *checker) callerDisconnected(id string) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.requests[id].disconnectedAt = checker.now()
}

// answerReceived records and checks the answer that a caller got.
func (checker *checker) answerReceived(id string, answer fakes.Answer) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	record := checker.requests[id]
	if answer.TrailingBytes {
		checker.addFinding(InvariantIntactAnswers, "%s: bytes after the end of the answer", id)
	}
	if answer.Err != nil {
		checker.recordFailure(record, answer)
		return
	}
	checker.recordLeaving(record, answer)
	switch answer.Status {
	case http.StatusOK:
		checker.checkComplete(record, answer)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		checker.checkPromise(record, answer)
	case http.StatusBadGateway:
		checker.recordFailure(record, answer)
	case http.StatusGatewayTimeout:
	default:
		if checker.mayDeny(record) {
			return
		}
		checker.addFinding(InvariantAccess, "%s: status %d from node %d", id, answer.Status, record.node+1)
	}
}

// keyRevoked records that a key is about to be revoked.
func (checker *checker) keyRevoked(key string) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.revokedKeys[key] = true
}

// mayDeny reports whether a node may deny a request: the request's key is revoked,
// or it is not the first key and a fault may have kept the node from receiving it
// in time.
func (checker *checker) mayDeny(record *record) bool {
	if checker.revokedKeys[record.request.Key] {
		return true
	}
	return record.request.Key != firstKey && !checker.timeline.faultFree(record.sentAt.Add(-propagationTimeout), checker.now(), nodeComponent(record.node), nodeRestartComponent(record.node), storeLinkComponent(record.node), storeComponent)
}

// checkComplete reports an answer whose body is not the complete answer to the
// request, or whose receipt is not that of a runner that ran it.
func (checker *checker) checkComplete(record *record, answer fakes.Answer) {
	want := fakes.AnswerBody(record.request.ID)
	if record.kind == kindStream {
		want = fakes.StreamBody(record.request.ID, checker.events)
	}
	executed := slices.ContainsFunc(record.executions, func(execution executionRecord) bool { return answer.Receipt == fakes.ReceiptOf(execution.Runner) })
	if answer.Body != want || !executed {
		checker.addFinding(InvariantIntactAnswers, "%s: receipt %q, body %q", record.request.ID, answer.Receipt, answer.Body)
	}
}

// finish runs the checks that need the records of the whole run, and returns all
// findings.
func (checker *checker) finish() []Finding {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.checkFailures()
	checker.checkAttempts()
	for service, traffic := range checker.services {
		checker.checkBudget(service, traffic)
	}
	return checker.findings
}

// checkBudget reports a window with more retries than the budget allows for the
// requests of this window or of the one before, whichever had more.
func (checker *checker) checkBudget(service string, traffic *traffic) {
	for _, at := range traffic.retries {
		retries := countWithin(traffic.retries, at.Add(-budgetWindow), at)
		requests := max(countWithin(traffic.requests, at.Add(-budgetWindow), at), countWithin(traffic.requests, at.Add(-2*budgetWindow), at.Add(-budgetWindow)))
		if float64(retries) > budgetRatio*float64(requests)+budgetExtra {
			checker.addFinding(InvariantRetryBudget, "%s: %d retries and %d requests in %s", service, retries, requests, budgetWindow)
			return
		}
	}
}

// countWithin counts the times after from and not after to.
func countWithin(times []time.Time, from, to time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			count++
		}
	}
	return count
}
