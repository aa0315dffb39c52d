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
	maxRemovals  = 1000            // removals kept for peers; beyond that, peers that are behind fetch the full table
	removalGrace = 2 * time.Second // after a store outage; within it missing rows may come back, and rows may date from before the outage
)

// endpoints is this node's view of the endpoints. The maps are by endpoint ID.
type endpoints struct {
	loaded           bool // the full table has been read
	byID             map[string]fleet.Endpoint
	rows             map[string]platform.Entry // as stored, for peers that fetch the table
	version          int64                     // of the newest row or removal
	compactedVersion int64                     // removals up to this version may not be listed
	removals         map[string]int64          // versions of the removals after compactedVersion
	missingUntil     map[string]time.Time      // endpoints whose rows are missing after a store outage, and until when to wait for the rows
	unresponsive     map[string]time.Time      // endpoints that do not answer probes, and when to probe them next
	reportedAt       map[string]time.Time      // when the probe was sent whose report was last applied
	updatedAt        map[string]time.Time      // when a row was last applied, or the endpoint left its replica
	probedAt         map[string]time.Time      // when the last probe was sent
	probing          map[string]bool           // a probe is pending
	loads            map[string]*reach.Load
}

func newEndpoints() endpoints {
	return endpoints{
		removals: map[string]int64{},
		byID:     map[string]fleet.Endpoint{}, rows: map[string]platform.Entry{}, missingUntil: map[string]time.Time{},
		unresponsive: map[string]time.Time{}, reportedAt: map[string]time.Time{}, updatedAt: map[string]time.Time{}, probedAt: map[string]time.Time{}, probing: map[string]bool{}, loads: map[string]*reach.Load{},
	}
}

// handleEndpoints applies rows of the endpoints table. A row that is missing just
// after a store outage counts as removed only if it has not come back within
// removalGrace.
func (control *Control) handleEndpoints(change tableChanged, now time.Time) {
	endpoints := &control.endpoints
	if change.from == fromPeer && change.batch.Version <= endpoints.version {
		return
	}
	if change.batch.Full {
		endpoints.compactedVersion = max(endpoints.compactedVersion, endpoints.version)
	}
	present := map[string]bool{}
	for _, entry := range change.batch.Entries {
		present[entry.Key] = !entry.Removed
		endpoints.version = max(endpoints.version, entry.Version)
		if entry.Removed {
			control.handleRemoval(entry.Key, entry.Version, change.from, now)
			continue
		}
		delete(endpoints.removals, entry.Key)
		control.handleEndpointRow(entry, change.from, now)
	}
	if change.batch.Full {
		endpoints.loaded = true
		for id := range endpoints.byID {
			if !present[id] {
				control.handleRemoval(id, endpoints.version, change.from, now)
			}
		}
	}
	if change.from == fromPeer {
		endpoints.version = max(endpoints.version, change.batch.Version)
	}
	control.publishEndpointTable()
	control.snapshotStale = true
}

// handleEndpointRow applies one row. From a row older than the known one it takes
// only that the endpoint is draining. From one that may be older than the
// endpoint's last report it takes only the sequence number and whether the
// endpoint is draining.
func (control *Control) handleEndpointRow(entry platform.Entry, from source, now time.Time) {
	endpoints := &control.endpoints
	endpoint, err := platform.DecodeEndpoint(entry.Key, entry.Value)
	if err != nil {
		event.Log(control.log, event.RowUnreadable, zap.String("endpoint", entry.Key), zap.Error(err))
		delete(endpoints.byID, entry.Key)
		delete(endpoints.rows, entry.Key)
		return
	}
	delete(endpoints.missingUntil, entry.Key)
	endpoints.rows[entry.Key] = entry
	previous, found := endpoints.byID[entry.Key]
	if found && !endpoint.NotOlder(previous) {
		previous.Draining = previous.Draining || endpoint.Draining
		endpoints.byID[entry.Key] = previous
		return
	}
	if found && control.predatesReport(previous, endpoint, now) {
		if endpoint.Sequence > previous.Sequence {
			control.probe(entry.Key, now) // the row is new; a report shows which membership is current
		}
		previous.Sequence, previous.Draining = endpoint.Sequence, endpoint.Draining
		endpoints.byID[entry.Key] = previous
		return
	}
	if found && endpoint.StartedAt.Equal(previous.StartedAt) {
		endpoint.CommandCount, endpoint.CommandCountKnown, endpoint.FreeSince = previous.CommandCount, previous.CommandCountKnown, previous.FreeSince
	}
	switch {
	case endpoint.Membership.Replica != "":
		endpoint.FreeSince = time.Time{}
	case endpoint.FreeSince.IsZero():
		endpoint.FreeSince = now
	}
	endpoints.byID[entry.Key] = endpoint
	endpoints.updatedAt[entry.Key] = now
	if endpoints.isUnresponsive(entry.Key) {
		control.probe(entry.Key, now) // the new row shows that the endpoint still writes to the store
	}
	if !found || endpoint.Draining != previous.Draining || endpoint.Membership != previous.Membership {
		event.Log(control.log, event.EndpointChanged, zap.String("endpoint", entry.Key), zap.String("address", endpoint.Address),
			zap.Bool("draining", endpoint.Draining), zap.String("replica", endpoint.Membership.Replica),
			zap.String("phase", string(endpoint.Membership.Phase)), zap.Int64("beat", endpoint.Sequence),
			zap.String("from", string(from)), zap.Int64("version", entry.Version), zap.Duration("age", control.copies.age(tableEndpoints, now)))
	}
}

// predatesReport reports whether a row may be older than the endpoint's last
// report. A row with the known sequence number is. So may be any row that is read
// within removalGrace after a store outage in which the report came, since it may
// have been written before the outage. For example, the store does not answer
// from 18 s to 26 s, and a host joins a replica at 20 s. The row read at 26.1 s
// still names the host's previous replica.
func (control *Control) predatesReport(previous, row fleet.Endpoint, now time.Time) bool {
	endpoints := &control.endpoints
	reportedAt := endpoints.reportedAt[row.ID]
	if !row.StartedAt.Equal(previous.StartedAt) || !reportedAt.After(endpoints.updatedAt[row.ID]) {
		return false
	}
	recoveredAt := control.config.recoveredAt[tableEndpoints]
	return row.Sequence == previous.Sequence || !recoveredAt.IsZero() && now.Before(recoveredAt.Add(removalGrace)) && reportedAt.Before(recoveredAt)
}

// handleRemoval removes an endpoint whose row is missing. Just after a store
// outage it first waits for removalGrace.
func (control *Control) handleRemoval(id string, version int64, from source, now time.Time) {
	endpoints := &control.endpoints
	if _, found := endpoints.byID[id]; !found {
		return
	}
	recoveredAt := control.config.recoveredAt[tableEndpoints]
	if !recoveredAt.IsZero() && now.Before(recoveredAt.Add(removalGrace)) {
		endpoints.missingUntil[id] = recoveredAt.Add(removalGrace)
		return
	}
	control.removeEndpoint(id, version, from, now)
}

// removeEndpoint removes an endpoint. Peers fetch the removal under this version.
func (control *Control) removeEndpoint(id string, version int64, from source, now time.Time) {
	endpoints := &control.endpoints
	endpoints.removals[id] = version
	if len(endpoints.removals) > maxRemovals {
		endpoints.removals = map[string]int64{}
		endpoints.compactedVersion = endpoints.version
	}
	event.Log(control.log, event.EndpointGone, zap.String("endpoint", id), zap.String("replica", endpoints.byID[id].Membership.Replica),
		zap.String("from", string(from)), zap.Int64("version", version), zap.Duration("age", control.copies.age(tableEndpoints, now)))
	delete(endpoints.byID, id)
	delete(endpoints.rows, id)
	delete(endpoints.missingUntil, id)
	delete(endpoints.unresponsive, id)
	delete(endpoints.updatedAt, id)
	delete(endpoints.reportedAt, id)
	control.snapshotStale = true
}

// checkEndpointDeadlines removes endpoints whose rows have not come back in time,
// and probes unresponsive ones that are due.
func (control *Control) checkEndpointDeadlines(now time.Time) {
	endpoints := &control.endpoints
	for id, deadline := range endpoints.missingUntil {
		if !now.Before(deadline) {
			endpoints.version++ // so that peers that have all rows up to the current version fetch the removal too
			control.removeEndpoint(id, endpoints.version, fromGrace, now)
			control.publishEndpointTable()
		}
	}
	for id, nextProbeAt := range endpoints.unresponsive {
		if now.After(nextProbeAt) {
			endpoints.unresponsive[id] = now.Add(control.reprobeDelay())
			control.probe(id, now)
		}
	}
}

// publishEndpointTable publishes the rows and removals for peers.
func (control *Control) publishEndpointTable() {
	endpoints := &control.endpoints
	table := &gossip.Table{Version: endpoints.version, CompactedVersion: endpoints.compactedVersion}
	for id, version := range endpoints.removals {
		table.Entries = append(table.Entries, gossip.Entry{Key: id, Version: version, Removed: true})
	}
	for _, entry := range endpoints.rows {
		table.Entries = append(table.Entries, gossip.Entry{Key: entry.Key, Value: entry.Value, Version: entry.Version})
	}
	control.publishedTables[tableEndpoints].Store(table)
}

// firstHostOf returns the ID of a replica's first host, or "" if it is not known.
func (control *Control) firstHostOf(replica string) string {
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

// ofService returns a service's endpoints in the order of their IDs.
func (endpoints *endpoints) ofService(service string) []fleet.Endpoint {
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
	load := endpoints.loads[id]
	if load == nil {
		load = &reach.Load{}
		endpoints.loads[id] = load
	}
	return load
}
