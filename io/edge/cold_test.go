package edge

import (
	"encoding/json"
	"fmt"
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
	"hickorybend/platform"
	"hickorybend/platform/fakes"
)

const coldTestTime = 10 * time.Second

// newColdControl returns the control of one of many nodes, which has read its tables. The
// only endpoint is p-1, which has started before.
func newColdControl(now time.Time, traffic bool) (*Control, *observer.ObservedLogs) {
	core, logs := observer.New(zap.InfoLevel)
	settings := DefaultSettings()
	settings.Node, settings.ColdOver, settings.ColdSlack = "node-0", 1.5, 5
	control := NewControl(settings, nil, nil, zap.New(core), meter.New())
	control.hadRequests = func() bool { return traffic }
	for i := range 79 {
		control.peers.rows[fmt.Sprint("node-", i)] = platform.Entry{}
	}
	control.config.index = site.NewIndex(site.Config{Version: 1, Services: []site.Service{{Name: "app", ColdPerSecond: 14, ColdTime: coldTestTime}}})
	control.applyColdTable(true, now, coldRow("p-1", now.Add(-time.Minute), 1, 0))
	return control, logs
}

// coldRow returns an endpoint's row that says for how many milliseconds it is cold; nil leaves
// that out.
func coldRow(id string, startedAt time.Time, sequence int64, left any) platform.Entry {
	row := map[string]any{"service": "app", "address": "127.0.0.1:1", "state": "ready", "slots": 4, "sequence": sequence, "born": startedAt.UnixMilli()}
	if left != nil {
		row[fakes.ColdField] = left
	}
	value, err := json.Marshal(row)
	if err != nil {
		panic(err)
	}
	return platform.Entry{Key: id, Value: value}
}

// applyColdTable applies rows of the endpoints, each with the next version.
func (control *Control) applyColdTable(full bool, now time.Time, entries ...platform.Entry) {
	version := control.endpoints.completeVersion
	for i := range entries {
		version++
		entries[i].Version = version
	}
	control.handleEndpoints(tableChanged{table: tableEndpoints, batch: platform.Batch{Entries: entries, Version: max(version, rows.Version(1)), Full: full}, from: fromStore}, now)
	control.publish(now)
}

// expectCold checks whether an endpoint is cold for this node, and that its load is limited
// if it is a candidate.
func expectCold(t *testing.T, control *Control, id string, now time.Time, want bool) {
	t.Helper()
	control.publish(now)
	_, isCold := control.cold.shares[id]
	assert.Equal(t, isCold, want)
	for _, candidate := range control.snapshot.Load().Services["app"].Plain {
		if candidate.ID == id {
			assert.Equal(t, len(candidate.Owners) > 0, want)
			taken := candidate.Load.TakeTurn(now)
			assert.Assert(t, want && (!taken || candidate.Load.Limited(now)) || !want && taken && !candidate.Load.Limited(now))
		}
	}
}

// TestColdSources checks from which source, and until when, an endpoint counts as cold.
func TestColdSources(t *testing.T) {
	now := time.UnixMilli(time.Now().UnixMilli())
	start, born := now, now.Add(-time.Minute)
	const second = time.Second
	row := func(control *Control, at time.Duration, startedAt time.Time, sequence int64, left any) {
		control.applyColdTable(false, start.Add(at), coldRow("p-1", startedAt, sequence, left))
	}
	answer := func(control *Control, at, askedAt time.Duration, left time.Duration) {
		control.handleColdStated(coldStated{endpoint: "p-1", cold: fleet.Cold{Stated: true, Left: left}, askedAt: start.Add(askedAt)}, start.Add(at))
	}
	told := func(control *Control, at time.Duration, startedAt time.Time, left time.Duration) {
		control.learnCold(gossip.ColdReceivedAt([]gossip.ColdEndpoint{{Endpoint: "p-1", StartedAt: startedAt.UnixMilli(), Left: int64(left)}}, start.Add(at)), start.Add(at))
	}
	for _, test := range []struct {
		name    string
		traffic bool
		happens func(control *Control)
		at      time.Duration
		want    bool
	}{
		{"nothing", true, func(*Control) {}, second, false},
		{"a row", true, func(control *Control) { row(control, 0, born, 2, 4000) }, 3 * second, true},
		{"its time is over", true, func(control *Control) { row(control, 0, born, 2, 4000) }, 4 * second, false},
		{"a newer row", true, func(control *Control) { row(control, 0, born, 2, 4000); row(control, second, born, 3, 0) }, 2 * second, false},
		{"cold again", true, func(control *Control) {
			row(control, 0, born, 2, 4000)
			row(control, second, born, 3, 0)
			row(control, 2*second, born, 4, 9000)
		}, 5 * second, true},
		{"an answer", true, func(control *Control) { answer(control, 0, 0, 4*second) }, 3 * second, true},
		{"a later answer", true, func(control *Control) { answer(control, 0, 0, 4*second); answer(control, second, second, 0) }, 2 * second, false},
		{"an earlier answer that comes late", true, func(control *Control) { answer(control, second, second, 4*second); answer(control, 2*second, 0, 0) }, 3 * second, true},
		{"a row from before the answer", true, func(control *Control) { answer(control, 0, 0, 4*second); row(control, second, born, 2, 0) }, 2 * second, true},
		{"another node", true, func(control *Control) { told(control, 0, born, 4*second) }, 3 * second, true},
		{"another node about an earlier start", true, func(control *Control) { told(control, 0, born.Add(-time.Second), 4*second) }, 3 * second, false},
		{"another node's row", true, func(control *Control) {
			control.learnCold([]gossip.ColdEndpoint{{Endpoint: "p-1", StartedAt: born.UnixMilli(), Until: start.Add(4 * second), Sequence: 2}}, start)
		}, 3 * second, true},
		{"another node's row, and a newer one", true, func(control *Control) {
			control.learnCold([]gossip.ColdEndpoint{{Endpoint: "p-1", StartedAt: born.UnixMilli(), Until: start.Add(4 * second), Sequence: 2}}, start)
			row(control, second, born, 3, 0)
		}, 2 * second, false},
		{"another node's row, older than the known one", true, func(control *Control) {
			row(control, 0, born, 3, 0)
			control.learnCold([]gossip.ColdEndpoint{{Endpoint: "p-1", StartedAt: born.UnixMilli(), Until: start.Add(4 * second), Sequence: 2}}, start)
		}, second, false},
		{"a start during traffic", true, func(control *Control) { row(control, 0, start, 1, nil) }, 9 * second, true},
		{"a start during traffic, and its row does not say so yet", true, func(control *Control) { row(control, 0, start, 1, 0) }, 9 * second, true},
		{"a start during traffic, and its time is over", true, func(control *Control) { row(control, 0, start, 1, nil) }, 10 * second, false},
		{"a start during traffic, and its row says more", true, func(control *Control) { row(control, 0, start, 1, 3000) }, 4 * second, false},
		{"a start before traffic", false, func(control *Control) { row(control, 0, start, 1, 0) }, second, false},
		{"a lost connection", true, func(control *Control) { control.suspectCold("p-1", start) }, second, true},
		{"a lost connection long ago", true, func(control *Control) { control.suspectCold("p-1", start) }, 2 * second, false},
		{"a new start ends what an earlier one said", false, func(control *Control) { row(control, 0, born, 2, 9000); row(control, second, start, 1, 0) }, 2 * second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			control, _ := newColdControl(start, test.traffic)
			test.happens(control)
			control.shareLimits(start.Add(test.at))
			expectCold(t, control, "p-1", start.Add(test.at), test.want)
		})
	}
}

// TestColdWithItsFirstSnapshot guards against a cold endpoint that is a candidate before it is
// limited.
func TestColdWithItsFirstSnapshot(t *testing.T) {
	now := time.Now()
	control, logs := newColdControl(now, true)
	control.applyColdTable(false, now, coldRow("p-2", now, 1, 8000))
	limited := false
	for _, candidate := range control.snapshot.Load().Services["app"].Plain {
		if candidate.ID == "p-2" {
			limited = !candidate.Load.TakeTurn(now) || candidate.Load.Limited(now)
		}
	}
	assert.Assert(t, limited)
	assert.Equal(t, logs.FilterMessage(event.EndpointCold.Text).Len(), 1)
	expectCold(t, control, "p-2", now.Add(8*time.Second), false)
	assert.Equal(t, logs.FilterMessage(event.EndpointWarm.Text).Len(), 1)
}

// TestStatedLimitOfColdEndpoint guards against an endpoint that gets the higher of two shares, or
// none at all once one of them has ended.
func TestStatedLimitOfColdEndpoint(t *testing.T) {
	now := time.Now()
	control, _ := newColdControl(now, true)
	load := control.endpoints.load("p-1")
	for _, step := range []struct {
		name            string
		stated, isCold  bool
		statedPerSecond float64
		want            time.Duration // between two turns; 0 for any
	}{
		{"none", false, false, 0, 0},
		{"stated", true, false, 2, 500 * time.Millisecond},
		{"both, the stated one is lower", true, true, 2, 500 * time.Millisecond},
		{"both, the cold one is lower", true, true, 50, 250 * time.Millisecond},
		{"cold", false, true, 0, 250 * time.Millisecond},
		{"none again", false, false, 0, 0},
	} {
		delete(control.limits.shares, "p-1")
		delete(control.cold.shares, "p-1")
		if step.stated {
			control.limits.shares["p-1"] = step.statedPerSecond
		}
		if step.isCold {
			control.cold.shares["p-1"] = 4
		}
		control.setRate("p-1")
		now = now.Add(time.Minute)
		assert.Assert(t, load.TakeTurn(now), step.name)
		assert.Assert(t, step.want == 0 || load.Limited(now.Add(step.want-1)), step.name)
		assert.Assert(t, !load.Limited(now.Add(step.want)), step.name)
	}
}

// TestOwnersSettle guards against a node that becomes an owner by a list which other nodes do not
// have yet, while an earlier owner goes by the one before.
func TestOwnersSettle(t *testing.T) {
	now := time.Now()
	control, _ := newColdControl(now, true)
	control.applyColdTable(false, now, coldRow("p-1", now.Add(-time.Minute), 2, 60_000))
	assert.Equal(t, control.cold.shares["p-1"], 0.0)
	for i := 1; i < 79; i++ {
		delete(control.peers.rows, fmt.Sprint("node-", i))
	}
	control.refreshCold(now)
	assert.Equal(t, control.cold.shares["p-1"], 0.0)
	control.refreshCold(now.Add(listSettleTime))
	assert.Assert(t, control.cold.shares["p-1"] > 0)
}

// TestFirstListOfFewNodes guards against nodes that all start again while an endpoint is cold, and
// each own the whole quota by their first lists, which name few nodes.
func TestFirstListOfFewNodes(t *testing.T) {
	now := time.Now()
	for _, firstStart := range []bool{false, true} {
		control, _ := newColdControl(now, true)
		control.settings.FirstStart = firstStart
		for name := range control.peers.rows {
			if name != control.settings.Node {
				delete(control.peers.rows, name)
			}
		}
		control.cold.members, control.cold.before = nil, nil
		control.updateOwners(now)
		control.applyColdTable(false, now, coldRow("p-1", now.Add(-time.Minute), 2, 60_000))
		assert.Equal(t, control.cold.shares["p-1"] > 0, firstStart)
		control.refreshCold(now.Add(listSettleTime))
		assert.Assert(t, control.cold.shares["p-1"] > 0)
	}
}
