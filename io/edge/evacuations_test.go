package edge

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"hickorybend/core/evac"
	"hickorybend/core/fleet"
	"hickorybend/core/rows"
	"hickorybend/core/site"
	"hickorybend/io/event"
	"hickorybend/io/gossip"
	"hickorybend/io/meter"
	"hickorybend/platform"
)

// newEvacuating returns the control of a node that has started at a time, with a
// configuration and endpoints in two zones.
func newEvacuating(startedAt time.Time) (*Control, *observer.ObservedLogs) {
	core, logs := observer.New(zap.InfoLevel)
	control := NewControl(DefaultSettings(), nil, nil, zap.New(core), meter.New())
	control.startedAt = startedAt
	control.config.index = site.NewIndex(site.Config{Version: 1, Services: []site.Service{{Name: "app"}}})
	control.endpoints.loaded = true
	for id, zone := range map[string]string{"p-1": "east", "p-2": "west"} {
		control.endpoints.byID[id] = fleet.Endpoint{ID: id, Service: "app", Zone: zone, Address: "127.0.0.1:1"}
	}
	return control, logs
}

// readOperatorTable applies the operators' table at a version, with rows of some zones.
func (control *Control) readOperatorTable(full bool, version rows.Version, now time.Time, zones ...string) {
	batch := platform.Batch{Full: full, Version: version}
	for _, zone := range zones {
		batch.Entries = append(batch.Entries, platform.Entry{Key: platform.EvacuationKey(zone), Version: version, Value: []byte("{}")})
	}
	control.handleTable(tableChanged{table: tableConfig, batch: batch, from: fromStore}, now)
}

// expectCandidates checks which endpoints requests are sent to.
func expectCandidates(t *testing.T, control *Control, now time.Time, want ...string) {
	t.Helper()
	control.publish(now)
	got := []string{}
	if servicepool := control.snapshot.Load().Services["app"]; servicepool != nil {
		for _, candidate := range servicepool.Plain {
			got = append(got, candidate.ID)
		}
	}
	assert.DeepEqual(t, got, append([]string{}, want...))
}

// TestNodeServesBeforeItKnowsEvacuations guards against a node that has just started and
// serves before it has read the rows, and against one that never serves since all others
// are of an earlier build.
func TestNodeServesBeforeItKnowsEvacuations(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name  string
		learn func(control *Control)
		at    time.Duration
		want  []string
	}{
		{"nothing known", func(*Control) {}, time.Second, nil},
		{"nothing known for long", func(*Control) {}, unknownEvacuationsTime, []string{"p-1", "p-2"}},
		{"read from the store", func(control *Control) { control.readOperatorTable(true, 3, now, "east") }, time.Second, []string{"p-2"}},
		{"changes without a read", func(control *Control) { control.readOperatorTable(false, 3, now, "east") }, time.Second, nil},
		{"told by a digest", func(control *Control) {
			digest := gossip.Digest{Evacuated: evac.State{Version: 4, Zones: []evac.Zone{{Name: "west", Version: 2, Since: now}}}}.WithAges(now)
			control.applyEvacuations(digest.Evacuations.State(now), fromPeer, now)
		}, time.Second, []string{"p-1"}},
		{"a configuration of an earlier build", func(control *Control) {
			control.handleTable(tableChanged{table: tableConfig, from: fromPeer}, now)
		}, time.Second, nil},
		{"a configuration with the evacuations", func(control *Control) {
			control.handleTable(tableChanged{table: tableConfig, from: fromPeer, evacuations: &gossip.Evacuations{Version: 4}}, now)
		}, time.Second, []string{"p-1", "p-2"}},
		{"evacuated and taken back", func(control *Control) {
			control.readOperatorTable(true, 3, now, "east", "west")
			control.readOperatorTable(true, 5, now, "west")
		}, time.Second, []string{"p-1"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			control, _ := newEvacuating(now)
			test.learn(control)
			expectCandidates(t, control, now.Add(test.at), test.want...)
		})
	}
}

// TestLeaderOfEarlierBuild guards against a node that relies on a leader which does not tell
// of evacuations, and against a copy that such a digest confirms.
func TestLeaderOfEarlierBuild(t *testing.T) {
	now := time.Now()
	control, _ := newEvacuating(now)
	control.isLeader.Store(false)
	control.servedByLeader.Store(true)
	for _, told := range []bool{false, true} {
		control.toldEvacuations.Store(told)
		assert.Equal(t, control.follows(tableConfig), !told)
	}
	control.readOperatorTable(true, 3, now)
	digest := gossip.Digest{Versions: make([]rows.Version, tableCount), ConfirmedAt: make([]time.Time, tableCount)}
	digest.Versions[tableConfig], digest.ConfirmedAt[tableConfig] = 1, now.Add(time.Minute)
	for _, evacuated := range []evac.State{{}, {Version: 3}} {
		digest.Evacuated = evacuated
		control.confirmByPeer(digest.WithAges(now.Add(time.Minute)), now.Add(time.Minute), now.Add(time.Minute))
		assert.Equal(t, control.copies.watermarks[tableConfig].At.Equal(now.Add(time.Minute)), evacuated.Known())
	}
}

// TestUnknownZoneIsReportedOnce guards against a typing error in a zone's name that nobody
// sees, and against a line at each tick.
func TestUnknownZoneIsReportedOnce(t *testing.T) {
	now := time.Now()
	control, logs := newEvacuating(now.Add(-time.Minute))
	expect := func(want int) {
		t.Helper()
		control.judgeEvacuations(now)
		assert.Equal(t, logs.FilterMessage(event.ZoneUnknown.Text).Len(), want)
	}
	control.readOperatorTable(true, 3, now, "east", "nowhere")
	expect(1)
	expect(1)
	control.readOperatorTable(true, 5, now, "east")
	control.readOperatorTable(true, 6, now, "east", "nowhere")
	expect(2)
	expectCandidates(t, control, now, "p-2")
}

// TestStoreGoesBackWithoutEvacuation guards against requests to a zone that the operators have evacuated, since the store has
// come back from an older copy without the row, and against a zone that stays evacuated once they no longer want it.
func TestStoreGoesBackWithoutEvacuation(t *testing.T) {
	now := time.Now()
	again, later := rows.NewVersion(1, 20), rows.NewVersion(1, 21)
	for _, test := range []struct {
		name string
		then func(control *Control)
		at   time.Duration
		want []string
	}{
		{"at once", func(*Control) {}, 0, []string{"p-2"}},
		{"just before the grace ends", func(*Control) {}, lostRowGrace - tickInterval, []string{"p-2"}},
		{"after the grace", func(*Control) {}, lostRowGrace, []string{"p-1", "p-2"}},
		{"another node has not seen the row", func(control *Control) {
			control.applyEvacuations(evac.State{Version: later}, fromPeer, now)
		}, time.Second, []string{"p-2"}},
		{"the row is written again", func(control *Control) { control.readOperatorTable(false, later, now, "east") }, lostRowGrace, []string{"p-2"}},
		{"written again and taken back", func(control *Control) {
			control.readOperatorTable(false, later, now, "east")
			control.readOperatorTable(true, later+1, now)
		}, time.Second, []string{"p-1", "p-2"}},
		{"another zone is evacuated", func(control *Control) { control.readOperatorTable(false, later, now, "west") }, time.Second, nil},
		{"the store goes back again", func(control *Control) { control.readOperatorTable(true, rows.NewVersion(2, 20), now.Add(time.Second)) }, lostRowGrace, []string{"p-2"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			control, logs := newEvacuating(now)
			control.readOperatorTable(true, 30, now.Add(-time.Minute), "east")
			control.readOperatorTable(true, again, now)
			test.then(control)
			control.judgeEvacuations(now.Add(test.at))
			expectCandidates(t, control, now.Add(test.at), test.want...)
			taken := logs.FilterMessage(event.ZoneTakenBack.Text).Len()
			assert.Equal(t, taken == 1, len(test.want) == 2)
		})
	}
}
