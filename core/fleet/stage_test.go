package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/fleet"
	"hickorybend/core/site"
)

func fresh(ids ...string) []fleet.Endpoint {
	var listed []fleet.Endpoint
	for _, id := range ids {
		listed = append(listed, fleet.Endpoint{ID: id, Domain: "d-" + id, StartedAt: time.Unix(1, 0), CommandCountKnown: true})
	}
	return listed
}

func staged(commands []fleet.Command) int {
	count := 0
	for _, command := range commands {
		if _, ok := command.Operation.(fleet.Stage); ok {
			count++
		}
	}
	return count
}

// stageNow plans once for endpoints that have nothing, begins what is ordered,
// and counts the loads.
func stageNow(planner *fleet.Planner, now time.Time, ids []string) int {
	commands := planner.Plan(fleet.Input{Now: now, Fence: 1, Engine: engine, Endpoints: fresh(ids...)})
	for _, command := range commands {
		planner.Resolve(now, command, fleet.Accepted{})
	}
	return staged(commands)
}

// TestLoadsOfLostEndpointsDoNotCount has as many endpoints as may load at once
// vanish in the middle of their loads: those that come after them get theirs.
func TestLoadsOfLostEndpointsDoNotCount(t *testing.T) {
	planner := fleet.NewPlanner(fleet.DefaultPolicy(), "llm")
	now := time.Unix(1000, 0)
	var lost []string
	for i := range engine.MaxConcurrentLoads {
		lost = append(lost, fmt.Sprintf("lost-%d", i))
	}
	begun := 0
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		begun += stageNow(planner, now, lost)
	}
	assert.Equal(t, begun, engine.MaxConcurrentLoads)
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
		begun += stageNow(planner, now, many)
		seconds := now.Sub(time.Unix(1000, 0)).Seconds()
		assert.Assert(t, float64(begun) <= engine.LoadsPerSec*(seconds+1))
	}
	assert.Equal(t, begun, engine.MaxConcurrentLoads)
}

// closed counts the replicas that a plan closes or ends.
func closed(commands []fleet.Command) int {
	count := 0
	for _, command := range commands {
		switch command.Operation.(type) {
		case fleet.Close, fleet.Leave:
			count++
		}
	}
	return count
}

// serving is domains of two replicas of two hosts each, every host with the
// weights of the other model.
func serving(domains int) []fleet.Endpoint {
	var listed []fleet.Endpoint
	for d := range domains {
		for i := range 4 {
			name := fmt.Sprintf("small.%d", 2*d+i/2)
			phase := fleet.PhaseReady
			if i%2 == 0 {
				phase = fleet.PhaseOpen
			}
			listed = append(listed, fleet.Endpoint{
				ID: fmt.Sprintf("e-%d-%d", d, i), Domain: fmt.Sprintf("d-%d", d), StartedAt: time.Unix(1, 0), CommandCountKnown: true, Staged: []string{"large"},
				Membership: fleet.Membership{Replica: name, Epoch: int64(d), Rank: i % 2, Phase: phase},
			})
		}
	}
	return listed
}

// TestFirstRequestsCloseNothing has the first second's work happen to be of one
// model alone. It closed more than half of the other one's replicas.
func TestFirstRequestsCloseNothing(t *testing.T) {
	for _, test := range []struct {
		name   string
		asked  map[string]float64
		closes bool
	}{
		{"the first requests", map[string]float64{"large": 4}, false},
		{"half a minute of them", map[string]float64{"large": 4000}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			planner := fleet.NewPlanner(fleet.DefaultPolicy(), "llm")
			now := time.Unix(1000, 0)
			demand := fleet.NewDemand()
			demand.Add(now, test.asked)
			input := fleet.Input{Fence: 1, Engine: &site.Engine{Slots: 17, Models: []site.Model{
				{Name: "large", ReplicaSize: 4, InitialShare: 0, TimeFactor: 1}, {Name: "small", ReplicaSize: 2, InitialShare: 1, TimeFactor: 1},
			}}, Endpoints: serving(20), Demand: demand.Recent(), InFlight: map[string]int{}, Unresponsive: map[string]bool{}}
			count := 0
			for range 5 {
				now = now.Add(100 * time.Millisecond)
				input.Now = now
				count += closed(planner.Plan(input))
			}
			assert.Equal(t, count > 0, test.closes)
			assert.Assert(t, count <= 4, "%d of 40 replicas are closed at once", count)
		})
	}
}

// TestStrandedHostsAreCompleted has three hosts of a broken replica of four wait
// while both models lack replicas: one of two hosts ends for them.
func TestStrandedHostsAreCompleted(t *testing.T) {
	for _, test := range []struct {
		stranded int
		closes   int
	}{{3, 1}, {1, 0}} {
		t.Run(fmt.Sprint(test.stranded), func(t *testing.T) {
			listed := serving(1)
			inFlight := map[string]int{}
			for _, endpoint := range listed {
				inFlight[endpoint.ID] = 10 // they are busy
			}
			for i := range 8 {
				free := fleet.Endpoint{ID: fmt.Sprintf("f-%d", i), Domain: "d-0", StartedAt: time.Unix(1, 0), CommandCountKnown: true, Staged: []string{"large"}, Draining: i >= test.stranded}
				listed = append(listed, free)
			}
			planner := fleet.NewPlanner(fleet.DefaultPolicy(), "llm")
			commands := planner.Plan(fleet.Input{Now: time.Unix(1000, 0), Fence: 1, Engine: engine, Endpoints: listed, InFlight: inFlight, Unresponsive: map[string]bool{}})
			commands = append(commands, planner.Plan(fleet.Input{Now: time.Unix(1000, 1e8), Fence: 1, Engine: engine, Endpoints: listed, InFlight: inFlight, Unresponsive: map[string]bool{}})...)
			assert.Equal(t, closed(commands), test.closes)
		})
	}
}

// TestWaitingHostsGetTheirLoad has three hosts of a broken replica of four wait
// in a domain where nobody else has the weights, and an empty host in another
// domain. Of the loads that begin, one completes the four.
func TestWaitingHostsGetTheirLoad(t *testing.T) {
	listed := serving(1)
	for i := range listed {
		listed[i].Staged = []string{"small"}
	}
	for i := range 3 {
		listed = append(listed, fleet.Endpoint{ID: fmt.Sprintf("f-%d", i), Domain: "d-0", StartedAt: time.Unix(1, 0), CommandCountKnown: true, Staged: []string{"large"}})
	}
	listed = append(listed, fresh("a-new")...)
	for _, leaving := range fresh("l-1", "l-2", "l-3", "l-4", "l-5", "l-6", "l-7", "l-8") {
		leaving.Draining = true // so that replicas are lacking
		listed = append(listed, leaving)
	}
	few := *engine
	few.MaxConcurrentLoads, few.LoadsPerSec = 2, 1
	planner := fleet.NewPlanner(fleet.DefaultPolicy(), "llm")
	input := fleet.Input{Now: time.Unix(1000, 0), Fence: 1, Engine: &few, Endpoints: listed, InFlight: map[string]int{}, Unresponsive: map[string]bool{}}
	var first fleet.Command
	for _, command := range planner.Plan(input) {
		if _, ok := command.Operation.(fleet.Stage); ok {
			first = command
			break
		}
	}
	assert.Equal(t, first.Operation, fleet.Operation(fleet.Stage{Model: "large"}))
	assert.Assert(t, first.Endpoint[0] == 'e', first.Endpoint)
}
