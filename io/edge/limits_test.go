package edge

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"hickorybend/core/fleet"
	"hickorybend/core/limit"
	"hickorybend/io/entry"
	"hickorybend/io/gossip"
	"hickorybend/io/meter"
)

// TestEndOfALimit checks what ends the limit of an endpoint: a newer answer without
// one, at this node or another; a new start; and that nobody has heard of it for long.
// A late report of an earlier answer does not bring it back.
func TestEndOfALimit(t *testing.T) {
	now := time.Now()
	startedAt := time.UnixMilli(now.UnixMilli() - 60_000)
	stated := func(control *Control, limited bool, at time.Time) {
		control.handleLimitStated(limitStated{entry.StatedLimit{Endpoint: "i-1", StartedAt: startedAt, Limited: limited, PerSecond: 0.5, At: at}}, at)
	}
	for _, test := range []struct {
		name    string
		happens func(control *Control)
		at      time.Duration
		want    bool // the endpoint is still limited
	}{
		{"nothing", func(*Control) {}, 20 * time.Second, true},
		{"an answer without a limit", func(control *Control) { stated(control, false, now.Add(time.Second)) }, time.Second, false},
		{"an earlier answer that is reported late", func(control *Control) {
			stated(control, false, now.Add(time.Second))
			control.learnLimits([]gossip.EndpointLimit{{Endpoint: "i-1", StartedAt: startedAt.UnixMilli(), Limited: true, PerSecond: 1, At: now.Add(500 * time.Millisecond)}}, now.Add(time.Second))
		}, time.Second, false},
		{"an answer to another node", func(control *Control) {
			control.learnLimits([]gossip.EndpointLimit{{Endpoint: "i-1", StartedAt: startedAt.UnixMilli(), At: now.Add(time.Second)}}, now.Add(time.Second))
		}, time.Second, false},
		{"an answer of an earlier incarnation", func(control *Control) {
			control.learnLimits([]gossip.EndpointLimit{{Endpoint: "i-1", StartedAt: startedAt.UnixMilli() - 1, At: now.Add(time.Second)}}, now.Add(time.Second))
		}, time.Second, true},
		{"a new start", func(control *Control) {
			control.endpoints.byID["i-1"] = fleet.Endpoint{ID: "i-1", Service: "llm", StartedAt: now}
		}, time.Second, false},
		{"no answer for long", func(*Control) {}, limitTTL + time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			control := NewControl(DefaultSettings(), nil, nil, zap.NewNop(), meter.New())
			control.endpoints.byID["i-1"] = fleet.Endpoint{ID: "i-1", Service: "llm", StartedAt: startedAt}
			stated(control, true, now)
			load := control.endpoints.load("i-1")
			assert.Assert(t, load.TakeTurn(now) && load.Limited(now))
			test.happens(control)
			end := now.Add(test.at)
			control.shareLimits(end)
			load.TakeTurn(end)
			assert.Equal(t, load.Limited(end), test.want)
		})
	}
}

// newLimited returns the control of one of many nodes, whose endpoints have stated
// limits.
func newLimited(nodes, limited int, now time.Time) *Control {
	control := NewControl(DefaultSettings(), nil, nil, zap.NewNop(), meter.New())
	for i := range nodes - 1 {
		control.peers.nodes[fmt.Sprint("node-", i)] = &peer{digestReceivedAt: now}
	}
	for i := range limited {
		id := fmt.Sprint("i-", i)
		control.endpoints.byID[id] = fleet.Endpoint{ID: id, Service: "llm", StartedAt: now}
	}
	control.learnLimits(statedLimits(limited, now, now), now)
	control.shareLimits(now)
	return control
}

// statedLimits returns what another node tells of endpoints' limits.
func statedLimits(limited int, startedAt, at time.Time) (listed []gossip.EndpointLimit) {
	for i := range limited {
		listed = append(listed, gossip.EndpointLimit{Endpoint: fmt.Sprint("i-", i), StartedAt: startedAt.UnixMilli(), Limited: true, PerSecond: 3.2, At: at})
	}
	return listed
}

// TestSharesAreComputedOnNews guards against shares that are computed again and again
// from the same facts, and against those that miss a fact. The test sets a rate of its
// own, which lasts until the share is computed.
func TestSharesAreComputedOnNews(t *testing.T) {
	now := time.UnixMilli(time.Now().UnixMilli())
	for _, test := range []struct {
		name    string
		happens func(control *Control, at time.Time)
		after   time.Duration
		want    bool // the share is computed
	}{
		{"nothing", func(*Control, time.Time) {}, tickInterval, false},
		{"a second", func(*Control, time.Time) {}, rateSampleInterval, true},
		{"the same limit again", func(control *Control, at time.Time) { control.learnLimits(statedLimits(1, now, at), at) }, tickInterval, false},
		{"another limit", func(control *Control, at time.Time) {
			control.applyLimit("i-0", limit.Observation{StartedAt: now, Limited: true, PerSecond: 3, At: at}, at)
		}, tickInterval, true},
		{"the end of the limit", func(control *Control, at time.Time) {
			control.applyLimit("i-0", limit.Observation{StartedAt: now, At: at}, at)
		}, tickInterval, true},
		{"a restart", func(control *Control, at time.Time) {
			control.endpoints.byID["i-0"] = fleet.Endpoint{ID: "i-0", Service: "llm", StartedAt: at}
		}, tickInterval, true},
		{"a new node", func(control *Control, _ time.Time) { control.peers.nodes["new"] = &peer{} }, tickInterval, true},
		{"a node that is gone", func(control *Control, _ time.Time) { delete(control.peers.nodes, "node-0") }, tickInterval, true},
		{"a node out of touch, in a mesh", func(control *Control, at time.Time) {
			control.peers.role.Mesh = true
			control.shareLimits(at)
			control.endpoints.load("i-0").SetRate(0)
			control.peers.nodes["node-0"].digestReceivedAt = at.Add(-digestTTL)
		}, tickInterval, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			control := newLimited(4, 1, now)
			load, at := control.endpoints.load("i-0"), now.Add(test.after)
			load.SetRate(0)
			test.happens(control, at)
			control.shareLimits(at)
			assert.Equal(t, !load.Limited(at.Add(time.Hour)), test.want)
		})
	}
}

// BenchmarkShareLimits takes the time of a second: ten ticks, and five answers of the
// zone's leader, which list all limits.
func BenchmarkShareLimits(b *testing.B) {
	for _, limited := range []int{7, 100} {
		b.Run(fmt.Sprint(limited), func(b *testing.B) {
			startedAt := time.UnixMilli(time.Now().UnixMilli())
			now := startedAt
			control := newLimited(390, limited, now)
			b.ReportAllocs()
			for b.Loop() {
				for tick := range 10 {
					now = now.Add(tickInterval)
					if tick%2 == 0 {
						control.learnLimits(statedLimits(limited, startedAt, now), now)
					}
					control.shareLimits(now)
				}
			}
		})
	}
}
