package edge

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"hickorybend/core/rows"
	"hickorybend/io/event"
	"hickorybend/io/gossip"
	"hickorybend/platform"
)

const (
	nodePrefix    = "node/"
	gossipEvery   = 100 * time.Millisecond
	gossipAway    = time.Second            // between two tries of a node that does not answer
	digestTerm    = time.Second            // after which a node's requests in flight no longer count
	behindGrace   = 400 * time.Millisecond // for the store's own news, before a peer's table is fetched
	peerIdle      = 30 * time.Second
	peerDialLimit = 400 * time.Millisecond
)

// peers is what is known of the other nodes.
type peers struct {
	self    string
	key     string
	http    *http.Client
	nodes   map[string]*peer
	rows    map[string]platform.Entry // of nodes, as the store gave them
	written bool
	writing bool
	behind  [tableCount]time.Time // since when a peer has known more
}

// peer is another node.
type peer struct {
	address string
	client  *gossip.Client
	digest  gossip.Digest
	heardAt time.Time
	nextAt  time.Time
	talking bool
}

// nodeRow is a node's row in the store.
type nodeRow struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

func newPeers(settings Settings) peers {
	dialer := &net.Dialer{Timeout: peerDialLimit}
	return peers{
		self: settings.Node, key: settings.PeerKey, nodes: map[string]*peer{}, rows: map[string]platform.Entry{},
		http: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: peerIdle, DisableCompression: true}},
	}
}

// count gives the number of nodes, this one included.
func (peers *peers) count() int { return len(peers.nodes) + 1 }

func (peers *peers) miss(node string, now time.Time) {
	if found := peers.nodes[node]; found != nil {
		found.talking = false
		found.nextAt = now.Add(gossipAway)
	}
}

// learnOwn takes in the rows of leases and nodes.
func (control *Control) learnOwn(change tableChanged, now time.Time) {
	if change.batch.Whole && change.from == fromStore {
		control.placement.rowsRead = true
	}
	for _, entry := range change.batch.Entries {
		row, err := control.store.Row(tableNames[tableOwn], entry)
		if err != nil {
			event.Log(control.log, event.RowUnreadable, zap.String("row", entry.Key), zap.Error(err))
			continue
		}
		name, isNode := strings.CutPrefix(entry.Key, nodePrefix)
		if isNode {
			control.learnNode(name, row)
			control.copyOwn(entry)
			continue
		}
		if change.from == fromStore {
			control.placement.learnRow(row)
		}
	}
	control.observeLease(now)
	control.writeSelf()
}

func (control *Control) learnNode(name string, row rows.Row) {
	peers := &control.peers
	if name == peers.self {
		return
	}
	var wire nodeRow
	if len(row.Body) == 0 || json.Unmarshal(row.Body, &wire) != nil || wire.Address == "" {
		delete(peers.nodes, name)
		control.changed = true
		return
	}
	if found := peers.nodes[name]; found != nil && found.address == wire.Address {
		return
	}
	peers.nodes[name] = &peer{address: wire.Address, client: gossip.NewClient(peers.http, wire.Address, peers.key)}
	control.changed = true
}

// writeSelf puts this node's address into the store, once.
func (control *Control) writeSelf() {
	peers := &control.peers
	if peers.written || peers.writing || !control.placement.rowsRead {
		return
	}
	key := rows.Key{Part: tableNames[tableOwn], Sort: nodePrefix + peers.self}
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
	return control.store.Commit(control.ctx, rows.Txn{Write: control.peers.self, Steps: []rows.Step{rows.Over(row, body)}})
}

// nodeWritten brings the outcome of writing this node's row.
type nodeWritten struct {
	outcome rows.Outcome
}

func (nodeWritten) message() {}

// gossipNow exchanges digests with the nodes that are due. Of two nodes the one
// with the smaller name calls, since the answer brings the other's digest.
func (control *Control) gossipNow(now time.Time) {
	control.refreshDigest()
	for name, found := range control.peers.nodes {
		calls := control.peers.self < name || now.After(found.heardAt.Add(digestTerm))
		if !calls || found.talking || now.Before(found.nextAt) {
			continue
		}
		found.talking = true
		found.nextAt = now.Add(gossipEvery)
		go control.exchange(name, found.client, *control.digest.Load())
	}
	control.shareLoads(now)
	control.catchUp(now)
}

func (control *Control) exchange(name string, client *gossip.Client, digest gossip.Digest) {
	reply, err := client.Tell(control.ctx, digest)
	if err != nil {
		control.tell(unheard{node: name})
		return
	}
	control.tell(heard{digest: reply})
}

func (control *Control) refreshDigest() {
	digest := &gossip.Digest{Node: control.settings.Node, InFlight: map[string]int{}, Prompts: map[string]int{}, Visited: control.visited() || control.anyVisited(), Leaving: control.leaving}
	for id, load := range control.endpoints.loads {
		if own := load.Own(); own > 0 {
			digest.InFlight[id] = own
		}
		if tokens := load.Prompts(); tokens > 0 {
			digest.Prompts[id] = tokens
		}
	}
	digest.Asked = map[string]int64{}
	for model, work := range control.asked() {
		digest.Asked[model] = int64(work)
	}
	for id := range control.endpoints.lost {
		digest.Lost = append(digest.Lost, id)
	}
	digest.Versions = control.versions()
	control.digest.Store(digest)
}

func (control *Control) versions() []int64 {
	versions := make([]int64, tableCount)
	if control.operators.index != nil {
		versions[tableConfig] = control.operators.index.Config.Version
	}
	versions[tableEndpoints] = control.endpoints.version
	return versions
}

func (control *Control) anyVisited() bool {
	for _, peer := range control.peers.nodes {
		if peer.digest.Visited {
			return true
		}
	}
	return false
}

// Hear answers another node's digest with this node's.
func (control *Control) Hear(digest gossip.Digest) gossip.Digest {
	control.tell(heard{digest: digest})
	return *control.digest.Load()
}

// Table gives another node a whole table.
func (control *Control) Table(table int) gossip.Table {
	if table < 0 || table >= tableCount {
		return gossip.Table{}
	}
	if known := control.copies[table].Load(); known != nil {
		return *known
	}
	return gossip.Table{}
}

func (control *Control) learnDigest(digest gossip.Digest, now time.Time) {
	found := control.peers.nodes[digest.Node]
	if found == nil {
		return // its row has not come yet
	}
	found.digest = digest
	found.heardAt = now
	found.talking = false
	for _, id := range digest.Lost {
		if !control.endpoints.isLost(id) {
			control.probe(id, now)
		}
	}
}

// shareLoads gives each endpoint the other nodes' requests in flight.
func (control *Control) shareLoads(now time.Time) {
	others, prompts := map[string]int{}, map[string]int{}
	for _, found := range control.peers.nodes {
		if now.After(found.heardAt.Add(digestTerm)) {
			continue
		}
		for id, count := range found.digest.InFlight {
			others[id] += count
		}
		for id, tokens := range found.digest.Prompts {
			prompts[id] += tokens
		}
	}
	for id, load := range control.endpoints.loads {
		load.SetOthers(others[id], prompts[id])
	}
}

// catchUp fetches a table from a node that has known more of it for a while:
// the store does not answer this node, or its feed has gone silent.
func (control *Control) catchUp(now time.Time) {
	for _, table := range []int{tableConfig, tableEndpoints} {
		ahead := control.ahead(table, now)
		switch {
		case ahead == nil:
			control.peers.behind[table] = time.Time{}
		case control.peers.behind[table].IsZero():
			control.peers.behind[table] = now
		case now.After(control.peers.behind[table].Add(behindGrace)):
			control.peers.behind[table] = now
			go control.fetchFrom(ahead.client, table)
		}
	}
}

func (control *Control) ahead(table int, now time.Time) *peer {
	own := control.versions()[table]
	var best *peer
	for _, found := range control.peers.nodes {
		if now.After(found.heardAt.Add(digestTerm)) || len(found.digest.Versions) <= table || found.digest.Versions[table] <= own {
			continue
		}
		if best == nil || found.digest.Versions[table] > best.digest.Versions[table] {
			best = found
		}
	}
	return best
}

func (control *Control) fetchFrom(client *gossip.Client, table int) {
	fetched, err := client.Fetch(control.ctx, table)
	if err != nil {
		event.Log(control.log, event.PeerSilent, zap.Error(err))
		return
	}
	if len(fetched.Entries) == 0 {
		return // it knows nothing itself
	}
	batch := platform.Batch{Next: fetched.Version, Whole: true}
	for _, entry := range fetched.Entries {
		batch.Entries = append(batch.Entries, platform.Entry{Key: entry.Key, Value: entry.Value, Version: entry.Version})
	}
	control.tell(tableChanged{table: table, batch: batch, from: fromPeer})
}
