package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/fleet"
)

func fresh(ids ...string) []fleet.Endpoint {
	var listed []fleet.Endpoint
	for _, id := range ids {
		listed = append(listed, fleet.Endpoint{ID: id, Domain: "d-" + id, Born: time.Unix(1, 0), Counted: true})
	}
	return listed
}

func staged(commands []fleet.Command) int {
	count := 0
	for _, command := range commands {
		if _, ok := command.Order.(fleet.Stage); ok {
			count++
		}
	}
	return count
}

// TestLoadsOfLostEndpointsDoNotCount has as many endpoints as may load at once
// vanish in the middle of their loads: those that come after them get theirs.
func TestLoadsOfLostEndpointsDoNotCount(t *testing.T) {
	planner := fleet.NewPlanner(fleet.DefaultPolicy(), "llm")
	now := time.Unix(1000, 0)
	var lost []string
	for i := range engine.LoadsAtOnce {
		lost = append(lost, fmt.Sprintf("lost-%d", i))
	}
	begun := 0
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		commands := planner.Plan(fleet.Input{Now: now, Fence: 1, Engine: engine, Endpoints: fresh(lost...)})
		begun += staged(commands)
		for _, command := range commands {
			planner.Resolve(now, command, fleet.Begun{})
		}
	}
	assert.Equal(t, begun, engine.LoadsAtOnce)
	now = now.Add(2 * time.Second)
	commands := planner.Plan(fleet.Input{Now: now, Fence: 1, Engine: engine, Endpoints: fresh("new-1", "new-2")})
	assert.Equal(t, staged(commands), 2)
}

// TestLoadsArePaced has many empty endpoints at once: loads begin at less than
// the weight store's rate, and never more than it serves well at once.
func TestLoadsArePaced(t *testing.T) {
	planner := fleet.NewPlanner(fleet.DefaultPolicy(), "llm")
	now := time.Unix(1000, 0)
	var many []string
	for i := range 40 {
		many = append(many, fmt.Sprintf("e-%d", i))
	}
	begun := 0
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		commands := planner.Plan(fleet.Input{Now: now, Fence: 1, Engine: engine, Endpoints: fresh(many...)})
		begun += staged(commands)
		for _, command := range commands {
			planner.Resolve(now, command, fleet.Begun{})
		}
		seconds := now.Sub(time.Unix(1000, 0)).Seconds()
		assert.Assert(t, float64(begun) <= engine.LoadsPerSec*(seconds+1))
	}
	assert.Equal(t, begun, engine.LoadsAtOnce)
}
