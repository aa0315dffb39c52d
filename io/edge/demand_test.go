package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/site"
)

// TestPeakNeedsTheSpeed checks that no peak is given for an engine whose speed is not
// configured: its requests count no host time, so all models would seem to need no hosts.
func TestPeakNeedsTheSpeed(t *testing.T) {
	demand := newDemand()
	now := time.Unix(1000, 0)
	demand.recent.Add(now, map[string]float64{"m": 3})
	demand.recent.Add(now.Add(2*time.Second), map[string]float64{"m": 6})
	known := &site.Engine{Slots: 17, StepTime: 8 * time.Millisecond, PrefillTokensPerSec: 45900}
	assert.Equal(t, demand.peakFor(known, now.Add(3*time.Second)).Hosts["m"], 3.0)
	assert.Assert(t, demand.peakFor(&site.Engine{Slots: 17}, now).Hosts == nil)
	assert.Assert(t, demand.peakFor(nil, now).Hosts == nil)
}

// TestObjectivesAreTheStrictest checks that routes to other services do not set the objective
// of a service's models, and that the strictest of its own routes does.
func TestObjectivesAreTheStrictest(t *testing.T) {
	service := &site.Service{Name: "llm", Engine: &site.Engine{Models: []site.Model{{Name: "m0"}, {Name: "m1"}}}}
	route := func(objective time.Duration, name string) site.Route {
		return site.Route{LatencyObjective: objective, Targets: []site.Target{{Service: name, Weight: 1}}}
	}
	config := site.Config{Routes: []site.Route{route(500*time.Millisecond, "llm"), route(300*time.Millisecond, "llm"), route(50*time.Millisecond, "plain"), route(0, "llm")}}
	assert.DeepEqual(t, objectivesOf(config, service), map[string]time.Duration{"m0": 300 * time.Millisecond, "m1": 300 * time.Millisecond})
	assert.Equal(t, len(objectivesOf(config, &site.Service{Name: "plain"})), 0)
}
