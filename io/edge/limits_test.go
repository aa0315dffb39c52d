package edge

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"hickorybend/core/fleet"
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
