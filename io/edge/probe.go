package edge

import (
	"time"

	"go.uber.org/zap"

	"hickorybend/core/fleet"
	"hickorybend/io/event"
)

const (
	probeLimit = 200 * time.Millisecond // for an endpoint's report; it needs no slot
	probeTries = 2
	probePause = 350 * time.Millisecond // between two probes of one endpoint
	lostProbe  = time.Second            // between two probes of an endpoint that was lost
	lostTold   = 5 * time.Second        // the same where a leader tells when it is back
	hintPause  = 700 * time.Millisecond // after a probe, before another node's word leads to the next
	reportLag  = 500 * time.Millisecond // how old a report's contents may be
)

// probeReplica asks an endpoint and all members of its replica for their state.
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

func (control *Control) probe(id string, now time.Time) {
	known := &control.endpoints
	endpoint, found := known.byID[id]
	if !found || known.probing[id] || now.Before(known.probedAt[id].Add(probePause)) {
		return
	}
	known.probing[id] = true
	known.probedAt[id] = now
	service, found := control.service(endpoint.Service)
	go func() {
		if found && service.Engine == nil {
			return
		}
		control.tell(control.ask(endpoint, now))
	}()
}

func (control *Control) ask(endpoint fleet.Endpoint, now time.Time) probed {
	for range probeTries {
		report, err := control.engine.Report(control.ctx, endpoint, probeLimit)
		if err == nil {
			return probed{id: endpoint.ID, alive: true, report: report, asked: now}
		}
		if control.ctx.Err() != nil {
			break
		}
	}
	return probed{id: endpoint.ID, asked: now}
}

// learnProbe takes in an endpoint's answer, or its silence.
func (control *Control) learnProbe(probe probed, now time.Time) {
	known := &control.endpoints
	delete(known.probing, probe.id)
	before, found := known.byID[probe.id]
	if !found {
		return
	}
	wasLost := known.isLost(probe.id)
	if probe.alive {
		delete(known.lost, probe.id)
		control.learnReport(probe)
		control.changed = control.changed || wasLost
		return
	}
	known.lost[probe.id] = now.Add(control.lostPause())
	if wasLost {
		return
	}
	event.Log(control.log, event.EndpointUnresponsive, zap.String("endpoint", probe.id), zap.String("replica", before.Membership.Replica),
		zap.Duration("asked", now.Sub(probe.asked)))
	control.changed = true
	if head := control.headOf(before.Membership.Replica); head != "" {
		control.lost([]string{head})
	}
}

// lostPause is the time between two probes of a lost endpoint: 75 nodes that
// each ask 30 of them every second would make most of all probes.
func (control *Control) lostPause() time.Duration {
	if control.informed.Load() {
		return lostTold
	}
	return lostProbe
}

// learnReport takes in what an endpoint said when it was asked. A report is a
// little old: a row that came shortly before it was asked for goes before it.
func (control *Control) learnReport(probe probed) {
	known := control.endpoints.byID[probe.id]
	report := probe.report
	newLife := report.StartedAt.After(known.StartedAt)
	fresh := probe.asked.After(control.endpoints.changedAt[probe.id].Add(reportLag))
	if known.CommandCountKnown {
		report.CommandCount = max(known.CommandCount, report.CommandCount) // a report may be older than an answer
	}
	if !newLife && !fresh {
		known.CommandCountKnown, known.CommandCount = true, report.CommandCount
		control.endpoints.byID[probe.id] = known
		return
	}
	control.endpoints.toldAt[probe.id] = probe.asked
	report.Draining, report.Sequence, report.FreeSince = known.Draining, known.Sequence, known.FreeSince
	control.endpoints.byID[probe.id] = report
	if report.Membership != known.Membership {
		control.changed = true
	}
}
