package edge

import (
	"time"

	"go.uber.org/zap"

	"hickorybend/core/fleet"
	"hickorybend/io/event"
)

const (
	probeTimeout             = 200 * time.Millisecond // for an endpoint's report, which takes up no request slot
	probeAttempts            = 2
	probeInterval            = 350 * time.Millisecond // minimum time between two probes of one endpoint
	reprobeInterval          = time.Second            // between two probes of an unresponsive endpoint
	nonLeaderReprobeInterval = 5 * time.Second        // the same on a node whose leader reports that the endpoint answers again
	hintProbeInterval        = 700 * time.Millisecond // after a probe, before another node's digest can trigger the next
	reportLag                = 500 * time.Millisecond // how old the contents of a report may be
)

// probeReplica probes an endpoint and all members of its replica.
func (control *Control) probeReplica(id string, now time.Time) {
	suspect, found := control.endpoints.byID[id]
	if !found {
		return
	}
	control.probe(id, now)
	if suspect.Membership.Replica == "" {
		return
	}
	for other, endpoint := range control.endpoints.byID {
		if other != id && endpoint.Membership.Replica == suspect.Membership.Replica {
			control.probe(other, now)
		}
	}
}

// probe requests an endpoint's report, unless a probe is pending or the last one
// was sent within probeInterval. Endpoints of a service without an engine have
// no reports.
func (control *Control) probe(id string, now time.Time) {
	endpoints := &control.endpoints
	endpoint, found := endpoints.byID[id]
	if !found || endpoints.probing[id] || now.Before(endpoints.probedAt[id].Add(probeInterval)) {
		return
	}
	endpoints.probing[id] = true
	endpoints.probedAt[id] = now
	service, found := control.service(endpoint.Service)
	go func() {
		if found && service.Engine == nil {
			return
		}
		control.enqueue(control.requestReport(endpoint, now))
	}()
}

// requestReport asks an endpoint for its report, up to probeAttempts times.
func (control *Control) requestReport(endpoint fleet.Endpoint, now time.Time) probeResult {
	for range probeAttempts {
		report, err := control.engineClient.Report(control.ctx, endpoint, probeTimeout)
		if err == nil {
			return probeResult{id: endpoint.ID, alive: true, report: report, sentAt: now}
		}
		if control.ctx.Err() != nil {
			break
		}
	}
	return probeResult{id: endpoint.ID, sentAt: now}
}

// handleProbeResult applies an endpoint's report, or marks the endpoint as
// unresponsive and aborts the attempts at its replica.
func (control *Control) handleProbeResult(result probeResult, now time.Time) {
	endpoints := &control.endpoints
	delete(endpoints.probing, result.id)
	endpoint, found := endpoints.byID[result.id]
	if !found {
		return
	}
	wasUnresponsive := endpoints.isUnresponsive(result.id)
	if result.alive {
		control.crashes.answeredAt[result.id] = result.sentAt
		delete(endpoints.unresponsive, result.id)
		control.handleReport(result)
		control.snapshotStale = control.snapshotStale || wasUnresponsive
		return
	}
	endpoints.unresponsive[result.id] = now.Add(control.reprobeDelay())
	if wasUnresponsive {
		return
	}
	event.Log(control.log, event.EndpointUnresponsive, zap.String("endpoint", result.id), zap.String("replica", endpoint.Membership.Replica),
		zap.Duration("asked", now.Sub(result.sentAt)))
	control.snapshotStale = true
	if firstHost := control.firstHostOf(endpoint.Membership.Replica); firstHost != "" {
		control.abortAttempts([]string{firstHost})
	}
}

// reprobeDelay returns the time between two probes of an unresponsive endpoint.
// It is longer for a node whose leader reports recoveries: if 75 nodes each
// probed 30 such endpoints every second, these would be most of all probes.
func (control *Control) reprobeDelay() time.Duration {
	if control.servedByLeader.Load() {
		return nonLeaderReprobeInterval
	}
	return reprobeInterval
}

// handleReport applies an endpoint's report. Its contents may be reportLag old. If
// a row came less than that before the probe, the row takes precedence and only
// the command count is taken from the report, unless the endpoint has restarted.
func (control *Control) handleReport(result probeResult) {
	known := control.endpoints.byID[result.id]
	report := result.report
	restarted := report.StartedAt.After(known.StartedAt)
	newerThanRow := result.sentAt.After(control.endpoints.updatedAt[result.id].Add(reportLag))
	if known.CommandCountKnown && !restarted {
		report.CommandCount = max(known.CommandCount, report.CommandCount) // a report may be older than the reply to a command
	}
	if !restarted && !newerThanRow {
		known.CommandCountKnown, known.CommandCount = true, report.CommandCount
		control.endpoints.byID[result.id] = known
		return
	}
	control.endpoints.reportedAt[result.id] = result.sentAt
	report.Sequence, report.FreeSince = known.Sequence, known.FreeSince
	report.Draining = known.Draining && !(restarted && control.endpoints.saysLeaving(known)) // an earlier incarnation said so, not the row
	control.endpoints.forgetEarlierIncarnation(report)
	control.endpoints.byID[result.id] = report
	if report.Membership != known.Membership {
		control.snapshotStale = true
	}
}
