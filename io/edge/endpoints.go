package edge

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"hickorybend/core/fleet"
	"hickorybend/core/reach"
	"hickorybend/io/event"
	"hickorybend/io/gossip"
	"hickorybend/platform"
)

const (
	mostRemoved = 1000                   // removals that other nodes may ask for one by one
	believeGone = 2 * time.Second        // after the store's return, before a missing row is believed
	probeLimit  = 200 * time.Millisecond // for an endpoint's report; it needs no slot
	probeTries  = 2
	probePause  = 350 * time.Millisecond // between two probes of one endpoint
	lostProbe   = time.Second            // between two probes of an endpoint that was lost
	reportLag   = 500 * time.Millisecond // how old a report's contents may be
)

// endpoints is what is known of the endpoints.
type endpoints struct {
	known     bool
	byID      map[string]fleet.Endpoint
	values    map[string]platform.Entry // as the store gave them, for other nodes
	version   int64                     // of the newest row or removal
	since     int64                     // removals after this version are in removed
	removed   map[string]int64
	missing   map[string]time.Time // rows that went while the store was away, with the deadline of belief
	lost      map[string]time.Time // endpoints that answer nothing, with when to ask again
	changedAt map[string]time.Time // when the last row came
	probedAt  map[string]time.Time
	probing   map[string]bool
	loads     map[string]*reach.Load
}

func newEndpoints() endpoints {
	return endpoints{
		removed: map[string]int64{},
		byID:    map[string]fleet.Endpoint{}, values: map[string]platform.Entry{}, missing: map[string]time.Time{},
		lost: map[string]time.Time{}, changedAt: map[string]time.Time{}, probedAt: map[string]time.Time{}, probing: map[string]bool{}, loads: map[string]*reach.Load{},
	}
}

// learnEndpoints takes in rows. One that went while the store was away is
// believed gone only a while after its return.
func (control *Control) learnEndpoints(change tableChanged, now time.Time) {
	known := &control.endpoints
	if change.from == fromPeer && change.batch.Next <= known.version {
		return
	}
	if change.batch.Whole {
		known.since = max(known.since, known.version)
	}
	seen := map[string]bool{}
	for _, entry := range change.batch.Entries {
		seen[entry.Key] = !entry.Removed
		known.version = max(known.version, entry.Version)
		if entry.Removed {
			control.forget(entry.Key, entry.Version, now)
			continue
		}
		delete(known.removed, entry.Key)
		control.learnEndpoint(entry, now)
	}
	if change.batch.Whole {
		known.known = true
		for id := range known.byID {
			if !seen[id] {
				control.forget(id, known.version, now)
			}
		}
	}
	if change.from == fromPeer {
		known.version = max(known.version, change.batch.Next)
	}
	control.copyEndpoints()
	control.changed = true
}

func (control *Control) learnEndpoint(entry platform.Entry, now time.Time) {
	known := &control.endpoints
	endpoint, err := platform.Endpoint(entry.Key, entry.Value)
	if err != nil {
		event.Log(control.log, event.RowUnreadable, zap.String("endpoint", entry.Key), zap.Error(err))
		delete(known.byID, entry.Key)
		delete(known.values, entry.Key)
		return
	}
	delete(known.missing, entry.Key)
	known.values[entry.Key] = entry
	before, had := known.byID[entry.Key]
	if had && !endpoint.Newer(before) {
		before.Draining = before.Draining || endpoint.Draining
		known.byID[entry.Key] = before
		return
	}
	if had && endpoint.Born.Equal(before.Born) {
		endpoint.Orders, endpoint.Counted, endpoint.FreeSince = before.Orders, before.Counted, before.FreeSince
	}
	switch {
	case endpoint.Membership.Replica != "":
		endpoint.FreeSince = time.Time{}
	case endpoint.FreeSince.IsZero():
		endpoint.FreeSince = now
	}
	known.byID[entry.Key] = endpoint
	known.changedAt[entry.Key] = now
	if !had || endpoint.Draining != before.Draining || endpoint.Membership != before.Membership {
		event.Log(control.log, event.EndpointChanged, zap.String("endpoint", entry.Key), zap.String("address", endpoint.Address),
			zap.Bool("draining", endpoint.Draining), zap.String("replica", endpoint.Membership.Replica),
			zap.String("phase", string(endpoint.Membership.Phase)), zap.Int64("beat", endpoint.Beat))
	}
}

// forget drops an endpoint whose row is gone.
func (control *Control) forget(id string, version int64, now time.Time) {
	known := &control.endpoints
	if _, had := known.byID[id]; !had {
		return
	}
	back := control.operators.backAt[tableEndpoints]
	if !back.IsZero() && now.Before(back.Add(believeGone)) {
		known.missing[id] = back.Add(believeGone)
		return
	}
	control.drop(id, version)
}

// drop takes an endpoint out; other nodes learn of it under a version.
func (control *Control) drop(id string, version int64) {
	known := &control.endpoints
	known.removed[id] = version
	if len(known.removed) > mostRemoved {
		known.removed = map[string]int64{}
		known.since = known.version
	}
	event.Log(control.log, event.EndpointGone, zap.String("endpoint", id), zap.String("replica", known.byID[id].Membership.Replica))
	delete(known.byID, id)
	delete(known.values, id)
	delete(known.missing, id)
	delete(known.lost, id)
	delete(known.changedAt, id)
	control.changed = true
}

// expire acts on deadlines that have passed.
func (control *Control) expire(now time.Time) {
	known := &control.endpoints
	for id, believed := range known.missing {
		if !now.Before(believed) {
			known.version++ // so that nodes that know of the rows after it learn of this too
			control.drop(id, known.version)
			control.copyEndpoints()
		}
	}
	for id, again := range known.lost {
		if now.After(again) {
			known.lost[id] = now.Add(lostProbe)
			control.probe(id, now)
		}
	}
}

func (control *Control) copyEndpoints() {
	known := &control.endpoints
	table := &gossip.Table{Version: known.version, Since: known.since}
	for id, version := range known.removed {
		table.Entries = append(table.Entries, gossip.Entry{Key: id, Version: version, Removed: true})
	}
	for _, entry := range known.values {
		table.Entries = append(table.Entries, gossip.Entry{Key: entry.Key, Value: entry.Value, Version: entry.Version})
	}
	control.copies[tableEndpoints].Store(table)
}

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
	_, wasLost := known.lost[probe.id]
	if probe.alive {
		delete(known.lost, probe.id)
		control.learnReport(probe)
		control.changed = control.changed || wasLost
		return
	}
	known.lost[probe.id] = now.Add(lostProbe)
	if wasLost {
		return
	}
	event.Log(control.log, event.EndpointSilent, zap.String("endpoint", probe.id), zap.String("replica", before.Membership.Replica),
		zap.Duration("asked", now.Sub(probe.asked)))
	control.changed = true
	if head := control.headOf(before.Membership.Replica); head != "" {
		control.lost([]string{head})
	}
}

// learnReport takes in what an endpoint said when it was asked. A report is a
// little old: a row that came shortly before it was asked for goes before it.
func (control *Control) learnReport(probe probed) {
	known := control.endpoints.byID[probe.id]
	report := probe.report
	newLife := report.Born.After(known.Born)
	fresh := probe.asked.After(control.endpoints.changedAt[probe.id].Add(reportLag))
	if known.Counted {
		report.Orders = max(known.Orders, report.Orders) // a report may be older than an answer
	}
	if !newLife && !fresh {
		known.Counted, known.Orders = true, report.Orders
		control.endpoints.byID[probe.id] = known
		return
	}
	report.Draining, report.Beat, report.FreeSince = known.Draining, known.Beat, known.FreeSince
	control.endpoints.byID[probe.id] = report
	if report.Membership != known.Membership {
		control.changed = true
	}
}

func (control *Control) headOf(replica string) string {
	if replica == "" {
		return ""
	}
	for id, endpoint := range control.endpoints.byID {
		if endpoint.Membership.Replica == replica && endpoint.Membership.Rank == 0 {
			return id
		}
	}
	return ""
}

// of lists a service's endpoints in the order of their IDs.
func (endpoints *endpoints) of(service string) []fleet.Endpoint {
	var listed []fleet.Endpoint
	for _, endpoint := range endpoints.byID {
		if endpoint.Service == service {
			listed = append(listed, endpoint)
		}
	}
	slices.SortFunc(listed, func(a, b fleet.Endpoint) int { return compareText(a.ID, b.ID) })
	return listed
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

func (endpoints *endpoints) load(id string) *reach.Load {
	found := endpoints.loads[id]
	if found == nil {
		found = &reach.Load{}
		endpoints.loads[id] = found
	}
	return found
}
