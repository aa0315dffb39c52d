package edge

import (
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"hickorybend/core/topo"
	"hickorybend/io/event"
	"hickorybend/io/gossip"
	"hickorybend/platform"
)

const (
	gossipEvery   = 100 * time.Millisecond // between two exchanges of a pair
	zoneRound     = 20                     // nodes of a zone for which a leader has time in one interval
	gossipAway    = time.Second            // between two tries of a node that does not answer
	digestTerm    = time.Second            // after which a node's requests in flight no longer count
	behindGrace   = 400 * time.Millisecond // for the store's own news, before a peer's table is fetched
	peerIdle      = 30 * time.Second
	peerDialLimit = 400 * time.Millisecond
)

// peers is what is known of the other nodes.
type peers struct {
	self     string
	zone     string
	key      string
	http     *http.Client
	nodes    map[string]*peer
	rows     map[string]platform.Entry // of nodes, as the store gave them
	version  int64                     // of the newest of them
	written  bool
	writing  bool
	behind   [tableCount]time.Time // since when a peer has known more
	fetching [tableCount]bool
	part     topo.Role
	missed   []string                      // endpoints that this zone's leader misses
	wide     atomic.Pointer[gossip.Digest] // all nodes, summed up by a leader; nil in a mesh
	near     atomic.Pointer[gossip.Digest] // this zone's nodes, summed up by its leader; nil in a mesh
}

// peer is another node.
type peer struct {
	zone    string
	address string
	client  *gossip.Client
	digest  gossip.Digest
	heardAt time.Time
	nextAt  time.Time
	talking bool
	down    bool // it did not answer lately
}

func newPeers(settings Settings) *peers {
	dialer := &net.Dialer{Timeout: peerDialLimit}
	return &peers{
		self: settings.Node, zone: settings.Zone, key: settings.PeerKey, nodes: map[string]*peer{}, rows: map[string]platform.Entry{},
		http: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: peerIdle, DisableCompression: true}},
	}
}

// count gives the number of nodes, this one included.
func (peers *peers) count() int { return len(peers.nodes) + 1 }

func (peers *peers) miss(node string, now time.Time) {
	if found := peers.nodes[node]; found != nil {
		found.talking = false
		found.down = true
		found.nextAt = now.Add(gossipAway)
	}
}

// gossipNow exchanges digests with the nodes that are due.
func (control *Control) gossipNow(now time.Time) {
	control.arrange(now)
	control.refreshDigest()
	control.sumUp(now)
	peers := control.peers
	interval := gossipEvery
	if !peers.part.Mesh && !peers.part.IsLeader {
		interval *= time.Duration(1 + peers.part.ZoneSize/zoneRound)
	}
	for _, name := range peers.part.Peers {
		found := peers.nodes[name]
		if found.talking || now.Before(found.nextAt) {
			continue
		}
		found.talking = true
		found.nextAt = now.Add(interval)
		go control.exchange(name, found.client, control.told(found.zone))
	}
	control.shareLoads(now)
	control.catchUp(now)
}

// arrange works out this node's part among the others.
func (control *Control) arrange(now time.Time) {
	peers := control.peers
	others := make([]topo.Node, 0, len(peers.nodes))
	for name, found := range peers.nodes {
		others = append(others, topo.Node{Name: name, Zone: found.zone, Down: found.down || found.silent(now, peers)})
	}
	peers.part = topo.Assign(topo.Node{Name: peers.self, Zone: control.settings.Zone}, others)
	control.leads.Store(peers.part.IsLeader)
	leader := peers.nodes[peers.part.Leader]
	control.informed.Store(!peers.part.Mesh && leader != nil && !leader.digest.StoreUnreachable && leader.fresh(now))
}

// fresh tells whether the node was heard of late enough for its word to count.
func (peer *peer) fresh(now time.Time) bool { return now.Before(peer.heardAt.Add(digestTerm)) }

// silent tells whether a node that should call, or answer, has not for a while.
func (peer *peer) silent(now time.Time, peers *peers) bool {
	exchanges := peers.part.Mesh || peers.part.IsLeader && peer.zone != peers.zone
	return exchanges && !peer.heardAt.IsZero() && !peer.fresh(now)
}

// told is what a node of a zone is told: in a mesh, and by a member, this
// node's own state; between leaders that of the zone.
func (control *Control) told(zone string) gossip.Digest {
	near := control.peers.near.Load()
	if near != nil && zone != control.settings.Zone {
		return *near
	}
	return *control.digest.Load()
}

// sumUp adds the digests that a leader has: its zone's for other leaders, and
// all of them for its zone.
func (control *Control) sumUp(now time.Time) {
	peers := control.peers
	if peers.part.Mesh || !peers.part.IsLeader {
		peers.near.Store(nil)
		peers.wide.Store(nil)
		return
	}
	near, wide := *control.digest.Load(), *control.digest.Load()
	near, wide = near.Copy(), wide.Copy()
	for _, found := range peers.nodes {
		if !found.fresh(now) {
			continue
		}
		wide.Add(found.digest)
		if found.zone == control.settings.Zone {
			near.Add(found.digest)
		}
	}
	peers.near.Store(&near)
	peers.wide.Store(&wide)
}

func (control *Control) exchange(name string, client *gossip.Client, digest gossip.Digest) {
	reply, err := client.Exchange(control.ctx, digest)
	if err != nil {
		control.tell(unheard{node: name})
		return
	}
	control.tell(heard{digest: reply})
}

func (control *Control) refreshDigest() {
	digest := &gossip.Digest{Node: control.settings.Node, Zone: control.settings.Zone, InFlight: map[string]int{}, PromptTokens: map[string]int{}, HadRequests: control.visited() || control.anyVisited()}
	for id, load := range control.endpoints.loads {
		if own := load.OwnInFlight(); own > 0 {
			digest.InFlight[id] = own
		}
		if tokens := load.OwnPendingTokens(); tokens > 0 {
			digest.PromptTokens[id] = tokens
		}
	}
	digest.Demand = map[string]int64{}
	for model, work := range control.asked() {
		digest.Demand[model] = int64(work)
	}
	for id := range control.endpoints.lost {
		digest.Unresponsive = append(digest.Unresponsive, id)
	}
	digest.Versions = control.versions()
	if placement := &control.placement; placement.held && placement.turn > 0 { // before its first plan it knows of nothing
		digest.Fence, digest.PlanCount, digest.Quarantined = placement.fence, placement.turn, placement.freed(time.Now())
	}
	digest.StoreReplyAge = int64(time.Since(control.storeAt))
	digest.StoreUnreachable = !control.operators.silentSince[tableConfig].IsZero()
	control.digest.Store(digest)
}

func (control *Control) versions() []int64 {
	versions := make([]int64, tableCount)
	if control.operators.index != nil {
		versions[tableConfig] = control.operators.index.Config.Version
	}
	versions[tableEndpoints] = control.endpoints.version
	versions[tableNodes] = control.peers.version
	return versions
}

func (control *Control) anyVisited() bool {
	for _, peer := range control.peers.nodes {
		if peer.digest.HadRequests {
			return true
		}
	}
	return false
}

// HandleDigest answers another node's digest with this node's.
func (control *Control) HandleDigest(digest gossip.Digest) gossip.Digest {
	control.tell(heard{digest: digest})
	wide := control.peers.wide.Load()
	if wide == nil || digest.Zone != control.settings.Zone {
		return control.told(digest.Zone)
	}
	rest := wide.Copy()
	rest.Subtract(digest)
	return rest
}

// Table gives another node what changed in a table after a version.
func (control *Control) Table(table int, after int64) gossip.Table {
	if table < 0 || table >= tableCount {
		return gossip.Table{}
	}
	known := control.copies[table].Load()
	if known == nil {
		return gossip.Table{}
	}
	return known.ChangesAfter(after)
}

func (control *Control) learnDigest(digest gossip.Digest, now time.Time) {
	found := control.peers.nodes[digest.Node]
	if found == nil {
		return // its row has not come yet
	}
	found.digest = digest
	found.heardAt = now
	found.talking = false
	found.down = false
	control.learnLost(digest, now)
	control.placement.learnTold(digest, now)
}

// learnLost looks at the endpoints that another node misses, and at those that
// this zone's leader misses no more.
func (control *Control) learnLost(digest gossip.Digest, now time.Time) {
	known, peers := &control.endpoints, control.peers
	for _, id := range digest.Unresponsive {
		if !known.isLost(id) && now.After(known.probedAt[id].Add(hintPause)) {
			control.probe(id, now)
		}
	}
	if digest.Node != peers.part.Leader {
		return
	}
	for _, id := range peers.missed {
		if known.isLost(id) && !slices.Contains(digest.Unresponsive, id) {
			control.probe(id, now)
		}
	}
	peers.missed = digest.Unresponsive
}

// shareLoads gives each endpoint the other nodes' requests in flight.
func (control *Control) shareLoads(now time.Time) {
	others, prompts := map[string]int{}, map[string]int{}
	for _, found := range control.peers.nodes {
		if !found.fresh(now) {
			continue
		}
		for id, count := range found.digest.InFlight {
			others[id] += count
		}
		for id, tokens := range found.digest.PromptTokens {
			prompts[id] += tokens
		}
	}
	for id, load := range control.endpoints.loads {
		load.SetPeerLoad(others[id], prompts[id])
	}
}

// catchUp fetches a table from a node that has known more of it for a while:
// the store does not answer this node, or its feed has gone silent.
func (control *Control) catchUp(now time.Time) {
	for _, table := range []int{tableConfig, tableEndpoints, tableNodes} {
		ahead := control.ahead(table, now)
		switch {
		case ahead == nil:
			control.peers.behind[table] = time.Time{}
		case control.peers.behind[table].IsZero():
			control.peers.behind[table] = now
		}
		grace := behindGrace
		if !control.follows(table) {
			grace = 0 // the leader's news are the only ones
		}
		since := control.peers.behind[table]
		if ahead != nil && !control.peers.fetching[table] && !now.Before(since.Add(grace)) {
			control.peers.behind[table] = now
			control.peers.fetching[table] = true
			go control.fetchFrom(ahead.client, table, control.versions()[table])
		}
	}
}

func (control *Control) ahead(table int, now time.Time) *peer {
	own := control.versions()[table]
	var best *peer
	for _, found := range control.peers.nodes {
		if !found.fresh(now) || len(found.digest.Versions) <= table || found.digest.Versions[table] <= own {
			continue
		}
		if best == nil || found.digest.Versions[table] > best.digest.Versions[table] {
			best = found
		}
	}
	return best
}

func (control *Control) fetchFrom(client *gossip.Client, table int, after int64) {
	defer control.tell(fetched{table: table})
	known, err := client.Fetch(control.ctx, table, after)
	if err != nil {
		event.Log(control.log, event.PeerUnresponsive, zap.Error(err))
		return
	}
	if len(known.Entries) == 0 {
		return // it knows nothing itself
	}
	batch := platform.Batch{Version: known.Version, Full: known.Full}
	for _, entry := range known.Entries {
		batch.Entries = append(batch.Entries, platform.Entry{Key: entry.Key, Value: entry.Value, Version: entry.Version, Removed: entry.Removed})
	}
	control.tell(tableChanged{table: table, batch: batch, from: fromPeer})
}

// fetched says that an exchange of a table is over.
type fetched struct {
	table int
}

func (fetched) message() {}
