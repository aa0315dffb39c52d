package edge

import (
	"testing"

	"gotest.tools/v3/assert"

	"hickorybend/core/fleet"
)

// TestPlannersOutliveALapseOfTheLease has the lease lapse and come back: under
// the same fencing number the planner goes on, under another it begins anew.
func TestPlannersOutliveALapseOfTheLease(t *testing.T) {
	placement := newPlacement(Defaults())
	placement.hold(3)
	planner := fleet.NewPlanner(placement.policy, "llm")
	placement.planners["llm"] = planner
	placement.hold(3)
	assert.Assert(t, placement.planners["llm"] == planner)
	placement.hold(4)
	assert.Equal(t, len(placement.planners), 0)
}
