package edge

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"hickorybend/core/member"
	"hickorybend/core/reach"
	"hickorybend/core/rows"
	"hickorybend/core/topo"
	"hickorybend/io/event"
	"hickorybend/io/gossip"
	"hickorybend/platform"
)

const (
	gossipInterval         = 100 * time.Millisecond // between two exchanges with the same node
	nonLeadersPerInterval  = 20                     // nodes other than the leader that it can serve in one interval; in a zone with more, they exchange less often
	downRetryInterval      = time.Second            // between two attempts to reach a node that does not answer
	maxServedStoreReplyAge = 2 * time.Second        // age of the store's last reply up to which it answers a node; longer than between two reads of a node that only confirms its copies
	digestTTL              = time.Second            // after which a node's digest, with the load that it reports, no longer counts
	catchUpGrace           = 400 * time.Millisecond // for the store to deliver a change before it is fetched from a peer
	peerIdleTimeout        = 30 * time.Second
	peerDialTimeout        = 400 * time.Millisecond
	maxPeerHeadBytes       = 64 << 10 // of a reply; package wire limits the messages
)

// peers is this node's view of the other nodes.
type peers struct {
	self               string // this node's name
	zone               string
	key                string // authenticates nodes to each other
	http               *http.Client
	nodes              map[string]*peer          // the members, by name
	gone               map[string]*peer          // those whose row is still there
	members            *member.Members           // decides which they are
	rows               map[string]platform.Entry // of the nodes table, as stored
	removed            map[string]removal        // rows that were removed from it of late
	compacted          rows.Version              // removals up to this version are not kept any more
	settledSince       time.Time                 // since when the store has answered, and not gone back
	withdrawn          bool                      // this node stops and has withdrawn its row
	nextReportAt       time.Time                 // when to update the gauges of members
	version            rows.Version              // of the newest row, and not below those of the latest era
	rowWritten         bool                      // this node's row is in the store
	rowEra             int64                     // the store's era in which it was written
	rowWriting         bool                      // a write of it is pending
	behindSince        [tableCount]time.Time     // since when a peer has had a higher version
	fetching           [tableCount]bool          // a fetch from a peer is pending
	role               topo.Role
	leaderUnresponsive []string                      // endpoints that the zone's leader last reported as unresponsive
	clusterDigest      atomic.Pointer[gossip.Digest] // the sum over all nodes; nil in a mesh and on nodes that are not leaders
	zoneDigest         atomic.Pointer[gossip.Digest] // the sum over this zone's nodes; nil in the same cases
	routes             atomic.Pointer[reach.Peers]   // the nodes that may send this node's requests on
	nextRoutesAt       time.Time                     // when to update routes where the nodes form no mesh
}

// peer is another node.
type peer struct {
	zone               string
	address            string
	region             string  // that its row states; empty if none
	processor          float64 // Settings.Processor
	client             *gossip.Client
	load               *reach.Load // this node's requests that it sends on
	digest             gossip.Digest
	digestReceivedAt   time.Time
	nextExchangeAt     time.Time
	exchanging         bool            // an exchange is pending
	lastExchangeFailed bool            // it did not answer the last exchange and has sent no digest since
	saysGone           map[string]bool // nodes that are gone according to it
}

func newPeers(settings Settings) *peers {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	peers := &peers{
		self: settings.Node, zone: settings.Zone, key: settings.PeerKey, nodes: map[string]*peer{}, gone: map[string]*peer{}, members: member.New(member.DefaultPolicy()), rows: map[string]platform.Entry{}, removed: map[string]removal{},
		http: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: peerIdleTimeout, MaxResponseHeaderBytes: maxPeerHeadBytes, DisableCompression: true}},
	}
	peers.routes.Store(&reach.Peers{})
	return peers
}

// count returns the number of members, including this node.
func (peers *peers) count() int { return len(peers.nodes) + 1 }

// markExchangeFailed records that a node did not answer an exchange.
func (peers *peers) markExchangeFailed(node string, refused bool, now time.Time) {
	peers.members.Failed(node, refused, now)
	if peer := peers.peer(node); peer != nil {
		peer.exchanging = false
		peer.lastExchangeFailed = true
		peer.nextExchangeAt = now.Add(downRetryInterval)
	}
}

// exchangeDigests exchanges digests with the nodes that are due.
func (control *Control) exchangeDigests(now time.Time) {
	control.assignRole(now)
	control.judgeMembers(now)
	control.refreshDigest()
	peers := control.peers
	groups := peers.sources(now)
	control.countDemand(groups)
	control.sumDigests(groups, now)
	interval := gossipInterval
	if !peers.role.Mesh && !peers.role.IsLeader {
		interval *= time.Duration(1 + peers.role.ZoneSize/nonLeadersPerInterval)
	}
	for _, name := range peers.role.Peers {
		peer := peers.peer(name)
		if peer == nil || peer.exchanging || now.Before(peer.nextExchangeAt) {
			continue
		}
		control.startExchange(name, peer, now.Add(interval))
	}
	control.updatePeerLoads(groups)
	control.updateAssignment(groups, now)
	if peers.role.Mesh || !now.Before(peers.nextRoutesAt) {
		control.updateRoutes(now)
	}
	control.catchUp(now)
}

// startExchange starts an exchange with a node. The next one starts no sooner than
// nextAt.
func (control *Control) startExchange(name string, peer *peer, nextAt time.Time) {
	peer.exchanging = true
	peer.nextExchangeAt = nextAt
	go control.exchange(name, peer.client, withoutKnown(control.outgoingDigest(peer.zone), peer.digest))
}

// withoutKnown leaves out of a digest which nodes are gone, if its receiver holds the same for
// gone by its own last digest.
func withoutKnown(digest, receivers gossip.Digest) gossip.Digest {
	if digest.GoneSum == receivers.GoneSum {
		digest.Gone = nil
	}
	return digest
}

// assignRole computes this node's role in the topology.
func (control *Control) assignRole(now time.Time) {
	peers := control.peers
	others := make([]topo.Node, 0, len(peers.nodes))
	storeAnswers, cutOff := control.storeAnswersANode(now), control.cutOffNodes(now)
	for name, peer := range peers.nodes {
		others = append(others, topo.Node{
			Name: name, Zone: peer.zone, Capacity: peer.processor, Unresponsive: peer.lastExchangeFailed || peer.unresponsive(now, peers),
			WithoutStore: storeAnswers && peer.digest.StoreUnreachable, CutOff: cutOff[name],
		})
	}
	self := topo.Node{Name: peers.self, Zone: control.settings.Zone, Capacity: control.settings.Processor, WithoutStore: storeAnswers && control.storeUnreachable.Load(), CutOff: control.cutoff.CutOff()}
	peers.role = topo.Assign(self, others)
	control.isLeader.Store(peers.role.IsLeader)
	control.inMesh.Store(peers.role.Mesh)
	leader := peers.nodes[peers.role.Leader]
	control.servedByLeader.Store(!peers.role.Mesh && leader != nil && !leader.digest.StoreUnreachable && leader.fresh(now))
	control.servedByPlacer.Store(control.hearsPlacer(now))
	control.toldEvacuations.Store(leader != nil && leader.digest.Evacuations != nil)
}

// hearsPlacer reports whether the node that places replicas tells this one of changes itself,
// and the store answers it. What other nodes say of it does not count: they may lag behind.
func (control *Control) hearsPlacer(now time.Time) bool {
	for _, peer := range control.peers.nodes {
		if peer.digest.Placing && peer.fresh(now) && !peer.digest.StoreUnreachable && time.Duration(peer.digest.StoreReplyAge) < maxStoreReplyAge {
			return true
		}
	}
	return false
}

// storeAnswersANode reports whether the store has recently answered this node, or
// one whose digest it has.
func (control *Control) storeAnswersANode(now time.Time) bool {
	if now.Sub(control.storeRepliedAt) < maxServedStoreReplyAge {
		return true
	}
	for _, peer := range control.peers.nodes {
		if peer.fresh(now) && time.Duration(peer.digest.StoreReplyAge) < maxServedStoreReplyAge {
			return true
		}
	}
	return false
}

// fresh reports whether the peer's last digest still counts.
func (peer *peer) fresh(now time.Time) bool { return now.Before(peer.digestReceivedAt.Add(digestTTL)) }

// unresponsive reports whether no digest has come for digestTTL from a peer with
// which this node exchanges in each round. In a mesh that is every peer, for a
// leader the leader of each other zone.
func (peer *peer) unresponsive(now time.Time, peers *peers) bool {
	exchanges := peers.role.Mesh || peers.role.IsLeader && peer.zone != peers.zone
	return exchanges && !peer.digestReceivedAt.IsZero() && !peer.fresh(now)
}

// outgoingDigest returns the digest to send to a node of a zone. A leader sends
// other zones the sum over its own zone, unless the nodes form a mesh. Every
// other digest is that of this node alone.
func (control *Control) outgoingDigest(zone string) gossip.Digest {
	zoneDigest := control.peers.zoneDigest.Load()
	if zoneDigest != nil && zone != control.settings.Zone {
		return *zoneDigest
	}
	return *control.digest.Load()
}

// sources returns the nodes whose digests are fresh, in groups; see topo.Role.Groups.
func (peers *peers) sources(now time.Time) [][]topo.Source {
	sources := make([]topo.Source, 0, len(peers.nodes))
	for name, peer := range peers.nodes {
		if peer.fresh(now) {
			sources = append(sources, topo.Source{Node: name, Zone: peer.zone, Scope: peer.digest.Scope})
		}
	}
	return peers.role.Groups(peers.zone, sources)
}

// digestsOf returns the digests of a group of nodes.
func (peers *peers) digestsOf(group []topo.Source) []gossip.Digest {
	digests := make([]gossip.Digest, 0, len(group))
	for _, source := range group {
		digests = append(digests, peers.nodes[source.Node].digest)
	}
	return digests
}

// sumDigests adds up the fresh digests that a leader has: those of its zone for
// the other leaders, and all of them for the other nodes of its zone.
func (control *Control) sumDigests(groups [][]topo.Source, now time.Time) {
	peers := control.peers
	if peers.role.Mesh || !peers.role.IsLeader {
		peers.zoneDigest.Store(nil)
		peers.clusterDigest.Store(nil)
		return
	}
	zoneDigest, clusterDigest := *control.digest.Load(), *control.digest.Load()
	zoneDigest, clusterDigest = zoneDigest.Copy(), clusterDigest.Copy()
	for _, peer := range peers.nodes {
		if !peer.fresh(now) {
			continue
		}
		clusterDigest.AddReports(peer.digest)
		if peer.zone == peers.zone {
			zoneDigest.AddReports(peer.digest)
		}
	}
	for _, group := range groups {
		digests := peers.digestsOf(group)
		clusterDigest.AddCounts(digests...)
		if group[0].Zone == peers.zone {
			zoneDigest.AddCounts(digests...)
		}
	}
	control.countExactly(&zoneDigest, groups)
	zoneDigest.Scope, zoneDigest.Demand = topo.ScopeZone, maps.Clone(control.demand.zone)
	clusterDigest.Scope, clusterDigest.Demand = topo.ScopeAll, maps.Clone(control.demand.all)
	peers.zoneDigest.Store(&zoneDigest)
	peers.clusterDigest.Store(&clusterDigest)
}

// exchange sends a digest to another node and enqueues the digest in its reply. Another node
// than that one may reply, also this one itself, if the address was given away.
func (control *Control) exchange(name string, client *gossip.Client, digest gossip.Digest) {
	askedAt := time.Now()
	reply, err := client.Exchange(control.ctx, digest.WithAges(askedAt))
	if err != nil {
		control.enqueue(peerUnresponsive{node: name, refused: errors.Is(err, syscall.ECONNREFUSED)})
		return
	}
	if reply.Node != name { // which has its address now
		control.enqueue(peerUnresponsive{node: name, refused: true})
		return
	}
	control.enqueue(digestReceived{digest: reply, askedAt: askedAt})
}

// refreshDigest builds this node's own digest.
func (control *Control) refreshDigest() {
	digest := &gossip.Digest{Node: control.settings.Node, Zone: control.settings.Zone, Scope: topo.ScopeNode, InFlight: map[string]int{}, PendingTokens: map[string]int{}, HeldTokens: map[string]int{}, HadRequests: control.hadRequests() || control.peersHadRequests()}
	for id, load := range control.endpoints.loads {
		if own := load.OwnInFlight(); own > 0 {
			digest.InFlight[id] = own
		}
		if tokens := load.OwnPendingTokens(); tokens > 0 {
			digest.PendingTokens[id] = tokens
		}
		if tokens := load.OwnHeldTokens(); tokens > 0 {
			digest.HeldTokens[id] = tokens
		}
	}
	digest.Demand = map[string]int64{}
	for model, total := range control.localDemand() {
		digest.Demand[model] = int64(total)
	}
	digest.Unresponsive, digest.Lost = control.unresponsiveLists(time.Now())
	digest.AnsweredAt, digest.Asked = control.answering(time.Now()), control.asked(time.Now())
	digest.Answering = slices.Sorted(maps.Keys(digest.AnsweredAt))
	if control.cutoff.CutOff() {
		digest.CutOff = []string{control.settings.Node}
	}
	digest.Late = control.lateness.ticks.LateFor(time.Now()) > 0
	digest.Gone = control.peers.members.Gone()
	digest.GoneSum = gossip.SumOf(digest.Gone)
	digest.Leaving = control.endpoints.leavingList()
	digest.Crashes = control.crashDigest(time.Now())
	digest.Limits, digest.Requests = control.limitDigest(), control.localRequests()
	digest.Usable = control.usable(time.Now())
	digest.Versions, digest.ConfirmedAt = control.versions(), control.copies.confirmedAt()
	digest.Complete, digest.Compacted = control.endpoints.completeVersion, control.endpoints.compactedVersion
	// Before its first planning pass a holder does not know which endpoints are quarantined or cleared.
	digest.Placing = control.placement.active
	if placement := &control.placement; placement.active && placement.planCount > 0 {
		digest.Fence, digest.PlanCount, digest.Quarantined = placement.fence, placement.planCount, placement.quarantined(time.Now())
		digest.Cleared = placement.cleared()
	}
	digest.StoreReplyAge = int64(time.Since(control.storeRepliedAt))
	digest.StoreUnreachable = control.storeUnreachable.Load()
	digest.Evacuated = control.evacuations.inForce.State
	digest.Cold = control.coldDigest(time.Now())
	control.digest.Store(digest)
}

// versions returns the versions of the tables as digests list them. That of the
// lease's table is always 0.
func (control *Control) versions() []rows.Version {
	versions := make([]rows.Version, tableCount)
	if control.config.index != nil {
		versions[tableConfig] = rows.Version(control.config.index.Config.Version)
	}
	versions[tableEndpoints] = control.endpoints.version
	versions[tableNodes] = control.peers.version
	return versions
}

func (control *Control) peersHadRequests() bool {
	for _, peer := range control.peers.nodes {
		if peer.digest.HadRequests {
			return true
		}
	}
	return false
}

// HandleDigest handles another node's digest and returns the one to reply with. A
// leader replies to a node of its zone with the sum over all nodes, less that
// node's own requests; any other reply is outgoingDigest.
func (control *Control) HandleDigest(digest gossip.Digest) gossip.Digest {
	control.enqueue(digestReceived{digest: digest})
	clusterDigest := control.peers.clusterDigest.Load()
	if clusterDigest == nil || digest.Zone != control.settings.Zone {
		return withoutKnown(control.outgoingDigest(digest.Zone).WithAges(time.Now()), digest)
	}
	reply := clusterDigest.Copy()
	reply.Subtract(digest)
	return withoutKnown(reply.WithAges(time.Now()), digest)
}

// Table returns the changes in a table after a version, for another node.
func (control *Control) Table(table int, after rows.Version) gossip.Table {
	if table < 0 || table >= tableCount {
		return gossip.Table{}
	}
	confirmation := control.copies.published[table].Load() // before the table, which may then be newer
	published := control.publishedTables[table].Load()
	if published == nil {
		return gossip.Table{}
	}
	changes := published.ChangesAfter(after, time.Now())
	if table == tableConfig {
		changes.Evacuations = gossip.EvacuationsOf(control.digest.Load().Evacuated, time.Now())
	}
	if confirmation != nil && !confirmation.at.IsZero() && confirmation.version.Era() == published.CompactedVersion.Era() {
		changes.Age, changes.Complete = int64(max(1, time.Since(confirmation.at))), confirmation.version
		if table == tableConfig {
			changes.Age += int64(tickInterval) // the evacuations are those of the last digest
		}
	}
	return changes
}

// handlePeerDigest stores another node's digest and applies what it reports about
// endpoints and the lease's holder.
func (control *Control) handlePeerDigest(received digestReceived, now time.Time) {
	digest := received.digest
	digest.Crashes, digest.Limits = digest.Crashes.ReceivedAt(now), gossip.LimitsReceivedAt(digest.Limits, now)
	digest.Cold = gossip.ColdReceivedAt(digest.Cold, now)
	digest.AnsweredAt = digest.AnswersReceivedAt(now, answeringFor)
	peer := control.peers.peer(digest.Node)
	if peer == nil {
		return // its row has not been read yet
	}
	control.peers.members.Heard(digest.Node, now)
	control.applyMembership(now)
	control.peers.learnGone(peer, digest)
	peer.digest = digest
	peer.digestReceivedAt = now
	peer.exchanging = false
	peer.lastExchangeFailed = false
	control.applyEvacuations(digest.Evacuations.State(now), fromPeer, now)
	control.confirmByPeer(digest, received.askedAt, now)
	control.learnLeaving(digest, now)
	control.learnCrashes(digest.Crashes, now)
	control.learnLimits(digest.Limits, now)
	control.learnCold(digest.Cold, now)
	control.reconcileUnresponsive(digest, now)
	control.learnLost(digest, now)
	control.placement.updateHolderReport(digest, now)
}

// updatePeerLoads adds up the other nodes' requests in flight and pending tokens at
// each endpoint.
func (control *Control) updatePeerLoads(groups [][]topo.Source) {
	var others gossip.Digest
	others = others.Copy()
	for _, group := range groups {
		others.AddCounts(control.peers.digestsOf(group)...)
	}
	for id, load := range control.endpoints.loads {
		load.SetPeerLoad(others.InFlight[id], others.PendingTokens[id])
		load.SetPeerHeldTokens(others.HeldTokens[id])
	}
}

// catchUp fetches a table from a peer once a peer has had a change that this node
// lacks for catchUpGrace: then the store does not answer this node, or the
// connection to the store has stopped delivering. A node that does not poll the
// store for the table, or whose copy is old, fetches it at once.
func (control *Control) catchUp(now time.Time) {
	for _, table := range []int{tableConfig, tableEndpoints, tableNodes} {
		ahead := control.peerAhead(table, now)
		switch {
		case ahead == nil:
			control.peers.behindSince[table] = time.Time{}
		case control.peers.behindSince[table].IsZero():
			control.peers.behindSince[table] = now
		}
		grace := catchUpGrace
		delivered := control.follows(table) && control.copies.age(table, now) < control.copies.policies[table].ReadAfter
		if ahead != nil && ahead.digest.Versions[table] > control.completeVersion(table) && !delivered {
			grace = 0 // the store would not deliver the change
		}
		since := control.peers.behindSince[table]
		if ahead != nil && !control.peers.fetching[table] && !now.Before(since.Add(grace)) {
			control.peers.behindSince[table] = now
			control.peers.fetching[table] = true
			go control.fetchFromPeer(ahead.client, table, control.completeVersion(table))
		}
	}
}

// completeVersion returns the version up to which this node's copy of a table has
// every change.
func (control *Control) completeVersion(table int) rows.Version {
	if table == tableEndpoints {
		return control.endpoints.completeVersion
	}
	return control.versions()[table]
}

// requiredVersion returns the version up to which a copy of a table must be complete
// to have all that the sender's copy had. The sender of a full table that was just
// read has removals without knowing their versions.
func requiredVersion(digest gossip.Digest, table int) rows.Version {
	if table == tableEndpoints {
		return max(digest.Versions[table], digest.Compacted)
	}
	return digest.Versions[table]
}

// peerAhead returns the peer that has the highest version of a table, or nil if
// none has more than this node.
func (control *Control) peerAhead(table int, now time.Time) *peer {
	own := control.completeVersion(table)
	var best *peer
	for _, peer := range control.peers.nodes {
		if !peer.fresh(now) || len(peer.digest.Versions) <= table || requiredVersion(peer.digest, table) <= own {
			continue
		}
		if best == nil || requiredVersion(peer.digest, table) > requiredVersion(best.digest, table) {
			best = peer
		}
	}
	return best
}

// fetchFromPeer fetches the changes in a table after a version and enqueues them.
func (control *Control) fetchFromPeer(client *gossip.Client, table int, after rows.Version) {
	defer control.enqueue(tableFetched{table: table})
	askedAt := time.Now()
	received, err := client.Fetch(control.ctx, table, after)
	if err != nil {
		event.Log(control.log, event.PeerUnresponsive, zap.Error(err))
		return
	}
	if len(received.Entries) == 0 {
		return // the peer has no rows either
	}
	batch := platform.Batch{Version: max(received.Version, received.Complete), Full: received.Full}
	if received.Age > 0 {
		batch.ConfirmedAt = askedAt.Add(-time.Duration(received.Age))
	}
	for _, entry := range received.Entries {
		batch.Entries = append(batch.Entries, platform.Entry{
			Key: entry.Key, Value: entry.Value, Version: entry.Version, Removed: entry.Removed, GraceLeft: time.Duration(entry.GraceLeft),
		})
	}
	if table == tableConfig && received.Evacuations == nil {
		batch.ConfirmedAt = time.Time{} // a node of an earlier build does not tell which zones are evacuated
	}
	control.enqueue(tableChanged{table: table, batch: batch, from: fromPeer, evacuations: received.Evacuations})
}

// tableFetched reports that a fetch of a table from a peer has ended.
type tableFetched struct {
	table int
}

func (tableFetched) message() {}
