package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/fleet"
	"hickorybend/core/site"
)

// TestSpeedOfReplicas guards against unknown delays that count as none. What leaves the zone where
// none are stated is checked by TestZonesWithoutDelays of core/reach.
func TestSpeedOfReplicas(t *testing.T) {
	control := &Control{settings: Settings{Zone: "a"}}
	engine := func(delays ...site.Delay) *site.Engine {
		return &site.Engine{Slots: 20, StepTime: 6 * time.Millisecond, PrefillTokensPerSec: 46000, Models: []site.Model{{Name: "m", TimeFactor: 0.6}}, Delays: delays}
	}
	stated := site.Delay{From: "b", To: "a", OneWay: 3 * time.Millisecond}
	for _, test := range []struct {
		name   string
		engine *site.Engine
		zone   string
		known  bool // the speed
		delay  time.Duration
		stated bool // the delay
	}{
		{"no delays", engine(), "b", true, 0, false},
		{"another zone", engine(stated), "b", true, 3 * time.Millisecond, true},
		{"this zone", engine(stated), "a", true, 0, true},
		{"a zone that is left out", engine(stated), "c", true, 0, false},
		{"no speed", &site.Engine{Slots: 20, Models: []site.Model{{Name: "m"}}, Delays: []site.Delay{stated}}, "b", false, 3 * time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			speed := control.speedOf(test.engine, fleet.Replica{Model: "m", FirstHost: fleet.Endpoint{Zone: test.zone}})
			assert.Equal(t, speed.Replica.Known(), test.known)
			assert.Equal(t, speed.Delay, test.delay)
			assert.Equal(t, speed.DelayKnown, test.stated)
		})
	}
}
