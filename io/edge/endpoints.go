package edge

import (
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"hickorybend/core/fleet"
	"hickorybend/core/reach"
	"hickorybend/io/event"
	"hickorybend/io/gossip"
	"hickorybend/platform"
)

const (
	mostRemoved = 1000            // removals that other nodes may ask for one by one
	believeGone = 2 * time.Second // after the store's return, before a missing row is believed
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
	toldAt    map[string]time.Time // when an endpoint last told of itself by a report that stands
	changedAt map[string]time.Time // when the last row came
	probedAt  map[string]time.Time
	probing   map[string]bool
	loads     map[string]*reach.Load
}

func newEndpoints() endpoints {
	return endpoints{
		removed: map[string]int64{},
		byID:    map[string]fleet.Endpoint{}, values: map[string]platform.Entry{}, missing: map[string]time.Time{},
		lost: map[string]time.Time{}, toldAt: map[string]time.Time{}, changedAt: map[string]time.Time{}, probedAt: map[string]time.Time{}, probing: map[string]bool{}, loads: map[string]*reach.Load{},
	}
}

// learnEndpoints takes in rows. One that went while the store was away is
// believed gone only a while after its return.
func (control *Control) learnEndpoints(change tableChanged, now time.Time) {
	known := &control.endpoints
	if change.from == fromPeer && change.batch.Version <= known.version {
		return
	}
	if change.batch.Full {
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
	if change.batch.Full {
		known.known = true
		for id := range known.byID {
			if !seen[id] {
				control.forget(id, known.version, now)
			}
		}
	}
	if change.from == fromPeer {
		known.version = max(known.version, change.batch.Version)
	}
	control.copyEndpoints()
	control.changed = true
}

func (control *Control) learnEndpoint(entry platform.Entry, now time.Time) {
	known := &control.endpoints
	endpoint, err := platform.DecodeEndpoint(entry.Key, entry.Value)
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
	if had && control.older(before, endpoint, now) {
		if endpoint.Sequence > before.Sequence {
			control.probe(entry.Key, now) // it is another row than the one known
		}
		before.Sequence, before.Draining = endpoint.Sequence, endpoint.Draining
		known.byID[entry.Key] = before
		return
	}
	if had && endpoint.StartedAt.Equal(before.StartedAt) {
		endpoint.CommandCount, endpoint.CommandCountKnown, endpoint.FreeSince = before.CommandCount, before.CommandCountKnown, before.FreeSince
	}
	switch {
	case endpoint.Membership.Replica != "":
		endpoint.FreeSince = time.Time{}
	case endpoint.FreeSince.IsZero():
		endpoint.FreeSince = now
	}
	known.byID[entry.Key] = endpoint
	known.changedAt[entry.Key] = now
	if known.isLost(entry.Key) {
		control.probe(entry.Key, now) // it lives, for the store at least
	}
	if !had || endpoint.Draining != before.Draining || endpoint.Membership != before.Membership {
		event.Log(control.log, event.EndpointChanged, zap.String("endpoint", entry.Key), zap.String("address", endpoint.Address),
			zap.Bool("draining", endpoint.Draining), zap.String("replica", endpoint.Membership.Replica),
			zap.String("phase", string(endpoint.Membership.Phase)), zap.Int64("beat", endpoint.Sequence))
	}
}

// older tells whether a row may be older than what the endpoint said itself
// while the store was away. What the store shows on its return was written before
// it went: a host that joined a replica at 20 s, with the store away from 18 s to
// 26 s, still shows its last one in the row read at 26.1 s.
func (control *Control) older(before, row fleet.Endpoint, now time.Time) bool {
	known := &control.endpoints
	told := known.toldAt[row.ID]
	if !row.StartedAt.Equal(before.StartedAt) || !told.After(known.changedAt[row.ID]) {
		return false
	}
	back := control.operators.backAt[tableEndpoints]
	return row.Sequence == before.Sequence || !back.IsZero() && now.Before(back.Add(believeGone)) && told.Before(back)
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
	delete(known.toldAt, id)
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
			known.lost[id] = now.Add(control.lostPause())
			control.probe(id, now)
		}
	}
}

func (control *Control) copyEndpoints() {
	known := &control.endpoints
	table := &gossip.Table{Version: known.version, CompactedVersion: known.since}
	for id, version := range known.removed {
		table.Entries = append(table.Entries, gossip.Entry{Key: id, Version: version, Removed: true})
	}
	for _, entry := range known.values {
		table.Entries = append(table.Entries, gossip.Entry{Key: entry.Key, Value: entry.Value, Version: entry.Version})
	}
	control.copies[tableEndpoints].Store(table)
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
	slices.SortFunc(listed, func(a, b fleet.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return listed
}

func (endpoints *endpoints) load(id string) *reach.Load {
	found := endpoints.loads[id]
	if found == nil {
		found = &reach.Load{}
		endpoints.loads[id] = found
	}
	return found
}
