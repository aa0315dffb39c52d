package edge

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/cutoff"
	"hickorybend/core/fleet"
	"hickorybend/core/rows"
	"hickorybend/core/topo"
	"hickorybend/io/gossip"
	"hickorybend/io/pool"
	"hickorybend/platform"
)

// newZoneNode returns the control of a node of zone a, one of many, beside the leaders of
// zones a and b. Each zone has some endpoints.
func newZoneNode(leads bool, endpoints int, now time.Time) *Control {
	control := newHolder(now)
	control.placement.isLatestHolder = false
	control.engineClient = platform.NewEngineClient(pool.New())
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // no probe is sent
	control.ctx = ctx
	control.settings.Zone = "a"
	control.peers.zone = "a"
	leader := "leader-a"
	if leads {
		leader = control.settings.Node
	}
	for _, name := range []string{"leader-a", "leader-b"} {
		control.peers.nodes[name] = &peer{zone: name[len(name)-1:], digestReceivedAt: now, digest: gossip.Digest{Node: name}}
	}
	control.peers.role = topo.Role{IsLeader: leads, Leader: leader, ByZone: map[string]string{"a": leader, "b": "leader-b"}}
	for _, zone := range []string{"a", "b"} {
		for i := range endpoints {
			id := fmt.Sprintf("%s-%03d", zone, i)
			control.endpoints.byID[id] = fleet.Endpoint{ID: id, Zone: zone, StartedAt: time.UnixMilli(1), Membership: fleet.Membership{Replica: fmt.Sprintf("m0.%s%d", zone, i/4), Rank: i % 4}}
		}
	}
	return control
}

// allIDs lists the IDs of all endpoints that a node knows.
func allIDs(control *Control) []string {
	var ids []string
	for id := range control.endpoints.byID {
		ids = append(ids, id)
	}
	return ids
}

// expectProbes checks how many endpoints a node of zone a probes when another node's digest
// says that all endpoints of both zones are silent.
func expectProbes(t *testing.T, leads, holder bool, want int) {
	t.Helper()
	now := time.Now()
	control := newZoneNode(leads, 100, now)
	control.placement.active = holder
	for _, from := range []string{"leader-a", "leader-b"} {
		control.handlePeerDigest(digestReceived{digest: gossip.Digest{Node: from, Zone: from[len(from)-1:], Unresponsive: allIDs(control)}}, now)
	}
	assert.Equal(t, len(control.endpoints.probing), want)
}

// TestSilenceIsProbedByEveryNode guards against probes that grow with nodes times
// endpoints. One overloaded node found hundreds of endpoints silent, and each of 195 nodes
// probed each of these, which overloaded more of them: 3.6 million probes in a minute.
func TestSilenceIsProbedByEveryNode(t *testing.T) {
	expectProbes(t, false, false, 0) // not watched by this node
	expectProbes(t, true, false, 100)
	expectProbes(t, false, true, 200) // the holder sees for itself
}

// TestSuspicionGoesToTheWatcher checks that a node whose request gets no answer probes the
// first host alone, and tells the node that watches the replica about all its members.
func TestSuspicionGoesToTheWatcher(t *testing.T) {
	now := time.Now()
	control := newZoneNode(false, 8, now)
	control.probeReplica("b-000", now)
	assert.Equal(t, len(control.endpoints.probing), 1)
	suspected, lost := control.unresponsiveLists(now)
	assert.Equal(t, len(suspected), 4)
	assert.Equal(t, len(lost), 0)
	suspected, _ = control.unresponsiveLists(now.Add(2 * suspicionTTL))
	assert.Equal(t, len(suspected), 0)
}

// TestWatchersWordIsTaken checks that a node takes over from the leader of its zone which
// endpoints are lost, and that they answer again, and forgets it if the leader says
// nothing more.
func TestWatchersWordIsTaken(t *testing.T) {
	now := time.Now()
	control := newZoneNode(false, 8, now)
	tell := func(at time.Time, lost ...string) {
		control.handlePeerDigest(digestReceived{digest: gossip.Digest{Node: "leader-a", Zone: "a", Lost: lost}}, at)
	}
	tell(now, "b-003", "a-001")
	assert.Assert(t, control.endpoints.isUnresponsive("b-003") && control.endpoints.isUnresponsive("a-001"))
	tell(now, "a-001")
	assert.Assert(t, !control.endpoints.isUnresponsive("b-003") && control.endpoints.isUnresponsive("a-001"))
	control.checkEndpointDeadlines(now.Add(lostTTL + time.Second))
	assert.Assert(t, !control.endpoints.isUnresponsive("a-001"))
	assert.Equal(t, len(control.endpoints.probing), 0)
}

// TestHolderAndWatcherDisagree guards against nodes that take an endpoint for lost and found
// by turns, because the node that places replicas gets no answer there and the one that
// watches the endpoint does. Only the latter's word counts for the others.
func TestHolderAndWatcherDisagree(t *testing.T) {
	now := time.Now()
	holder := newZoneNode(false, 8, now)
	holder.placement.active = true
	holder.handleProbeResult(probeResult{id: "b-000", sentAt: now}, now)
	assert.Assert(t, holder.endpoints.isUnresponsive("b-000"))
	suspected, lost := holder.unresponsiveLists(now)
	assert.DeepEqual(t, suspected, []string{"b-000"})
	assert.Equal(t, len(lost), 0)
	leader := newZoneNode(true, 8, now)
	leader.peers.nodes["leader-c"] = &peer{zone: "c", digestReceivedAt: now, digest: gossip.Digest{Node: "leader-c"}}
	leader.peers.role.ByZone["c"] = "leader-c"
	leader.handlePeerDigest(digestReceived{digest: gossip.Digest{Node: "leader-c", Zone: "c", Lost: []string{"b-000"}}}, now)
	assert.Assert(t, !leader.endpoints.isUnresponsive("b-000")) // it is of another zone
	leader.handlePeerDigest(digestReceived{digest: gossip.Digest{Node: "leader-b", Zone: "b", Lost: []string{"b-000"}}}, now)
	assert.Assert(t, leader.endpoints.isUnresponsive("b-000"))
}

// TestLateNodeTakesEndpointsForSilent guards against a node that lags and reads answers
// late, takes the endpoints for silent, and as holder of placement ends what serves. A
// holder with a fifth of a core took 205 sound endpoints for silent within two seconds.
func TestLateNodeTakesEndpointsForSilent(t *testing.T) {
	for _, test := range []struct {
		name    string
		between time.Duration // two runs of the periodic work
		refused bool          // the endpoint's host refuses the probes
		probes  int           // that fail until the endpoint counts as unresponsive
	}{
		{"on time", tickInterval, false, 1},
		{"five times slower", 5 * tickInterval, false, 1 + maxLateProbes},
		{"five times slower, and the endpoint has ended", 5 * tickInterval, true, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			control := newZoneNode(true, 760/2, now)
			failed := 0
			for !control.endpoints.isUnresponsive("a-000") {
				control.lateness.ticks.Tick(now)
				sentAt := now
				now = now.Add(test.between)
				control.lateness.ticks.Tick(now)
				control.handleProbeResult(probeResult{id: "a-000", sentAt: sentAt, refused: test.refused}, now)
				failed++
				assert.Assert(t, failed <= 10)
			}
			assert.Equal(t, failed, test.probes)
		})
	}
}

// TestNewHolderProbesAllAtOnce guards against a new holder that asks hundreds of endpoints
// for their command counts at the same moment, reads the answers late, and takes the
// endpoints for silent.
func TestNewHolderProbesAllAtOnce(t *testing.T) {
	now := time.Now()
	control := newZoneNode(true, 760/2, now)
	free := control.endpoints.byID["a-007"]
	free.Membership = fleet.Membership{}
	control.endpoints.byID["a-007"] = free
	control.ensureCommandCounts(control.endpoints.ofService(""), false, now)
	assert.Equal(t, len(control.endpoints.probing), maxPendingCountProbes)
	assert.Assert(t, control.endpoints.probing["a-007"]) // it is needed before those that serve
}

// TestLateHolderKeepsTheLease guards against a holder that cannot keep up, plans from what
// was true a while ago, and loses and regains the lease again and again. Where the nodes
// form a mesh it keeps the lease, since the others are no faster.
func TestLateHolderKeepsTheLease(t *testing.T) {
	for _, test := range []struct {
		name    string
		between time.Duration // two runs of the periodic work
		mesh    bool
		late    []string // other nodes that are late as well
		deaf    bool     // no other node is heard
		held    bool
	}{
		{"on time", tickInterval, false, nil, false, true},
		{"late", 3 * tickInterval, false, nil, false, false},
		{"late, and hears nobody", 3 * tickInterval, false, nil, true, false},
		{"late in a mesh", 3 * tickInterval, true, nil, false, true},
		{"late beside nodes on time", 3 * tickInterval, false, []string{"leader-b"}, false, false},
		{"late as all others", 3 * tickInterval, false, []string{"leader-a", "leader-b", "node-1", "node-2", "node-3"}, false, true},
		{"on time beside late nodes", tickInterval, false, []string{"leader-a", "leader-b", "node-1", "node-2", "node-3"}, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			control := newZoneNode(true, 1, now)
			control.store = platform.NewStore("127.0.0.1:1")
			control.peers.role.Mesh = test.mesh
			for _, name := range test.late {
				control.peers.nodes[name].digest.Late = true
			}
			placement := &control.placement
			assert.NilError(t, placement.claim.Observe(placement.row, placement.fencingRow, now))
			acquire := placement.claim.Next(now.Add(time.Second), 0, "write-1")
			for elapsed := time.Duration(0); elapsed < 3*time.Second; elapsed += test.between {
				control.lateness.ticks.Tick(now.Add(elapsed))
			}
			now = now.Add(3 * time.Second)
			for _, peer := range control.peers.nodes {
				if !test.deaf {
					peer.digestReceivedAt = now
				}
			}
			placement.claim.Next(now, 0, "write-2")
			control.handleLeaseResult(leaseResult{action: acquire, outcome: rows.Committed{}}, now)
			control.releaseIfUnfit(now)
			_, held := placement.claim.Held(now)
			assert.Equal(t, held, test.held)
			assert.Equal(t, now.Before(placement.nextClaimAt), !test.held)
		})
	}
}

// TestWeakHostsWait checks how much later than others a weak host acquires a free lease.
func TestWeakHostsWait(t *testing.T) {
	assert.Equal(t, weaknessDelay(0), time.Duration(0)) // not known
	assert.Equal(t, weaknessDelay(2), time.Duration(0))
	assert.Equal(t, weaknessDelay(0.5), weakHostDelay/2)
}

// TestCutLeaderAsksNobody guards against a leader that reports endpoints of its zone as lost
// because it does not reach them itself, though other nodes do. Two nodes of the zone and
// one other leader probe each endpoint for it.
func TestCutLeaderAsksNobody(t *testing.T) {
	now := time.Now()
	leader := newZoneNode(true, 8, now)
	leader.endpoints.unresponsive["a-000"] = now.Add(neverProbe)
	leader.judgeLinks(now)
	assert.DeepEqual(t, leader.asked(now), []string{"a-000"})
	_, lost := leader.unresponsiveLists(now)
	assert.Equal(t, len(lost), 0)

	ids := allIDs(leader)
	asked := map[string]int{}
	for _, name := range []string{"node-0", "node-7", "node-8", "node-9"} {
		member := newZoneNode(false, 8, now)
		member.peers.self, member.settings.Node = name, name
		for _, other := range []string{"node-0", "node-7", "node-8", "node-9"} {
			if other != name {
				member.peers.nodes[other] = &peer{zone: "a", digestReceivedAt: now}
			}
		}
		member.handlePeerDigest(digestReceived{digest: gossip.Digest{Node: "leader-a", Zone: "a", Asked: ids}}, now)
		for id := range member.endpoints.probing {
			asked[id]++
		}
	}
	assert.Equal(t, len(asked), len(ids))
	for id, count := range asked {
		assert.Equal(t, count, askedMembers, id)
	}

	later := now.Add(cutoff.DefaultPolicy().ConfirmIndirectAfter)
	for _, peer := range leader.peers.nodes {
		peer.digestReceivedAt = later
	}
	leader.judgeLinks(later)
	_, lost = leader.unresponsiveLists(later)
	assert.DeepEqual(t, lost, []string{"a-000"})
	assert.Equal(t, len(leader.asked(later)), 0)
}
