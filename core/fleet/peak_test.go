package fleet_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/fleet"
	"hickorybend/core/site"
)

// TestPeakHoldsOverAPeriod checks that the peak of a periodic load does not fall while the
// load does: replicas that follow the load are late for its next rise.
func TestPeakHoldsOverAPeriod(t *testing.T) {
	demand := fleet.NewDemand()
	now := time.Unix(1000, 0)
	for second := range 60 {
		now = now.Add(time.Second)
		demand.Add(now, map[string]float64{"m": 20 * (1 + 0.55*math.Sin(2*math.Pi*float64(second)/13))})
		peak := demand.Peak(now)
		if second >= 15 {
			assert.Assert(t, peak.Hosts["m"] > 29 && peak.Hosts["m"] <= 31 && peak.Known == 1, "%d s: %v", second, peak)
		}
	}
	for range 25 {
		now = now.Add(time.Second)
		demand.Add(now, map[string]float64{"m": 5})
	}
	assert.Assert(t, math.Abs(demand.Peak(now).Hosts["m"]-5) < 1e-6, "%v", demand.Peak(now))
}

// TestPeakIsUnknownBeforeRequests checks that no peak is known before the first request,
// and only part of it a few seconds later.
func TestPeakIsUnknownBeforeRequests(t *testing.T) {
	demand := fleet.NewDemand()
	now := time.Unix(1000, 0)
	demand.Add(now, nil)
	assert.Equal(t, demand.Peak(now.Add(time.Minute)).Known, 0.0)
	demand.Add(now.Add(time.Second), map[string]float64{"m": 3})
	known := demand.Peak(now.Add(5 * time.Second)).Known
	assert.Assert(t, known > 0.2 && known < 0.5, "%g", known)
}

// TestModelWithoutRequestsKeepsReplicas guards against ending all replicas of a model for
// which no request has come for a while: the next one would find none for seconds. A model
// without a configured share or requests wants none.
func TestModelWithoutRequestsKeepsReplicas(t *testing.T) {
	models := modelsOf(4, 2, 2)
	models[0].InitialShare, models[1].InitialShare, models[2].InitialShare = 0.5, 0.5, 0
	input := fleet.Input{
		Now: time.Unix(1000, 0), Fence: 1, Engine: &site.Engine{Slots: 17, Models: models}, Endpoints: servingReplicas(15, 4),
		Peak: fleet.Peak{Hosts: map[string]float64{"m1": 200}, Known: 1},
	}
	wanted := fleet.NewPlanner(fleet.DefaultPolicy(), "llm").Stats(input).Wanted
	assert.Assert(t, wanted["m0"] >= 1, "%v", wanted)
	assert.Equal(t, wanted["m2"], 0.0)
	assert.Assert(t, wanted["m1"] > 100, "%v", wanted)
}
