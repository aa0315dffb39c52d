package edge

import (
	"encoding/json"

	"go.uber.org/zap"

	"hickorybend/core/rows"
	"hickorybend/io/event"
	"hickorybend/io/gossip"
)

// nodeRow is a node's row in the store.
type nodeRow struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// learnNodes takes in the rows of nodes.
func (control *Control) learnNodes(change tableChanged) {
	peers := control.peers
	for _, entry := range change.batch.Entries {
		if entry.Version < peers.rows[entry.Key].Version {
			continue // another node told of it before
		}
		row, err := control.store.DecodeRow(tableNames[tableNodes], entry)
		if err != nil {
			event.Log(control.log, event.RowUnreadable, zap.String("row", entry.Key), zap.Error(err))
			continue
		}
		control.learnNode(entry.Key, row)
		peers.rows[entry.Key] = entry
		peers.version = max(peers.version, entry.Version)
	}
	control.copyNodes()
	if change.from == fromStore {
		control.writeSelf()
	}
}

func (control *Control) learnNode(name string, row rows.Row) {
	peers := control.peers
	if name == peers.self {
		return
	}
	var wire nodeRow
	if len(row.Body) == 0 || json.Unmarshal(row.Body, &wire) != nil || wire.Address == "" {
		delete(peers.nodes, name)
		control.changed = true
		return
	}
	if found := peers.nodes[name]; found != nil && found.address == wire.Address && found.zone == wire.Zone {
		return
	}
	peers.nodes[name] = &peer{zone: wire.Zone, address: wire.Address, client: gossip.NewClient(peers.http, wire.Address, peers.key)}
	control.changed = true
}

// writeSelf puts this node's address into the store, once.
func (control *Control) writeSelf() {
	peers := control.peers
	if peers.written || peers.writing {
		return
	}
	key := rows.Key{Partition: tableNames[tableNodes], Sort: peers.self}
	body, err := json.Marshal(nodeRow{Address: control.settings.PeersAddress, Zone: control.settings.Zone})
	if err != nil {
		event.Log(control.log, event.RowUnreadable, zap.Error(err))
		return
	}
	peers.writing = true
	go func() {
		outcome := control.overwrite(key, body)
		control.tell(nodeWritten{outcome: outcome})
	}()
}

// overwrite replaces a row whatever it was.
func (control *Control) overwrite(key rows.Key, body []byte) rows.Outcome {
	row, err := control.store.Get(control.ctx, key)
	if err != nil && row.Key != key {
		row = rows.Row{Key: key}
	}
	return control.store.Commit(control.ctx, rows.Txn{WriteID: control.peers.self, Ops: []rows.Op{rows.Replace(row, body)}})
}

// nodeWritten brings the outcome of writing this node's row.
type nodeWritten struct {
	outcome rows.Outcome
}

func (nodeWritten) message() {}
