package node

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"hickorybend/core/config"
	"hickorybend/core/group"
	"hickorybend/core/intent"
	"hickorybend/core/lease"
	"hickorybend/core/roster"
	"hickorybend/core/rows"
	"hickorybend/io/admin"
	"hickorybend/io/event"
	"hickorybend/io/hosts"
	"hickorybend/io/table"
)

// Names of the periodic reads other than those of a whole partition, which go by the
// partition's name.
const (
	pollHead     = "head"
	pollHostList = "host-list"
	pollPeers    = "minds"
)

// pollAll starts each read that is due. Host rows are read only while a lease is
// held, and peer statuses only while the configuration is not freshly confirmed.
func (control *Control) pollAll(now time.Time) {
	interval := control.settings.Config.PollInterval
	control.startIfDue(pollHead, interval, now, control.readHead)
	control.startIfDue(pollHostList, interval, now, control.readHostList)
	control.startIfDue(roster.Partition, interval*2, now, control.readPartition(roster.Partition))
	control.startIfDue(admin.DrainsPartition, interval*2, now, control.readPartition(admin.DrainsPartition))
	control.startIfDue(lease.Partition, interval, now, control.readPartition(lease.Partition))
	for _, service := range control.modelServices() {
		partition := group.ReplicasPartition(service.Name)
		control.startIfDue(partition, interval, now, control.readPartition(partition))
	}
	if control.holdsAnyLease(now) {
		control.startIfDue(group.HostsPartition, interval, now, control.readPartition(group.HostsPartition))
	}
	if !control.configCache.Fresh(now) {
		control.startIfDue(pollPeers, interval, now, control.readPeerStatuses)
	}
}

func (control *Control) modelServices() []intent.Service {
	var models []intent.Service
	if control.spec == nil {
		return nil
	}
	for _, service := range control.spec.Services {
		if service.Kind == intent.KindModel {
			models = append(models, service)
		}
	}
	return models
}

// pollOf returns the state of a periodic read, and creates it at its first use.
func (control *Control) pollOf(name string) *poll {
	found, known := control.polls[name]
	if !known {
		found = &poll{}
		control.polls[name] = found
	}
	return found
}

// startIfDue starts a read unless it is running or was started less than an interval
// ago.
func (control *Control) startIfDue(name string, interval time.Duration, now time.Time, read func(ctx context.Context) message) {
	poll := control.pollOf(name)
	if poll.running || now.Before(poll.dueAt) {
		return
	}
	poll.running = true
	poll.dueAt = now.Add(interval)
	control.runInBackground(read)
}

// makeDue makes a read due at the next tick.
func (control *Control) makeDue(name string) {
	control.pollOf(name).dueAt = time.Time{}
}

func (control *Control) readHead(ctx context.Context) message {
	startedAt := time.Now()
	row, err := control.dependencies.Store.Get(ctx, config.HeadKey())
	if errors.Is(err, rows.ErrAbsent) {
		return headResult{startedAt: startedAt}
	}
	return headResult{row: row, err: err, startedAt: startedAt}
}

func (control *Control) readPartition(partition string) func(ctx context.Context) message {
	return func(ctx context.Context) message {
		startedAt := time.Now()
		all, err := control.dependencies.Store.List(ctx, partition)
		return partitionResult{partition: partition, rows: all, err: err, startedAt: startedAt}
	}
}

func (control *Control) readHostList(ctx context.Context) message {
	list, err := control.dependencies.Hosts.List(ctx)
	return hostListResult{hosts: list, err: err}
}

// readPeerStatuses reads the configuration status of every other node. It is needed
// only while this node's own reads of the store fail.
func (control *Control) readPeerStatuses(ctx context.Context) message {
	snapshot := control.snapshot.Load()
	results := make(chan peerStatusResult, len(snapshot.otherNodes))
	for _, node := range snapshot.otherNodes {
		go func() {
			configreply, err := control.dependencies.Peers.ConfigStatus(ctx, node.ControlAddress, snapshot.head)
			if err != nil {
				results <- peerStatusResult{}
				return
			}
			results <- peerStatusResult{rows: configreply.Config, statuses: []config.PeerStatus{configreply.Status}}
		}()
	}
	var all peerStatusResult
	for range snapshot.otherNodes {
		result := <-results
		all.rows = append(all.rows, result.rows...)
		all.statuses = append(all.statuses, result.statuses...)
	}
	return all
}

// updateStoreDown logs when the store stops or resumes answering.
func (control *Control) updateStoreDown(err error) {
	down := err != nil
	if down == control.storeDown {
		return
	}
	control.storeDown = down
	if down {
		control.event(event.StoreDown, zap.Error(err))
		return
	}
	control.event(event.StoreBack)
}

// handleHead reads the sections if the head is newer than the cache, and otherwise
// confirms the cache.
func (control *Control) handleHead(result headResult, now time.Time) {
	control.pollOf(pollHead).running = false
	control.updateStoreDown(result.err)
	if result.err != nil {
		return
	}
	if int64(result.row.Version) > control.configCache.Head() {
		control.fetchConfig(int64(result.row.Version), result.startedAt)
		return
	}
	control.configCache.Confirm(int64(result.row.Version), result.startedAt)
}

// fetchConfig reads the sections after the head was read, so they are at least as
// new as that head. The result's last row carries the head's version.
func (control *Control) fetchConfig(head int64, startedAt time.Time) {
	poll := control.pollOf(config.Partition)
	if poll.running {
		return
	}
	poll.running = true
	control.runInBackground(func(ctx context.Context) message {
		all, err := control.dependencies.Store.List(ctx, config.Partition)
		return partitionResult{partition: config.Partition, rows: append(all, rows.Row{Version: rows.Version(head)}), err: err, startedAt: startedAt}
	})
}

// handlePartition applies the rows of a partition. A failed read of any partition
// restarts the heartbeat timeouts of all nodes, since this node may have been unable
// to read their heartbeats.
func (control *Control) handlePartition(result partitionResult, now time.Time) {
	poll := control.pollOf(result.partition)
	poll.running = false
	if result.err != nil {
		control.roster.ResetTimers(now)
		return
	}
	poll.loaded, poll.startedAt = true, result.startedAt
	switch {
	case result.partition == config.Partition:
		last := len(result.rows) - 1
		control.applySections(result.rows[:last])
		control.configCache.Confirm(int64(result.rows[last].Version), result.startedAt)
	case result.partition == roster.Partition:
		control.roster.Observe(result.rows, now)
		control.deleteStaleNodes(now)
	case result.partition == admin.DrainsPartition:
		control.updateDrains(result.rows)
	case result.partition == lease.Partition:
		control.observeLeases(result.rows, now)
	case result.partition == group.HostsPartition:
		control.updateHostRows(result.rows, result.startedAt)
	default:
		control.updateReplicas(strings.TrimPrefix(result.partition, group.ReplicasPartition("")), result.rows)
	}
}

// applySections puts sections that are newer than the cached ones in force.
func (control *Control) applySections(sections []rows.Row) {
	changed := control.configCache.Update(sections)
	if len(changed) == 0 {
		return
	}
	spec := control.spec
	if spec == nil {
		spec = &intent.Spec{}
	}
	for _, section := range config.SectionsOf(changed) {
		next, err := spec.WithSection(section)
		if err != nil {
			control.event(event.ConfigUnreadable, zap.Error(err))
			continue
		}
		spec = next
	}
	control.spec = spec
	control.sections = control.configCache.Rows()
	control.publishAt = time.Time{}
	control.event(event.ConfigInForce, zap.Int64("head", control.configCache.Head()), zap.Int("sections", len(sections)))
}

// handlePeerStatuses applies the rows that other nodes sent. A peer's confirmation of
// a head counts for this node's cache too.
func (control *Control) handlePeerStatuses(result peerStatusResult) {
	control.pollOf(pollPeers).running = false
	control.applySections(result.rows)
	for _, row := range result.rows {
		if isReplica(row) {
			control.updateReplica(row)
		}
	}
	for _, peerstatus := range result.statuses {
		if peerstatus.Head > 0 {
			control.configCache.Confirm(peerstatus.Head, peerstatus.ConfirmedAt)
		}
	}
	control.peerStatuses = result.statuses
}

// handleRows applies pushed rows and publishes. The row of the head or of a drain is
// not applied: it only makes the read of the head or the drains due.
func (control *Control) handleRows(received rowsReceived, now time.Time) {
	var sections []rows.Row
	for _, row := range received.rows {
		switch {
		case row.Key == config.HeadKey():
			control.makeDue(pollHead)
		case row.Key.Partition == config.Partition:
			sections = append(sections, row)
		case isReplica(row):
			control.updateReplica(row)
		case row.Key.Partition == admin.DrainsPartition:
			control.makeDue(admin.DrainsPartition)
		}
	}
	control.applySections(sections)
	control.publishNow(now)
}

// handleHostList replaces the host list and forgets hosts that left it. While the
// list cannot be read, the last one stays in use.
func (control *Control) handleHostList(result hostListResult, now time.Time) {
	control.pollOf(pollHostList).running = false
	if (result.err != nil) != control.hostListDown {
		control.hostListDown = result.err != nil
		if control.hostListDown {
			control.event(event.HostListDown, zap.Error(result.err))
		} else {
			control.event(event.HostListBack)
		}
	}
	if result.err != nil {
		return
	}
	listed := make(map[string]hosts.Host, len(result.hosts))
	for _, host := range result.hosts {
		listed[host.Name] = host
	}
	for name := range control.listedHosts {
		if _, still := listed[name]; !still {
			control.tracker.Forget(name)
			delete(control.probes, name)
		}
	}
	control.listedHosts = listed
}

// sendHeartbeat writes this node's own row, which shows other nodes that this node
// runs. It waits until the node rows were read, since the write names the row's
// version.
func (control *Control) sendHeartbeat(now time.Time) {
	if control.heartbeatRunning || control.rowRemoved || now.Before(control.heartbeatAt) || !control.pollOf(roster.Partition).loaded {
		return
	}
	control.heartbeatRunning = true
	control.heartbeatAt = now.Add(control.settings.Config.HeartbeatTimeout / heartbeatsPerTimeout)
	put := rows.Replace(control.roster.Row(control.self.Name), control.self.Body())
	writeID := uuid.NewString()
	control.runInBackground(func(ctx context.Context) message {
		outcome := control.dependencies.Store.Commit(ctx, rows.Txn{WriteID: writeID, Ops: []rows.Op{put}})
		return heartbeatResult{put: put, writeID: writeID, outcome: outcome}
	})
}

const heartbeatsPerTimeout = 4

func (control *Control) handleHeartbeat(result heartbeatResult) {
	control.heartbeatRunning = false
	switch result.outcome.(type) {
	case rows.Committed:
		control.roster.RecordRenewal(rows.Apply(result.put, result.writeID), time.Now())
	default:
		control.makeDue(roster.Partition)
		control.heartbeatAt = time.Now().Add(control.settings.Config.PollInterval)
	}
}

// deleteStaleNodes deletes the rows of nodes that have sent no heartbeat for two
// heartbeat timeouts. The first node of the roster by name does it. A second node that
// takes itself for the first does no harm, since each deletion names the row's version.
func (control *Control) deleteStaleNodes(now time.Time) {
	nodes := control.roster.Nodes(now)
	if len(nodes) == 0 || nodes[0].Name != control.self.Name {
		return
	}
	for _, row := range control.roster.Stale(now) {
		delete := rows.Delete{Key: row.Key, Base: row.Version}
		txn := rows.Txn{WriteID: uuid.NewString(), Ops: []rows.Op{delete}}
		control.runInBackground(func(ctx context.Context) message {
			control.dependencies.Store.Commit(ctx, txn)
			return rowsReceived{}
		})
	}
}

// handleDrainRequest marks the node as draining, releases the leases and, if requested,
// deletes the node's row. The row is deleted last: as long as it exists, other nodes
// assume that this node's at-most-once calls may still run.
func (control *Control) handleDrainRequest(request drainRequest, now time.Time) {
	control.self.Draining = true
	control.heartbeatAt = time.Time{}
	txns := control.releaseLeases(now)
	if request.removeRow {
		control.rowRemoved = true
		row := control.roster.Row(control.self.Name)
		txns = append(txns, rows.Txn{WriteID: uuid.NewString(), Ops: []rows.Op{rows.Delete{Key: row.Key, Base: row.Version}}})
	}
	control.runInBackground(func(ctx context.Context) message {
		for _, txn := range txns {
			table.CommitAndResolve(ctx, control.dependencies.Store, txn)
		}
		close(request.done)
		return rowsReceived{}
	})
}

// releaseLeases stops holding every lease and returns the transactions that free them.
func (control *Control) releaseLeases(now time.Time) []rows.Txn {
	var txns []rows.Txn
	for name, claim := range control.claims {
		if txn, held := claim.lease.Release(now, uuid.NewString()); held {
			control.event(event.LeaseReleased, zap.String("lease", name))
			txns = append(txns, txn)
		}
	}
	return txns
}
