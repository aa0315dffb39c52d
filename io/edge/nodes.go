package edge

import (
	"encoding/json"

	"go.uber.org/zap"

	"hickorybend/core/rows"
	"hickorybend/io/event"
	"hickorybend/io/gossip"
)

// nodeRow is the body of a node's row in the store.
type nodeRow struct {
	Address   string  `json:"address"`
	Zone      string  `json:"zone"`
	Processor float64 `json:"processor,omitempty"` // Settings.Processor
}

// handleNodes applies rows of the nodes table.
func (control *Control) handleNodes(change tableChanged) {
	peers := control.peers
	for _, entry := range change.batch.Entries {
		if entry.Version < peers.rows[entry.Key].Version {
			continue // a newer row has been applied already
		}
		row, err := control.store.DecodeRow(tableNames[tableNodes], entry)
		if err != nil {
			event.Log(control.log, event.RowUnreadable, zap.String("row", entry.Key), zap.Error(err))
			continue
		}
		control.updatePeer(entry.Key, row)
		peers.rows[entry.Key] = entry
		peers.version = max(peers.version, entry.Version)
	}
	peers.version = max(peers.version, rows.NewVersion(change.batch.Version.Era(), 0))
	control.publishNodeTable()
	if control.nodeRowLost() {
		peers.rowWritten = false
		event.Log(control.log, event.NodeRowLost, zap.Int64("era", peers.version.Era()))
	}
	if change.from == fromStore || !peers.rowWritten {
		control.writeNodeRow()
	}
}

// nodeRowLost reports whether, since this node wrote its row, the store has come back
// from a copy that lacks the row or has an older one. Every row that the copy has is
// read again, so its version is of the latest era.
func (control *Control) nodeRowLost() bool {
	peers := control.peers
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
	return nodeRow{Address: control.settings.PeersAddress, Zone: control.settings.Zone, Processor: control.settings.Processor}
}

// updatePeer adds, replaces or removes a peer by its row.
func (control *Control) updatePeer(name string, row rows.Row) {
	peers := control.peers
	if name == peers.self {
		return
	}
	var wire nodeRow
	if len(row.Body) == 0 || json.Unmarshal(row.Body, &wire) != nil || wire.Address == "" {
		delete(peers.nodes, name)
		control.snapshotStale = true
		return
	}
	if known := peers.nodes[name]; known != nil && known.address == wire.Address && known.zone == wire.Zone && known.processor == wire.Processor {
		return
	}
	peers.nodes[name] = &peer{zone: wire.Zone, address: wire.Address, processor: wire.Processor, client: gossip.NewClient(peers.http, wire.Address, peers.key)}
	control.snapshotStale = true
}

// writeNodeRow starts a write of this node's address and zone to the store, unless
// one is pending or has been committed.
func (control *Control) writeNodeRow() {
	peers := control.peers
	if peers.rowWritten || peers.rowWriting {
		return
	}
	key := rows.Key{Partition: tableNames[tableNodes], Sort: peers.self}
	body, err := json.Marshal(control.ownNodeRow())
	if err != nil {
		event.Log(control.log, event.RowUnreadable, zap.Error(err))
		return
	}
	peers.rowWriting = true
	era := peers.version.Era()
	go func() {
		outcome := control.overwriteRow(key, body)
		control.enqueue(nodeRowResult{outcome: outcome, era: era})
	}()
}

// overwriteRow replaces a row whatever its contents, or creates it.
func (control *Control) overwriteRow(key rows.Key, body []byte) rows.Outcome {
	row, err := control.store.Get(control.ctx, key)
	if err != nil && row.Key != key {
		row = rows.Row{Key: key}
	}
	return control.store.Commit(control.ctx, rows.Txn{WriteID: control.peers.self, Ops: []rows.Op{rows.Replace(row, body)}})
}

// nodeRowResult is the outcome of writing this node's row.
type nodeRowResult struct {
	outcome rows.Outcome
	era     int64 // the store's latest known era when the row was sent
}

func (nodeRowResult) message() {}
