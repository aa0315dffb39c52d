package fleet_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/fleet"
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
