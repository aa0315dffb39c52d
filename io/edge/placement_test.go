package edge

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"hickorybend/core/fleet"
	"hickorybend/core/rows"
	"hickorybend/io/gossip"
	"hickorybend/io/meter"
)

// TestPlannersOutliveALapseOfTheLease has the lease lapse and come back: under
// the same fencing number, or the next one, nobody else has placed anything and
// the planner goes on; under a later one it begins anew.
func TestPlannersOutliveALapseOfTheLease(t *testing.T) {
	placement := newPlacement(DefaultSettings())
	placement.hold(3)
	planner := fleet.NewPlanner(placement.policy, "llm")
	placement.planners["llm"] = planner
	placement.hold(3)
	assert.Assert(t, placement.planners["llm"] == planner)
	placement.hold(4)
	assert.Assert(t, placement.planners["llm"] == planner)
	placement.hold(6)
	assert.Equal(t, len(placement.planners), 0)
}

// holderOf is the control of a node that has held the lease under number 3, with
// three others of its mesh.
func holderOf(now time.Time) *Control {
	settings := DefaultSettings()
	settings.Node, settings.PlaceWithoutStore = "node-0", true
	control := NewControl(settings, nil, nil, zap.NewNop(), meter.New())
	control.storeAt = now.Add(-2 * goOnAge)
	control.placement.fence, control.placement.mayGoOn = 3, true
	control.peers.part.Mesh = true
	for _, name := range []string{"node-1", "node-2", "node-3"} {
		control.peers.nodes[name] = &peer{heardAt: now, digest: gossip.Digest{Node: name, StoreReplyAge: int64(2 * goOnAge)}}
	}
	return control
}

// TestPlacementWhileTheStoreIsAway has a holder whose lease runs out: it places
// on only where the store answers nobody it hears, it hears most, and nobody
// has held the lease since.
func TestPlacementWhileTheStoreIsAway(t *testing.T) {
	now := time.Now()
	silence := func(control *Control, names ...string) {
		for _, name := range names {
			control.peers.nodes[name].heardAt = now.Add(-2 * digestTerm)
		}
	}
	for _, test := range []struct {
		name   string
		change func(control *Control)
		goesOn bool
	}{
		{"away for all", func(*Control) {}, true},
		{"one node is dead", func(control *Control) { silence(control, "node-1") }, true},
		{"most are silent", func(control *Control) { silence(control, "node-1", "node-2") }, false},
		{"it answers another node", func(control *Control) { control.peers.nodes["node-2"].digest.StoreReplyAge = int64(goOnAge / 2) }, false},
		{"it answers this node", func(control *Control) { control.storeAt = now.Add(-goOnAge / 2) }, false},
		{"somebody took the lease", func(control *Control) {
			control.placement.learnTold(gossip.Digest{Fence: 4, PlanCount: 1}, now)
		}, false},
		{"it never held the lease, or its host slept", func(control *Control) { control.placement.mayGoOn = false }, false},
		{"it is not set to", func(control *Control) { control.settings.PlaceWithoutStore = false }, false},
		{"it is leaving", func(control *Control) { control.leaving = true }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			control := holderOf(now)
			test.change(control)
			assert.Equal(t, control.goesOn(now), test.goesOn)
		})
	}
}

// TestHostSlept has the host of a holder suspended for five seconds, which the
// steady clock does not count: what it held by that clock is over.
func TestHostSlept(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name  string
		slept time.Duration
		keeps bool
	}{{"awake", 10 * time.Millisecond, true}, {"asleep", 5 * time.Second, false}} {
		t.Run(test.name, func(t *testing.T) {
			control := holderOf(now)
			ahead := time.Hour // since the host's start, of earlier sleeps
			control.suspended = func(time.Duration) (time.Duration, error) { return ahead, nil }
			control.start(now)
			placement := &control.placement
			assert.NilError(t, placement.claim.Observe(placement.row, placement.fenceRow, now))
			taken := placement.claim.Next(now.Add(time.Second), 0, "write-1")
			control.learnClaim(claimed{action: taken, outcome: rows.Committed{}}, now)
			_, held := placement.claim.Held(now.Add(time.Second))
			assert.Assert(t, held)
			ahead += test.slept
			control.wake(now.Add(1100 * time.Millisecond))
			_, held = placement.claim.Held(now.Add(1100 * time.Millisecond))
			assert.Equal(t, held, test.keeps)
			assert.Equal(t, placement.mayGoOn, test.keeps)
		})
	}
}

// TestWordOfAHolder takes in words out of order: the latest of the highest
// fencing number stands.
func TestWordOfAHolder(t *testing.T) {
	now := time.Now()
	placement := newPlacement(DefaultSettings())
	placement.learnTold(gossip.Digest{Fence: 3, PlanCount: 7, Quarantined: []string{"e-1"}}, now)
	placement.learnTold(gossip.Digest{Fence: 3, PlanCount: 6}, now.Add(time.Second))
	assert.DeepEqual(t, placement.told, fleet.HolderReport{Fence: 3, ReceivedAt: now, Quarantined: map[string]bool{"e-1": true}})
	placement.learnTold(gossip.Digest{Fence: 4, PlanCount: 1}, now.Add(time.Second))
	assert.DeepEqual(t, placement.told, fleet.HolderReport{Fence: 4, ReceivedAt: now.Add(time.Second), Quarantined: map[string]bool{}})
}
