package edge

import (
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"hickorybend/core/fleet"
	"hickorybend/core/reach"
	"hickorybend/core/rows"
	"hickorybend/io/event"
	"hickorybend/io/gossip"
	"hickorybend/platform"
)

const (
	maxRemovals  = 1000            // removals kept for peers; beyond that, peers that are behind fetch the full table
	removalGrace = 2 * time.Second // after an outage that rows can lapse in; within it they may come back, and rows may date from before the outage
)

// endpoints is this node's view of the endpoints. The maps are by endpoint ID.
type endpoints struct {
	loaded           bool // the full table has been read
	byID             map[string]fleet.Endpoint
	rows             map[string]platform.Entry // as stored, for peers that fetch the table
	version          rows.Version              // of the newest change in the copy
	completeVersion  rows.Version              // up to which the copy has every change; not below version
	compactedVersion rows.Version              // the copy may have removals up to this version that are not listed
	removals         map[string]rows.Version   // of removed rows
	removed          map[string]fleet.Endpoint // the endpoints of those rows, as last known
	missingUntil     map[string]time.Time      // endpoints whose rows are missing after a store outage, and until when to wait for the rows
	leaving          map[string]time.Time      // endpoints that have said in an answer that they leave, and the starts of those incarnations
	unresponsive     map[string]time.Time      // endpoints that do not answer probes, and when to probe them next
	lostElsewhere    map[string]time.Time      // those of them that the node which watches them has reported, and when it last did
	suspectedUntil   map[string]time.Time      // endpoints that the node which watches them should probe, and until when this node says so
	lateProbes       map[string]int            // probes in a row that failed while this node was late
	pausingUntil     map[string]time.Time      // those of them that accept connections, and until when they may only be pausing
	reportedAt       map[string]time.Time      // when the probe was sent whose report was last applied
	updatedAt        map[string]time.Time      // when a row was last applied, or the endpoint left its replica
	probedAt         map[string]time.Time      // when the last probe was sent
	probing          map[string]bool           // a probe is pending
	answeredAt       map[string]time.Time      // when the last probe was sent that the endpoint has answered
	failedAt         map[string]time.Time      // when the last probe was sent that the endpoint has not answered
	silentElsewhere  map[string]time.Time      // endpoints that do not answer other nodes, and since when these have said so
	loads            map[string]*reach.Load
	linkChecks       map[string]time.Time // endpoints without an engine that this node does not reach, and when to check them next
	nextLinkLogAt    time.Time
	linkLogsLeftOut  int
}

func newEndpoints() endpoints {
	return endpoints{
		removals: map[string]rows.Version{}, removed: map[string]fleet.Endpoint{},
		byID: map[string]fleet.Endpoint{}, rows: map[string]platform.Entry{}, missingUntil: map[string]time.Time{},
		leaving: map[string]time.Time{}, unresponsive: map[string]time.Time{}, lostElsewhere: map[string]time.Time{}, suspectedUntil: map[string]time.Time{}, lateProbes: map[string]int{}, pausingUntil: map[string]time.Time{}, reportedAt: map[string]time.Time{}, updatedAt: map[string]time.Time{}, probedAt: map[string]time.Time{}, probing: map[string]bool{}, answeredAt: map[string]time.Time{}, failedAt: map[string]time.Time{}, silentElsewhere: map[string]time.Time{}, loads: map[string]*reach.Load{}, linkChecks: map[string]time.Time{},
	}
}

// handleEndpoints applies rows of the endpoints table, and leaves out those that
// are older than the known ones: a slow answer of the store may arrive after newer
// rows from a peer.
//
// All versions are the store's, so a peer whose copy is complete up to a version
// need not fetch anything up to it. A version of this node's own would be given
// out again by the store, and the change that gets it would never reach the peers
// that already have that version.
func (control *Control) handleEndpoints(change tableChanged, now time.Time) {
	endpoints := &control.endpoints
	if change.from == fromPeer && change.batch.Version <= endpoints.completeVersion {
		return
	}
	oldestNews := endpoints.oldestNews(change.batch)
	listed := map[string]bool{}
	for _, entry := range change.batch.Entries {
		listed[entry.Key] = !entry.Removed
		if entry.Version < oldestNews {
			continue
		}
		// A table read page by page may have rows that are newer than its version.
		endpoints.version = max(endpoints.version, min(entry.Version, change.batch.Version))
		if entry.Removed {
			control.handleRemoval(entry.Key, entry.Version, now.Add(entry.GraceLeft), change.from, now)
			continue
		}
		delete(endpoints.removals, entry.Key)
		control.handleEndpointRow(entry, change.from, now)
	}
	if change.batch.Full {
		control.handleFullTable(change, listed, now)
	}
	endpoints.completeVersion = max(endpoints.completeVersion, change.batch.Version)
	control.publishEndpointTable()
	control.snapshotStale = true
}

// accepts reports whether a batch may be applied: not if it is of an earlier era
// than the copy, and changes need a copy of their era to apply to. A copy of an
// earlier era stays in use until the full table has been read.
func (endpoints *endpoints) accepts(batch platform.Batch) bool {
	era, known := batch.Version.Era(), endpoints.completeVersion.Era()
	if batch.Full {
		return era >= known
	}
	return era == known && endpoints.completeVersion > 0
}

// handleFullTable removes the endpoints that a full table does not list. Rows that
// came and went before it are not known here, so peers whose copies are not
// complete up to it have to fetch the full table too.
func (control *Control) handleFullTable(change tableChanged, listed map[string]bool, now time.Time) {
	endpoints := &control.endpoints
	if endpoints.loaded && change.batch.Version.Era() > endpoints.completeVersion.Era() {
		control.copies.watermarks[tableEndpoints].RecoveredAt = now // the endpoints write again what the store has lost
		event.Log(control.log, event.StoreWentBack, zap.Int64("era", change.batch.Version.Era()), zap.Int("missing", endpoints.countMissing(listed)),
			zap.String("from", string(change.from)))
	}
	endpoints.loaded = true
	endpoints.compactedVersion = max(endpoints.compactedVersion, change.batch.Version)
	for id, row := range endpoints.rows {
		if !listed[id] && row.Version <= change.batch.Version {
			endpoints.version = max(endpoints.version, change.batch.Version)
			control.handleRemoval(id, change.batch.Version, now, change.from, now)
		}
	}
}

// countMissing returns the number of known endpoints that a full table does not list.
func (endpoints *endpoints) countMissing(listed map[string]bool) int {
	missing := 0
	for id := range endpoints.byID {
		if !listed[id] {
			missing++
		}
	}
	return missing
}

// oldestNews returns the lowest version of a row in a batch that the copy may
// lack. A full table that is as new as the copy is taken as it is. Of any other
// batch, the copy has all changes up to its own version. For example, a copy that
// was read in full at version 5 lacks a row that was removed under 4; an answer of
// the store that was given at version 3, and arrives only now, has that row.
func (endpoints *endpoints) oldestNews(batch platform.Batch) rows.Version {
	if batch.Full && batch.Version >= endpoints.completeVersion {
		return 0
	}
	return endpoints.completeVersion + 1
}

// handleEndpointRow applies one row. From a row older than the known one it takes
// only that the endpoint is draining. From one that may be older than the
// endpoint's last report it takes only the sequence number and whether the
// endpoint is draining.
func (control *Control) handleEndpointRow(entry platform.Entry, from source, now time.Time) {
	endpoints := &control.endpoints
	endpoints.rows[entry.Key] = entry // also if it cannot be decoded: peers have to drop what they know
	endpoint, err := platform.DecodeEndpoint(entry.Key, entry.Value)
	if removed, found := endpoints.removed[entry.Key]; found && err == nil && removed.NotOlder(endpoint) {
		return // written before the removal, which the store has lost
	}
	delete(endpoints.missingUntil, entry.Key)
	delete(endpoints.removed, entry.Key)
	if err != nil {
		event.Log(control.log, event.RowUnreadable, zap.String("endpoint", entry.Key), zap.Error(err))
		delete(endpoints.byID, entry.Key)
		return
	}
	control.applyColdRow(endpoint, now)
	endpoint.Draining = endpoint.Draining || endpoints.saysLeaving(endpoint)
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
	endpoints.set(endpoint)
	endpoints.updatedAt[entry.Key] = now
	endpoints.forgetEarlierIncarnation(endpoint)
	if _, elsewhere := endpoints.lostElsewhere[entry.Key]; endpoints.isUnresponsive(entry.Key) && !elsewhere {
		control.probe(entry.Key, now) // the new row shows that the endpoint still writes to the store
	}
	if !found || endpoint.Draining != previous.Draining || endpoint.Membership != previous.Membership {
		event.Log(control.log, event.EndpointChanged, zap.String("endpoint", entry.Key), zap.String("address", endpoint.Address),
			zap.Bool("draining", endpoint.Draining), zap.String("replica", endpoint.Membership.Replica),
			zap.String("phase", string(endpoint.Membership.Phase)), zap.Int64("beat", endpoint.Sequence),
			zap.String("from", string(from)), zap.Int64("version", entry.Version.Number()), zap.Int64("era", entry.Version.Era()), zap.Duration("age", control.copies.age(tableEndpoints, now)))
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
	recoveredAt := control.copies.watermarks[tableEndpoints].RecoveredAt
	return row.Sequence == previous.Sequence || !recoveredAt.IsZero() && now.Before(recoveredAt.Add(removalGrace)) && reportedAt.Before(recoveredAt)
}

// handleRemoval records that a row is gone from the store since a version. The
// endpoint itself is forgotten at once, or, if the row may come back, at the end
// of the grace: that of this node, or the one that a peer reports. Peers learn of
// the removal at once and keep the grace themselves.
func (control *Control) handleRemoval(id string, version rows.Version, graceEnd time.Time, from source, now time.Time) {
	endpoints := &control.endpoints
	delete(endpoints.rows, id)
	endpoints.removals[id] = version
	if len(endpoints.removals) > maxRemovals {
		endpoints.removals, endpoints.removed = map[string]rows.Version{}, map[string]fleet.Endpoint{}
		endpoints.compactedVersion = max(endpoints.compactedVersion, endpoints.version)
	}
	if _, found := endpoints.byID[id]; !found {
		return
	}
	if recoveredAt := control.copies.watermarks[tableEndpoints].RecoveredAt; !recoveredAt.IsZero() && recoveredAt.Add(removalGrace).After(graceEnd) {
		graceEnd = recoveredAt.Add(removalGrace)
	}
	if now.Before(graceEnd) {
		endpoints.missingUntil[id] = graceEnd
		return
	}
	control.forgetEndpoint(id, version, from, now)
}

// forgetEndpoint forgets an endpoint whose row is gone.
func (control *Control) forgetEndpoint(id string, version rows.Version, from source, now time.Time) {
	endpoints := &control.endpoints
	endpoints.removed[id] = endpoints.byID[id]
	event.Log(control.log, event.EndpointGone, zap.String("endpoint", id), zap.String("replica", endpoints.byID[id].Membership.Replica),
		zap.String("from", string(from)), zap.Int64("version", version.Number()), zap.Int64("era", version.Era()), zap.Duration("age", control.copies.age(tableEndpoints, now)))
	delete(endpoints.byID, id)
	delete(endpoints.missingUntil, id)
	delete(endpoints.leaving, id)
	endpoints.forgetUnresponsive(id)
	delete(endpoints.updatedAt, id)
	delete(endpoints.reportedAt, id)
	delete(endpoints.answeredAt, id)
	delete(endpoints.failedAt, id)
	control.snapshotStale = true
}

// checkEndpointDeadlines forgets endpoints whose rows have not come back in time,
// and probes unresponsive ones that are due.
func (control *Control) checkEndpointDeadlines(now time.Time) {
	endpoints := &control.endpoints
	for id, deadline := range endpoints.missingUntil {
		if !now.Before(deadline) {
			control.forgetEndpoint(id, endpoints.removals[id], fromGrace, now)
		}
	}
	control.expireLost(now)
	control.checkLinks(now)
	for id, nextProbeAt := range endpoints.unresponsive {
		if now.After(nextProbeAt) {
			endpoints.unresponsive[id] = now.Add(control.reprobeDelay(id, now))
			control.probe(id, now)
		}
	}
}

// publishEndpointTable publishes the rows and removals for peers.
func (control *Control) publishEndpointTable() {
	endpoints := &control.endpoints
	table := &gossip.Table{Version: endpoints.version, CompactedVersion: endpoints.compactedVersion}
	for id, version := range endpoints.removals {
		table.Entries = append(table.Entries, gossip.Entry{Key: id, Version: version, Removed: true, GraceEnd: endpoints.missingUntil[id]})
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
