package edge

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"go.uber.org/zap"

	"hickorybend/core/rows"
	"hickorybend/io/event"
	"hickorybend/io/gossip"
	"hickorybend/platform"
)

// nodeRow is the body of a node's row in the store.
type nodeRow struct {
	Address   string  `json:"address"`
	Zone      string  `json:"zone"`
	Processor float64 `json:"processor,omitempty"` // Settings.Processor
	Region    string  `json:"region,omitempty"`    // of the node, which keeps to home regions; a node without regions, or of an earlier build, states none
}

const (
	removedRowTTL   = 5 * time.Minute        // for which a removed row is kept, so that changes tell of it
	withdrawTimeout = 200 * time.Millisecond // of a stopping node's last commit
)

// removal is a row of the nodes table that was removed.
type removal struct {
	version rows.Version
	at      time.Time // when this node learned of it
}

// handleNodes applies rows of the nodes table.
func (control *Control) handleNodes(change tableChanged, now time.Time) {
	peers := control.peers
	if change.batch.Version.Era() > peers.version.Era() {
		peers.settledSince = now
	}
	listed := map[string]bool{}
	for _, entry := range change.batch.Entries {
		listed[entry.Key] = true
		control.applyNodeRow(entry, now)
	}
	if change.batch.Full {
		control.dropUnlisted(listed, change.batch.Version, now)
	}
	peers.version = max(peers.version, rows.NewVersion(change.batch.Version.Era(), 0))
	control.publishNodeTable(now)
	if control.nodeRowLost() {
		peers.rowWritten = false
		event.Log(control.log, event.NodeRowLost, zap.Int64("era", peers.version.Era()))
	}
	if change.from == fromStore || !peers.rowWritten {
		control.writeNodeRow()
	}
}

// applyNodeRow applies a row unless a newer one has been applied.
func (control *Control) applyNodeRow(entry platform.Entry, now time.Time) {
	peers := control.peers
	known, found := peers.rows[entry.Key]
	if entry.Version < known.Version || entry.Version < peers.removed[entry.Key].version {
		return
	}
	row, err := control.store.DecodeRow(tableNames[tableNodes], entry)
	if err != nil {
		event.Log(control.log, event.RowUnreadable, zap.String("row", entry.Key), zap.Error(err))
		return
	}
	peers.version = max(peers.version, entry.Version)
	if entry.Removed {
		control.dropNodeRow(entry.Key, entry.Version, now)
		return
	}
	delete(peers.removed, entry.Key)
	peers.rows[entry.Key] = entry
	control.updatePeer(entry.Key, row, found && entry.Version > known.Version, now)
}

// dropUnlisted drops the rows that a full table of the same era, or of one that began after it
// was read, lacks. Where the store has come back from an older copy, living nodes write
// theirs again; the members that do not are found to be gone.
func (control *Control) dropUnlisted(listed map[string]bool, version rows.Version, now time.Time) {
	for name, entry := range control.peers.rows {
		if !listed[name] && entry.Version <= version && entry.Version.Era() == version.Era() {
			control.dropNodeRow(name, version, now)
		}
	}
}

// dropNodeRow drops a row that was removed, and the member with it.
func (control *Control) dropNodeRow(name string, version rows.Version, now time.Time) {
	peers := control.peers
	peers.removed[name] = removal{version: version, at: now}
	delete(peers.rows, name)
	peers.forget(name)
	control.snapshotStale = true
}

// nodeRowLost reports whether this node's row was removed since this node wrote it, or the store
// has come back from a copy that lacks the row or has an older one. Every row that
// the copy has is read again, so its version is of the latest era.
func (control *Control) nodeRowLost() bool {
	peers := control.peers
	if _, removed := peers.removed[peers.self]; removed && peers.rowWritten && !peers.withdrawn {
		return true
	}
	row, found := peers.rows[peers.self]
	if !found || !peers.rowWritten || peers.rowEra == peers.version.Era() {
		return false
	}
	var wire nodeRow
	decoded, err := control.store.DecodeRow(tableNames[tableNodes], row)
	return row.Version.Era() < peers.version.Era() || err != nil || json.Unmarshal(decoded.Body, &wire) != nil ||
		wire != control.ownNodeRow()
}

// ownNodeRow returns the body of this node's row.
func (control *Control) ownNodeRow() nodeRow {
	return nodeRow{Address: control.settings.PeersAddress, Zone: control.settings.Zone, Processor: control.settings.Processor, Region: control.settings.regions().Own()}
}

// updatePeer adds or replaces a peer by its row. rewritten says that an earlier one was known.
func (control *Control) updatePeer(name string, row rows.Row, rewritten bool, now time.Time) {
	peers := control.peers
	if name == peers.self {
		return
	}
	var wire nodeRow
	if err := json.Unmarshal(row.Body, &wire); err != nil || !usableAddress(wire.Address) {
		event.Log(control.log, event.NodeRowOdd, zap.String("row", name), zap.String("address", wire.Address), zap.Error(err))
		peers.forget(name)
		control.snapshotStale = true
		return
	}
	peers.members.Put(name, rewritten, now)
	control.applyMembership(now)
	if known := peers.peer(name); known != nil && known.address == wire.Address && known.zone == wire.Zone && known.region == wire.Region && known.processor == wire.Processor {
		return
	}
	delete(peers.gone, name)
	peers.nodes[name] = &peer{zone: wire.Zone, region: wire.Region, address: wire.Address, processor: wire.Processor, client: gossip.NewClient(peers.http, wire.Address, peers.key)}
	control.snapshotStale = true
}

// usableAddress reports whether a node's address has a host and a port.
func usableAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}

// writeNodeRow starts a write of this node's address and zone to the store, unless
// one is pending or has been committed.
func (control *Control) writeNodeRow() {
	peers := control.peers
	if peers.rowWritten || peers.rowWriting || peers.withdrawn {
		return
	}
	key := rows.Key{Partition: tableNames[tableNodes], Sort: peers.self}
	body, err := json.Marshal(control.ownNodeRow())
	if err != nil {
		event.Log(control.log, event.RowUnreadable, zap.Error(err))
		return
	}
	peers.rowWriting = true
	delete(peers.removed, peers.self)
	era := peers.version.Era()
	go func() {
		outcome := control.overwriteRow(key, body)
		control.enqueue(nodeRowResult{outcome: outcome, era: era})
	}()
}

// overwriteRow replaces a row whatever its contents, or creates it. At the first start it takes
// the row for absent until the store says otherwise.
func (control *Control) overwriteRow(key rows.Key, body []byte) rows.Outcome {
	if time.Since(control.startedAt) < control.startHold(tableNodes) {
		outcome := control.store.Commit(control.ctx, rows.Txn{WriteID: control.peers.self, Ops: []rows.Op{rows.Replace(rows.Row{Key: key}, body)}})
		if _, rejected := outcome.(rows.Rejected); !rejected {
			return outcome
		}
	}
	row, err := control.store.Get(control.ctx, key)
	if err != nil && row.Key != key {
		row = rows.Row{Key: key}
	}
	return control.store.Commit(control.ctx, rows.Txn{WriteID: control.peers.self, Ops: []rows.Op{rows.Replace(row, body)}})
}

// withdrawNodeRow removes this stopping node's row, if it is still the one that this node knows:
// a process that has been started in its place may have written another.
func (control *Control) withdrawNodeRow(request withdrawRequest) {
	peers := control.peers
	peers.withdrawn = true
	entry, found := peers.rows[peers.self]
	if !found {
		close(request.done)
		return
	}
	go func() {
		defer close(request.done)
		ctx, cancel := context.WithTimeout(control.ctx, withdrawTimeout)
		defer cancel()
		event.Log(control.log, event.NodeRowWithdrawn, zap.String("outcome", describeOutcome(control.store.Remove(ctx, tableNames[tableNodes], entry))))
	}()
}

// nodeRowResult is the outcome of writing this node's row.
type nodeRowResult struct {
	outcome rows.Outcome
	era     int64 // the store's latest known era when the row was sent
}

// withdrawRequest has a stopping node withdraw its row. done is closed when it has tried.
type withdrawRequest struct {
	done chan struct{}
}

func (nodeRowResult) message()   {}
func (withdrawRequest) message() {}
