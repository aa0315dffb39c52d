package edge

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"hickorybend/core/fleet"
	"hickorybend/core/rows"
	"hickorybend/core/site"
	"hickorybend/io/event"
	"hickorybend/io/gossip"
	"hickorybend/io/meter"
	"hickorybend/io/pool"
	"hickorybend/platform"
)

// TestPlannersSurviveLeaseLapse guards against planners that are replaced, and so
// lose their state, when a lease expires and the same node holds it again. Under
// the same fencing number, or the next one, no other node has placed anything,
// and the planners must be kept; under a later one they must be replaced.
func TestPlannersSurviveLeaseLapse(t *testing.T) {
	placement := newPlacement(DefaultSettings())
	placement.setFence(3)
	planner := fleet.NewPlanner(placement.policy, "llm")
	placement.planners["llm"] = planner
	placement.setFence(3)
	assert.Assert(t, placement.planners["llm"] == planner)
	placement.setFence(4)
	assert.Assert(t, placement.planners["llm"] == planner)
	placement.setFence(6)
	assert.Equal(t, len(placement.planners), 0)
}

// newHolder returns the control of a node that last held the lease under fencing
// number 3 and is one of four in a mesh. The store has answered none of them for
// twice maxStoreReplyAge.
func newHolder(now time.Time) *Control {
	settings := DefaultSettings()
	settings.Node, settings.PlaceWithoutStore = "node-0", true
	control := NewControl(settings, nil, nil, zap.NewNop(), meter.New())
	control.storeRepliedAt = now.Add(-2 * maxStoreReplyAge)
	control.placement.fence, control.placement.isLatestHolder = 3, true
	control.peers.role.Mesh = true
	for _, name := range []string{"node-1", "node-2", "node-3"} {
		control.peers.nodes[name] = &peer{digestReceivedAt: now, digest: gossip.Digest{Node: name, StoreReplyAge: int64(2 * maxStoreReplyAge)}}
	}
	return control
}

// TestPlacementDuringStoreOutage guards against two nodes that place at the same
// time. After a holder's lease has expired, the holder may continue only if the
// store answers no reachable node, a majority is reachable, and no other node has
// held the lease since.
func TestPlacementDuringStoreOutage(t *testing.T) {
	now := time.Now()
	expireDigests := func(control *Control, names ...string) {
		for _, name := range names {
			control.peers.nodes[name].digestReceivedAt = now.Add(-2 * digestTTL)
		}
	}
	for _, test := range []struct {
		name   string
		change func(control *Control)
		want   bool
	}{
		{"store unreachable for all nodes", func(*Control) {}, true},
		{"one peer unresponsive", func(control *Control) { expireDigests(control, "node-1") }, true},
		{"most peers unresponsive", func(control *Control) { expireDigests(control, "node-1", "node-2") }, false},
		{"store answers a peer", func(control *Control) {
			control.peers.nodes["node-2"].digest.StoreReplyAge = int64(maxStoreReplyAge / 2)
		}, false},
		{"store answers this node", func(control *Control) { control.storeRepliedAt = now.Add(-maxStoreReplyAge / 2) }, false},
		{"another node acquired the lease", func(control *Control) {
			control.placement.updateHolderReport(gossip.Digest{Fence: 4, PlanCount: 1}, now)
		}, false},
		{"lease never held or host suspended", func(control *Control) { control.placement.isLatestHolder = false }, false},
		{"disabled in the settings", func(control *Control) { control.settings.PlaceWithoutStore = false }, false},
		{"node draining", func(control *Control) { control.draining = true }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			control := newHolder(now)
			test.change(control)
			assert.Equal(t, control.mayPlaceWithoutLease(now), test.want)
		})
	}
}

// TestSuspensionEndsLease guards against a holder that keeps its lease when its
// host was suspended for five seconds. The monotonic clock does not count them, so
// the lease still seems held, but another node may have acquired it. Copies that
// seem up to date are five seconds older, too.
func TestSuspensionEndsLease(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name      string
		suspended time.Duration
		held      bool
	}{{"running", 10 * time.Millisecond, true}, {"suspended", 5 * time.Second, false}} {
		t.Run(test.name, func(t *testing.T) {
			control := newHolder(now)
			offset := time.Hour // by earlier suspensions since the host's start
			control.bootClockOffset = func(time.Duration) (time.Duration, error) { return offset, nil }
			control.initClock(now)
			placement := &control.placement
			assert.NilError(t, placement.claim.Observe(placement.row, placement.fencingRow, now))
			acquire := placement.claim.Next(now.Add(time.Second), 0, "write-1")
			control.handleLeaseResult(leaseResult{action: acquire, outcome: rows.Committed{}}, now)
			_, held := placement.claim.Held(now.Add(time.Second))
			assert.Assert(t, held)
			control.copies.confirm(tableEndpoints, now.Add(time.Second))
			offset += test.suspended
			control.checkSuspension(now.Add(1100 * time.Millisecond))
			stale := control.copies.age(tableEndpoints, now.Add(1100*time.Millisecond)) > control.copies.policies[tableEndpoints].StaleAfter
			assert.Equal(t, stale, !test.held)
			_, held = placement.claim.Held(now.Add(1100 * time.Millisecond))
			assert.Equal(t, held, test.held)
			assert.Equal(t, placement.isLatestHolder, test.held)
		})
	}
}

// TestHolderReportOrder guards against an older holder report that replaces a
// newer one when they arrive out of order: of those with the highest fencing
// number, the one with the highest plan count must be kept.
func TestHolderReportOrder(t *testing.T) {
	now := time.Now()
	placement := newPlacement(DefaultSettings())
	placement.updateHolderReport(gossip.Digest{Fence: 3, PlanCount: 7, Cleared: []gossip.Cleared{{Endpoint: "e-1", StartedAt: 1000, CommandCount: 2}}}, now)
	placement.updateHolderReport(gossip.Digest{Fence: 3, PlanCount: 6}, now.Add(time.Second))
	assert.DeepEqual(t, placement.holderReport, fleet.HolderReport{Fence: 3, ReceivedAt: now, Cleared: map[string]fleet.Clearance{"e-1": {StartedAt: time.UnixMilli(1000), CommandCount: 2}}})
	placement.updateHolderReport(gossip.Digest{Fence: 4, PlanCount: 1}, now.Add(time.Second))
	assert.DeepEqual(t, placement.holderReport, fleet.HolderReport{Fence: 4, ReceivedAt: now.Add(time.Second), Cleared: map[string]fleet.Clearance{}})
}

// TestPlacementStatsOfEachService guards against services whose statistics are never
// logged, because those of another one were logged a moment before.
func TestPlacementStatsOfEachService(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	control := NewControl(DefaultSettings(), nil, nil, zap.New(core), meter.New())
	control.config.index = site.NewIndex(site.Config{Services: []site.Service{{Name: "first", Engine: &site.Engine{}}, {Name: "second", Engine: &site.Engine{}}}})
	control.endpoints.loaded = true
	control.placement.isLatestHolder, control.placement.fence = true, 3
	control.settings.PlaceWithoutStore, control.peers.role.Mesh = true, true
	expectLogged := func(now time.Time, want int) {
		t.Helper()
		control.runPlacement(now)
		logged := map[any]int{}
		for _, entry := range logs.FilterField(zap.Int("event", event.PlacementStats.Number)).All() {
			logged[entry.ContextMap()["service"]]++
		}
		assert.DeepEqual(t, logged, map[any]int{"first": want, "second": want})
	}
	now := time.Now()
	expectLogged(now, 1)
	expectLogged(now.Add(statsLogInterval/2), 1)
	expectLogged(now.Add(2*statsLogInterval), 2)
}

// TestCommandCountOfRestartedEndpoint guards against commands that an endpoint rejects
// after its restart, because they state the count of its earlier incarnation.
func TestCommandCountOfRestartedEndpoint(t *testing.T) {
	now := time.Now()
	startedAt := now.Add(-time.Minute)
	for _, test := range []struct {
		name            string
		startedAt       time.Time
		reported, count int64
	}{
		{"restarted", now, 1, 1},
		{"report older than the reply to a command", startedAt, 4, 5},
		{"report newer", startedAt, 6, 6},
	} {
		control := NewControl(DefaultSettings(), nil, nil, zap.NewNop(), meter.New())
		known := fleet.Endpoint{ID: "e", StartedAt: startedAt, CommandCount: 5, CommandCountKnown: true}
		control.endpoints.byID["e"] = known
		report := known
		report.StartedAt, report.CommandCount = test.startedAt, test.reported
		control.handleReport(probeResult{id: "e", report: report, sentAt: now}, now)
		got := control.endpoints.byID["e"]
		assert.Assert(t, got.CommandCountKnown && got.CommandCount == test.count, "%s: count %d", test.name, got.CommandCount)
	}
}

// TestNewHolderAsksForCommandCounts guards against a node that places again, and has an endpoint join another replica
// while its first host still serves (TWO): the endpoint has restarted since, and has accepted as many commands as the
// node last knew of its earlier incarnation.
func TestNewHolderAsksForCommandCounts(t *testing.T) {
	for _, test := range []struct {
		name  string
		fence int64
		known bool
	}{{"same lease", 3, true}, {"next lease", 4, true}, {"another node has placed since", 5, false}} {
		t.Run(test.name, func(t *testing.T) {
			control := newHolder(time.Now())
			control.endpoints.byID["e-1"] = fleet.Endpoint{ID: "e-1", CommandCount: 2, CommandCountKnown: true}
			control.planUnder(test.fence)
			assert.Equal(t, control.endpoints.byID["e-1"].CommandCountKnown, test.known)
		})
	}
}

// TestCommandsKeepFreeSince guards against an endpoint that passes for free since before a command of this node that
// may have changed its replica, and against one that waits because it has loaded weights.
func TestCommandsKeepFreeSince(t *testing.T) {
	now := time.Now()
	since, startedAt := now.Add(-time.Minute), now.Add(-time.Hour)
	for _, test := range []struct {
		name      string
		operation fleet.Operation
		count     int64
		startedAt time.Time
		want      time.Time
	}{
		{"stage", fleet.Stage{}, 2, startedAt, since},
		{"stage as its first command", fleet.Stage{}, 0, startedAt, now},
		{"stage in an earlier incarnation", fleet.Stage{}, 2, startedAt.Add(-time.Second), time.Time{}},
		{"join", fleet.Join{}, 2, startedAt, time.Time{}},
		{"leave", fleet.Leave{}, 2, startedAt, time.Time{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			endpoint := fleet.Endpoint{ID: "e-1", StartedAt: startedAt, CommandCount: test.count, CommandCountKnown: true}
			if test.count > 0 {
				endpoint.FreeSince = since
			}
			control := newHolder(now)
			control.endpoints.byID["e-1"] = endpoint
			command := fleet.Command{Endpoint: "e-1", StartedAt: test.startedAt, ExpectedCommandCount: test.count, Operation: test.operation}
			control.handleCommandResult(commandResult{service: "llm", command: command, reply: fleet.Accepted{}}, now)
			assert.Assert(t, control.endpoints.byID["e-1"].FreeSince.Equal(test.want))
		})
	}
}

// TestCountsBeforeFirstRequest guards against a new holder that takes the endpoints for new ones, which have accepted no
// command, because no request has arrived yet: an earlier holder has sent commands.
func TestCountsBeforeFirstRequest(t *testing.T) {
	for _, test := range []struct {
		name  string
		fence int64 // of the holder that has reported; 0 if none has
		known bool
	}{{"first holder", 0, true}, {"an earlier holder has reported", 1, false}} {
		t.Run(test.name, func(t *testing.T) {
			control := newHolder(time.Now())
			ctx, cancel := context.WithCancel(context.Background())
			cancel() // no probe is sent
			control.ctx, control.engineClient = ctx, platform.NewEngineClient(pool.New())
			control.placement.fence, control.placement.holderReport.Fence = 0, test.fence
			control.planUnder(2)
			control.endpoints.byID["e-1"] = fleet.Endpoint{ID: "e-1", Service: "llm"}
			control.ensureCommandCounts(control.endpoints.ofService("llm"), true, time.Now())
			assert.Equal(t, control.endpoints.byID["e-1"].CommandCountKnown, test.known)
		})
	}
}

// TestReportOlderThanClearance guards against a new holder that does not use free endpoints for a stall timeout: their
// reports are from before they accepted the last command of the previous holder, and the counts are not asked for again.
func TestReportOlderThanClearance(t *testing.T) {
	startedAt, now := time.UnixMilli(1000), time.Now()
	known := fleet.Endpoint{ID: "e-1", Service: "llm", StartedAt: startedAt, CommandCount: 1, CommandCountKnown: true, FreeSince: now.Add(-time.Second)}
	member, uncounted := known, known
	member.Membership.Replica, uncounted.CommandCountKnown = "large.a", false
	for _, test := range []struct {
		name      string
		endpoint  fleet.Endpoint
		clearance fleet.Clearance
		want      int64
	}{
		{"older report", known, fleet.Clearance{StartedAt: startedAt, CommandCount: 2}, 2},
		{"newer report", known, fleet.Clearance{StartedAt: startedAt, CommandCount: 0}, 1},
		{"another incarnation", known, fleet.Clearance{StartedAt: startedAt.Add(-time.Second), CommandCount: 2}, 1},
		{"member of a replica", member, fleet.Clearance{StartedAt: startedAt, CommandCount: 2}, 1},
		{"count not known", uncounted, fleet.Clearance{StartedAt: startedAt, CommandCount: 2}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			control := newHolder(now)
			control.endpoints.byID["e-1"] = test.endpoint
			control.placement.holderReport.Cleared = map[string]fleet.Clearance{"e-1": test.clearance}
			endpoints := control.endpoints.ofService("llm")
			control.raiseCommandCounts(endpoints, now)
			got := control.endpoints.byID["e-1"]
			assert.Equal(t, got.CommandCount, test.want)
			assert.DeepEqual(t, endpoints[0], got)
			assert.Equal(t, got.FreeSince.Equal(now), test.want == 2)
		})
	}
}

// TestRestartedHolderAcquiresLeaseAgain guards against a holder that crashes, starts again and acquires the lease before the
// nodes that know which endpoints it had cleared: it knows of none, and does not use them for a stall timeout.
func TestRestartedHolderAcquiresLeaseAgain(t *testing.T) {
	for _, test := range []struct {
		name                  string
		latest, planned, told int64 // fencing numbers: of the store, under which this node planned, of the holder that it has a report of
		later                 bool
	}{
		{"nobody has held the lease", 0, 0, 0, false},
		{"it has a report", 5, 0, 5, false},
		{"it was the holder", 5, 5, 0, false},
		{"it has just started", 5, 0, 0, true},
		{"it has a report of an earlier holder", 5, 3, 4, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			control := newHolder(time.Now())
			control.placement.fence, control.placement.holderReport.Fence = test.planned, test.told
			control.placement.fencingRow.Version = rows.NewVersion(0, test.latest)
			want := control.placement.acquireDelay
			if test.later {
				want += uninformedDelay
			}
			assert.Equal(t, control.acquireDelay(), want)
		})
	}
}
