package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/topo"
	"hickorybend/io/gossip"
)

// TestLeaderChangeFillsEndpoints guards against nodes that take endpoints for full, and demand
// for many times what it is, because they add up the sums of two leaders of a zone.
func TestLeaderChangeFillsEndpoints(t *testing.T) {
	now := time.Now()
	sum := func(node string, scope topo.Scope, inFlight int, demand time.Duration) gossip.Digest {
		return gossip.Digest{Node: node, Zone: node[:1], Scope: scope, InFlight: map[string]int{"a-000": inFlight}, PendingTokens: map[string]int{"a-000": 10 * inFlight}, Demand: map[string]int64{"m0": int64(demand)}}
	}
	for _, test := range []struct {
		name          string
		leads         bool
		first, second []gossip.Digest // within a second; the first ones are still fresh
		inFlight      int
		demand        time.Duration // since the first
	}{
		{"a member", false, []gossip.Digest{sum("a1", topo.ScopeAll, 30, time.Hour)}, []gossip.Digest{sum("a1", topo.ScopeAll, 30, time.Hour+time.Second), sum("a2", topo.ScopeAll, 28, time.Minute)}, 30, time.Second},
		{"a leader beside another zone", true, []gossip.Digest{sum("a1", topo.ScopeNode, 2, time.Hour), sum("b1", topo.ScopeZone, 10, time.Hour)}, []gossip.Digest{sum("b2", topo.ScopeZone, 12, time.Hour)}, 14, 0},
		{"a new leader beside the one before", true, []gossip.Digest{sum("a1", topo.ScopeAll, 30, time.Hour), sum("a2", topo.ScopeNode, 3, time.Hour)}, []gossip.Digest{sum("a1", topo.ScopeNode, 4, time.Minute)}, 7, 0},
		{"a leader with its members", true, []gossip.Digest{sum("a1", topo.ScopeNode, 2, time.Hour)}, []gossip.Digest{sum("a1", topo.ScopeNode, 3, time.Hour+2*time.Second)}, 3, 2 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			control := newZoneNode(test.leads, 1, now)
			if !test.leads {
				control.peers.role.Leader = "a1"
			}
			control.peers.nodes = map[string]*peer{}
			for _, name := range []string{"a1", "a2", "b1", "b2"} {
				control.peers.nodes[name] = &peer{zone: name[:1]}
			}
			load := control.endpoints.load("a-000")
			for _, digests := range [][]gossip.Digest{test.first, test.second} {
				control.demand.added = topo.Counters{}
				for _, digest := range digests {
					control.handlePeerDigest(digestReceived{digest: digest}, now)
				}
				control.refreshDigest()
				groups := control.peers.sources(now)
				control.countDemand(groups)
				control.updatePeerLoads(groups)
			}
			assert.Equal(t, load.InFlight(), test.inFlight)
			assert.Equal(t, load.PendingTokens(), 10*test.inFlight)
			assert.Equal(t, time.Duration(control.demand.added["m0"]), test.demand)
		})
	}
}

// TestSumsHaveEachNodeOnce checks what a leader tells its zone and the other leaders.
func TestSumsHaveEachNodeOnce(t *testing.T) {
	now := time.Now()
	control := newZoneNode(true, 1, now)
	control.peers.nodes = map[string]*peer{"a1": {zone: "a"}, "b1": {zone: "b"}, "b2": {zone: "b"}}
	counted := func(node string, scope topo.Scope, count int) gossip.Digest {
		return gossip.Digest{Node: node, Zone: node[:1], Scope: scope, InFlight: map[string]int{"a-000": count}, CutOff: []string{node}}
	}
	control.endpoints.load("a-000").Begin()
	for _, digest := range []gossip.Digest{counted("a1", topo.ScopeNode, 10), counted("b1", topo.ScopeZone, 100), counted("b2", topo.ScopeZone, 120)} {
		control.handlePeerDigest(digestReceived{digest: digest}, now)
	}
	control.refreshDigest()
	control.sumDigests(control.peers.sources(now), now)
	zone, all := control.peers.zoneDigest.Load(), control.peers.clusterDigest.Load()
	assert.Equal(t, zone.InFlight["a-000"], 11)
	assert.Equal(t, zone.Scope, topo.ScopeZone)
	assert.Equal(t, all.InFlight["a-000"], 131)
	assert.Equal(t, all.Scope, topo.ScopeAll)
	assert.Equal(t, len(all.CutOff), 3)
}
