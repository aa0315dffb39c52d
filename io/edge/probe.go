package edge

import (
	"io"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"hickorybend/core/delay"
	"hickorybend/core/fleet"
	"hickorybend/io/event"
	"hickorybend/io/pool"
)

const (
	probeTimeout             = 200 * time.Millisecond // for an endpoint's report, which takes up no request slot
	probeAttempts            = 2
	maxLateProbes            = delay.MaxExtensions     // in a row, each with twice the time of the one before
	probeInterval            = 350 * time.Millisecond  // minimum time between two probes of one endpoint
	unwatchedProbeInterval   = time.Second             // the same for an endpoint that another node watches
	reprobeInterval          = time.Second             // between two probes of an unresponsive endpoint
	pauseTolerance           = 1500 * time.Millisecond // after the first unanswered probe; sound endpoints pause for a second or two
	pauseProbeInterval       = 450 * time.Millisecond  // between two probes of an endpoint that may only be pausing
	nonLeaderReprobeInterval = 5 * time.Second         // the same on a node whose leader reports that the endpoint answers again
	hintProbeInterval        = 700 * time.Millisecond  // after a probe, before another node's digest can trigger the next
	reportLag                = 500 * time.Millisecond  // how old the contents of a report may be
)

// probeReplica probes an endpoint and all members of its replica. Those that another node
// watches are left to that node, except the endpoint itself.
func (control *Control) probeReplica(id string, now time.Time) {
	suspect, found := control.endpoints.byID[id]
	if !found {
		return
	}
	control.suspectEndpoint(suspect, now)
	control.probe(id, now)
	if suspect.Membership.Replica == "" {
		return
	}
	for other, endpoint := range control.endpoints.byID {
		if other != id && endpoint.Membership.Replica == suspect.Membership.Replica {
			control.suspectEndpoint(endpoint, now)
		}
	}
}

// probe requests an endpoint's report, unless a probe is pending or the last one
// was sent within probeInterval. Endpoints of a service without an engine have
// no reports.
func (control *Control) probe(id string, now time.Time) {
	endpoints := &control.endpoints
	endpoint, found := endpoints.byID[id]
	interval := probeInterval
	if found && !control.watches(endpoint, now) {
		interval = unwatchedProbeInterval
	}
	if !found || endpoints.probing[id] || now.Before(endpoints.probedAt[id].Add(interval)) {
		return
	}
	if service, found := control.service(endpoint.Service); found && service.Engine == nil {
		return
	}
	endpoints.probing[id] = true
	endpoints.probedAt[id] = now
	timeout := probeTimeout << endpoints.lateProbes[id]
	go func() { control.enqueue(control.requestReport(endpoint, timeout, now)) }()
}

// requestReport asks an endpoint for its report, up to probeAttempts times, the last
// time over a new connection. A process that stands still accepts one; a host that is
// down or cut off does not.
func (control *Control) requestReport(endpoint fleet.Endpoint, timeout time.Duration, now time.Time) probeResult {
	result := probeResult{id: endpoint.ID, sentAt: now}
	for i := range probeAttempts {
		report, err := control.engineClient.Report(control.ctx, endpoint, timeout, i == probeAttempts-1)
		if err == nil {
			result.alive, result.report = true, report
			return result
		}
		result.refused = errors.IsAny(err, syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE, io.EOF, io.ErrUnexpectedEOF)
		result.connected = errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, pool.ErrUnsent)
		if control.ctx.Err() != nil {
			break
		}
	}
	return result
}

// handleProbeResult applies an endpoint's report, or marks the endpoint as
// unresponsive and reports its replica as lost.
func (control *Control) handleProbeResult(result probeResult, now time.Time) {
	endpoints := &control.endpoints
	delete(endpoints.probing, result.id)
	endpoint, found := endpoints.byID[result.id]
	if !found {
		return
	}
	wasUnresponsive := endpoints.isUnresponsive(result.id)
	if result.alive {
		endpoints.answeredAt[result.id] = result.sentAt
		delete(endpoints.lateProbes, result.id)
		endpoints.forgetUnresponsive(result.id)
		control.handleReport(result, now)
		control.applyColdReport(result.report, result.sentAt, now)
		control.snapshotStale = control.snapshotStale || wasUnresponsive
		if wasUnresponsive && control.allRespond(endpoint.Membership.Replica) {
			control.reportFound([]string{control.firstHostOf(endpoint.Membership.Replica)})
		}
		return
	}
	if !result.refused && control.extendProbe(result.id, result.sentAt, now) && !wasUnresponsive {
		delete(endpoints.probedAt, result.id)
		control.probe(result.id, now)
		return
	}
	endpoints.failedAt[result.id] = result.sentAt
	switch {
	case !result.connected:
		delete(endpoints.pausingUntil, result.id)
	case !wasUnresponsive:
		endpoints.pausingUntil[result.id] = now.Add(pauseTolerance)
	}
	endpoints.unresponsive[result.id] = now.Add(control.reprobeDelay(result.id, now))
	if wasUnresponsive {
		return
	}
	event.Log(control.log, event.EndpointUnresponsive, zap.String("endpoint", result.id), zap.String("replica", endpoint.Membership.Replica),
		zap.Duration("asked", now.Sub(result.sentAt)), zap.Duration("late-by", control.lateness.lateBy(result.sentAt, now)))
	control.snapshotStale = true
	if firstHost := control.firstHostOf(endpoint.Membership.Replica); firstHost != "" {
		control.judgeLinks(now) // before the attempts there look for another way
		control.updateRoutes(now)
		control.reportLost([]string{firstHost})
	}
}

// extendProbe gives the next probe or check of an endpoint more time, if the last one was not answered
// while this node itself was late: the answer may have arrived, and waited here to be read. It
// returns false if the missing answer stands.
func (control *Control) extendProbe(id string, sentAt, now time.Time) bool {
	endpoints := &control.endpoints
	if endpoints.lateProbes[id] >= maxLateProbes || !control.lateness.lateSince(sentAt, now) {
		delete(endpoints.lateProbes, id)
		return false
	}
	endpoints.lateProbes[id]++
	return true
}

// allRespond reports whether no member of a replica is known as unresponsive.
func (control *Control) allRespond(replica string) bool {
	for id := range control.endpoints.unresponsive {
		if control.endpoints.byID[id].Membership.Replica == replica {
			return false
		}
	}
	return true
}

// forgetUnresponsive forgets that an endpoint did not answer probes.
func (endpoints *endpoints) forgetUnresponsive(id string) {
	delete(endpoints.unresponsive, id)
	delete(endpoints.pausingUntil, id)
	delete(endpoints.lostElsewhere, id)
	delete(endpoints.lateProbes, id)
}

// reprobeDelay returns the time between two probes of an unresponsive endpoint. The
// node that places asks more often while the endpoint may only be pausing. The time is longer for a
// node whose leader reports recoveries: if 75 nodes each probed 30 such endpoints
// every second, these would be most of all probes.
func (control *Control) reprobeDelay(id string, now time.Time) time.Duration {
	if control.placement.active && now.Before(control.endpoints.pausingUntil[id]) {
		return pauseProbeInterval
	}
	if control.servedByLeader.Load() {
		return nonLeaderReprobeInterval
	}
	return reprobeInterval
}

// handleReport applies an endpoint's report. Its contents may be reportLag old. If
// a row came less than that before the probe, the row takes precedence and only
// the command count is taken from the report, unless the endpoint has restarted.
// The count is left out if the report names a replica and the row none, since it
// is that of another state.
func (control *Control) handleReport(result probeResult, now time.Time) {
	known := control.endpoints.byID[result.id]
	report := result.report
	if report.StartedAt.Before(known.StartedAt) {
		return // of an earlier incarnation
	}
	restarted := report.StartedAt.After(known.StartedAt)
	newerThanRow := result.sentAt.After(control.endpoints.updatedAt[result.id].Add(reportLag))
	report.FreeSince = freeSince(known, report, now)
	outdated := known.CommandCountKnown && !restarted && report.CommandCount < known.CommandCount
	if outdated { // older than the reply to a command
		report.CommandCount, report.FreeSince = known.CommandCount, known.FreeSince
	}
	if !restarted && !newerThanRow {
		contradictory := known.Membership.Replica == "" && report.Membership.Replica != ""
		known.CommandCountKnown, known.CommandCount, known.FreeSince = outdated || !contradictory, report.CommandCount, report.FreeSince
		control.endpoints.set(known)
		return
	}
	control.endpoints.reportedAt[result.id] = result.sentAt
	report.Sequence = known.Sequence
	report.Draining = known.Draining && !(restarted && control.endpoints.saysLeaving(known)) // an earlier incarnation said so, not the row
	control.endpoints.forgetEarlierIncarnation(report)
	control.endpoints.set(report)
	if report.Membership != known.Membership {
		control.snapshotStale = true
	}
}

// freeSince returns since when an endpoint has reported to belong to no replica
// with the command count of its report, or the zero time if the report names one.
func freeSince(known, report fleet.Endpoint, now time.Time) time.Time {
	sameState := report.StartedAt.Equal(known.StartedAt) && report.CommandCount == known.CommandCount
	switch {
	case report.Membership.Replica != "":
		return time.Time{}
	case sameState && !known.FreeSince.IsZero():
		return known.FreeSince
	default:
		return now
	}
}

// set records an endpoint. One that belongs to a replica is not free.
func (endpoints *endpoints) set(endpoint fleet.Endpoint) {
	if endpoint.Membership.Replica != "" {
		endpoint.FreeSince = time.Time{}
	}
	endpoints.byID[endpoint.ID] = endpoint
}
