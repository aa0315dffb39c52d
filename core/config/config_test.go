package config_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hickorybend/core/config"
	"hickorybend/core/intent"
	"hickorybend/core/memory"
	"hickorybend/core/rows"
)

const (
	confirmTTL       = 4 * time.Second
	maxStaleness     = 5 * time.Second
	heartbeatTimeout = 12 * time.Second
)

// cluster is a model of nodes in three zones. A zone can be isolated, the store
// can be down or unreachable for a single node, and operators apply changes at
// any node. isolated is indexed like zones.
type cluster struct {
	t           *rapid.T
	store       *memory.Store
	now         time.Time
	nodes       []*node
	isolated    map[int]bool
	storeDown   bool
	changeCount int
	accepted    []acceptedChange
}

type node struct {
	zone             string
	cache            *config.Cache
	storeUnreachable bool
	peers            []config.PeerStatus
	lastRefresh      time.Time // of the latest poll or askPeers
	lastHeartbeat    time.Time // of the latest poll that reached the store
	lastHead         int64     // at the latest check
}

type acceptedChange struct {
	version int64
	at      time.Time
}

var zones = []string{"a", "b", "c"}

func newCluster(t *rapid.T) *cluster {
	cluster := &cluster{t: t, store: memory.NewStore(), now: time.Unix(1_000_000, 0), isolated: map[int]bool{}}
	for i := range 4 {
		cluster.nodes = append(cluster.nodes, &node{zone: zones[i%3], cache: config.NewCache(confirmTTL)})
	}
	cluster.applyChange(cluster.nodes[0])
	return cluster
}

// applyChange applies an operator's change at a node. Every node that can be
// reached is notified first; the change is aborted if a node whose heartbeat
// has not expired can't be reached. After the commit the origin notifies nobody,
// as if it had failed: nodes learn of the change when they poll.
func (cluster *cluster) applyChange(origin *node) {
	ctx := context.Background()
	if !cluster.reachesStore(origin) {
		return
	}
	stored, _ := cluster.store.List(ctx, config.Partition)
	head, _ := cluster.store.Get(ctx, config.HeadKey())
	cluster.changeCount++
	id := fmt.Sprintf("w%d", cluster.changeCount)
	for _, node := range cluster.nodes {
		reached := cluster.canReach(origin, node)
		if reached {
			node.cache.Prepare(id, int64(head.Version)+1, cluster.now)
		}
		if !reached && !cluster.heartbeatExpired(node) {
			cluster.abort(origin, id)
			return
		}
	}
	plan := config.Plan{Changes: []intent.Change{{Name: "team/x", After: []byte(id)}}}
	txn, err := config.Accept(plan, head, stored, config.HistoryEntry{}, id)
	assert.NilError(cluster.t, err)
	_, committed := cluster.store.Commit(ctx, txn).(rows.Committed)
	assert.Assert(cluster.t, committed)
	cluster.accepted = append(cluster.accepted, acceptedChange{version: int64(head.Version) + 1, at: cluster.now})
}

func (cluster *cluster) abort(origin *node, id string) {
	for _, node := range cluster.nodes {
		if cluster.canReach(origin, node) {
			node.cache.Abort(id)
		}
	}
}

// heartbeatExpired reports whether a node has not renewed its row for the
// heartbeat timeout.
func (cluster *cluster) heartbeatExpired(node *node) bool {
	return cluster.now.Sub(node.lastHeartbeat) > heartbeatTimeout
}

func (cluster *cluster) advanceClock(t *rapid.T) {
	cluster.now = cluster.now.Add(time.Duration(rapid.IntRange(10, 2500).Draw(t, "ms")) * time.Millisecond)
}

func (cluster *cluster) change(t *rapid.T) {
	cluster.applyChange(rapid.SampledFrom(cluster.nodes).Draw(t, "node"))
}

func (cluster *cluster) toggleOutage(t *rapid.T) {
	cluster.storeDown = !cluster.storeDown
	cluster.store.SetDown(cluster.storeDown)
}

func (cluster *cluster) toggleStoreAccess(t *rapid.T) {
	node := rapid.SampledFrom(cluster.nodes).Draw(t, "node")
	node.storeUnreachable = !node.storeUnreachable
}

// toggleZoneIsolation cuts a whole zone off from the other zones and from the
// store, or reconnects it.
func (cluster *cluster) toggleZoneIsolation(t *rapid.T) {
	zone := rapid.IntRange(0, 2).Draw(t, "zone")
	cluster.isolated[zone] = !cluster.isolated[zone]
}

func (cluster *cluster) zoneIsolated(zone string) bool {
	for i, name := range zones {
		if name == zone {
			return cluster.isolated[i]
		}
	}
	return false
}

func (cluster *cluster) reachesStore(node *node) bool {
	return !cluster.storeDown && !node.storeUnreachable && !cluster.zoneIsolated(node.zone)
}

func (cluster *cluster) canReach(a, b *node) bool {
	return a.zone == b.zone || !cluster.zoneIsolated(a.zone) && !cluster.zoneIsolated(b.zone)
}

func (cluster *cluster) poll(t *rapid.T) {
	node := rapid.SampledFrom(cluster.nodes).Draw(t, "node")
	node.lastRefresh = cluster.now
	if !cluster.reachesStore(node) {
		return
	}
	head, _ := cluster.store.Get(context.Background(), config.HeadKey())
	all, _ := cluster.store.List(context.Background(), config.Partition)
	node.cache.Update(all)
	node.cache.Confirm(int64(head.Version), cluster.now)
	node.lastHeartbeat = cluster.now
}

// askPeers is what a node does when its own reads of the store fail. Whether a
// peer reaches the store is evaluated before its copy is taken over, as in the
// daemon.
func (cluster *cluster) askPeers(t *rapid.T) {
	node := rapid.SampledFrom(cluster.nodes).Draw(t, "node")
	node.peers = nil
	for _, other := range cluster.nodes {
		if other == node || !cluster.canReach(node, other) {
			continue
		}
		reachable := cluster.reachesStore(other)
		node.peers = append(node.peers, config.PeerStatus{Zone: other.zone, StoreReachable: reachable, ConfirmedAt: other.cache.ConfirmedAt(), Head: other.cache.Head(), InDoubt: other.cache.InDoubt(), ReceivedAt: cluster.now})
		node.cache.Update(other.cache.Rows())
		node.cache.Confirm(other.cache.Head(), other.cache.ConfirmedAt())
	}
	node.lastRefresh = cluster.now
}

// check verifies that no node's head decreases, and that no node that may serve
// lacks a change that was accepted more than maxStaleness ago. A node decides by
// the reports that it received last, so it is checked only at the time of its own
// refresh.
func (cluster *cluster) check(t *rapid.T) {
	for i, node := range cluster.nodes {
		assert.Assert(t, node.cache.Head() >= node.lastHead, "the head of node %d decreased from %d to %d", i, node.lastHead, node.cache.Head())
		node.lastHead = node.cache.Head()
		if node.lastRefresh != cluster.now || !node.cache.MayServe(cluster.now, node.zone, zones, node.peers) {
			continue
		}
		for _, acceptedchange := range cluster.accepted {
			stale := cluster.now.Sub(acceptedchange.at) > maxStaleness && node.cache.Head() < acceptedchange.version
			assert.Assert(t, !stale, "node %d may serve with version %d although version %d was accepted %s ago", i, node.cache.Head(), acceptedchange.version, cluster.now.Sub(acceptedchange.at))
		}
	}
}

// TestNoNodeServesAnOldConfiguration guards against a node that keeps serving
// under an old configuration after a change was accepted elsewhere, for example
// by zones that reach the store while this node's zone is cut off, or just
// before the store went down.
func TestNoNodeServesAnOldConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cluster := newCluster(t)
		t.Repeat(map[string]func(*rapid.T){
			"pass": cluster.advanceClock, "change": cluster.change, "outage": cluster.toggleOutage, "offline": cluster.toggleStoreAccess,
			"cut": cluster.toggleZoneIsolation, "poll": cluster.poll, "ask": cluster.askPeers, "": cluster.check,
		})
	})
}

func TestMayServe(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	cache := config.NewCache(confirmTTL)
	cache.Update([]rows.Row{{Key: config.SectionKey("team/x"), Version: 1, Body: []byte("x")}})
	cache.Confirm(1, now)
	expired := now.Add(confirmTTL)
	b, c := config.PeerStatus{Zone: "b", ReceivedAt: expired}, config.PeerStatus{Zone: "c", ReceivedAt: expired}
	reachable := config.PeerStatus{Zone: "c", StoreReachable: true, ReceivedAt: expired}
	expectServe := func(name string, want bool, at time.Time, peers ...config.PeerStatus) {
		t.Helper()
		assert.Equal(t, cache.MayServe(at, "a", zones, peers), want, name)
	}
	expectServe("fresh", true, now.Add(confirmTTL-1))
	expectServe("no peer answers", false, expired)
	expectServe("no node reaches the store", true, expired, b, c)
	expectServe("a zone does not answer", false, expired, b)
	expectServe("a peer is in doubt", false, expired, b, config.PeerStatus{Zone: "c", InDoubt: true, ReceivedAt: expired})
	expectServe("the peers' reports have expired", false, expired.Add(confirmTTL), b, c)
	cache.Prepare("x", 2, now)
	expectServe("in doubt", false, expired, b, c)
	expectServe("in doubt but fresh", true, now.Add(confirmTTL-1))
	cache.Abort("x")
	expectServe("a peer reaches the store", false, expired, b, reachable)
	assert.Assert(t, !config.NewCache(confirmTTL).MayServe(now, "a", zones, []config.PeerStatus{b, c}), "a node with no configuration")
}

func TestMergeKeepsOthersChanges(t *testing.T) {
	section := func(name, body string) intent.Section { return intent.Section{Name: name, Body: []byte(body)} }
	base := []intent.Section{section("a", "1"), section("b", "1"), section("c", "1")}
	current := []intent.Section{section("a", "2"), section("b", "1"), section("c", "1")}
	plan, conflicts := config.Merge(base, current, []intent.Section{section("a", "1"), section("b", "3")})
	assert.Equal(t, len(conflicts), 0)
	assert.DeepEqual(t, plan.Changes, []intent.Change{
		{Name: "b", Before: []byte("1"), After: []byte("3")}, {Name: "c", Before: []byte("1")},
	})
	assert.DeepEqual(t, plan.Sections, []intent.Section{section("a", "2"), section("b", "3")})

	_, conflicts = config.Merge(base, current, []intent.Section{section("a", "9"), section("b", "1"), section("c", "1")})
	assert.DeepEqual(t, conflicts, []config.Conflict{{Name: "a", Base: []byte("1"), Current: []byte("2"), Requested: []byte("9")}})

	plan, conflicts = config.Merge(base, current, []intent.Section{section("a", "2"), section("b", "1"), section("c", "1")})
	assert.Equal(t, len(plan.Changes)+len(conflicts), 0, "the change is already in force")
}

// TestCacheNeverGoesBack guards against a late reply with older rows or an older
// head: it must not replace newer ones or renew the confirmation.
func TestCacheNeverGoesBack(t *testing.T) {
	cache := config.NewCache(confirmTTL)
	row := func(version int64) []rows.Row {
		return []rows.Row{{Key: config.SectionKey("team/x"), Version: rows.Version(version), Body: []byte(fmt.Sprint(version))}}
	}
	assert.Equal(t, len(cache.Update(row(3))), 1)
	cache.Confirm(5, time.Unix(50, 0))
	assert.Equal(t, len(cache.Update(row(2)))+len(cache.Update(row(3))), 0)
	cache.Confirm(4, time.Unix(60, 0))
	assert.Equal(t, cache.Head(), int64(5))
	assert.Equal(t, cache.ConfirmedAt(), time.Unix(50, 0), "a read of an older head confirms nothing")
	assert.Equal(t, string(cache.Rows()[0].Body), "3")
}
