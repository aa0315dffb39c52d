package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/fleet"
	"hickorybend/core/site"
)

// emptyEndpoints lists endpoints without weights, each in a domain of its own.
func emptyEndpoints(ids ...string) []fleet.Endpoint {
	var listed []fleet.Endpoint
	for _, id := range ids {
		listed = append(listed, fleet.Endpoint{ID: id, Domain: "d-" + id, StartedAt: time.Unix(1, 0), CommandCountKnown: true})
	}
	return listed
}

// countStages counts the weight loads that a plan starts.
func countStages(commands []fleet.Command) int {
	count := 0
	for _, command := range commands {
		if _, ok := command.Operation.(fleet.Stage); ok {
			count++
		}
	}
	return count
}

// planAndAccept runs one pass for endpoints without weights, accepts all commands
// and returns the number of weight loads that they start.
func planAndAccept(planner *fleet.Planner, now time.Time, ids []string) int {
	commands := planner.Plan(fleet.Input{Now: now, Fence: 1, Engine: engine, Endpoints: emptyEndpoints(ids...)})
	for _, command := range commands {
		planner.Resolve(now, command, fleet.Accepted{})
	}
	return countStages(commands)
}

// TestLoadsOfLostEndpointsDoNotCount removes as many endpoints as may load at once
// in the middle of their loads. Loads of endpoints that are gone must not use up
// the limit: the loads of the endpoints that replace them must start immediately.
func TestLoadsOfLostEndpointsDoNotCount(t *testing.T) {
	planner := fleet.NewPlanner(fleet.DefaultPolicy(), "llm")
	now := time.Unix(1000, 0)
	var lost []string
	for i := range engine.MaxConcurrentLoads {
		lost = append(lost, fmt.Sprintf("lost-%d", i))
	}
	started := 0
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		started += planAndAccept(planner, now, lost)
	}
	assert.Equal(t, started, engine.MaxConcurrentLoads)
	now = now.Add(2 * time.Second)
	commands := planner.Plan(fleet.Input{Now: now, Fence: 1, Engine: engine, Endpoints: emptyEndpoints("new-1", "new-2")})
	assert.Equal(t, countStages(commands), 2)
}

// TestLoadsArePaced plans for many endpoints without weights. Loads must start
// below the weight store's rate, and no more may run at once than the store serves
// well.
func TestLoadsArePaced(t *testing.T) {
	planner := fleet.NewPlanner(fleet.DefaultPolicy(), "llm")
	now := time.Unix(1000, 0)
	var ids []string
	for i := range 40 {
		ids = append(ids, fmt.Sprintf("e-%d", i))
	}
	started := 0
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		started += planAndAccept(planner, now, ids)
		seconds := now.Sub(time.Unix(1000, 0)).Seconds()
		assert.Assert(t, float64(started) <= engine.LoadsPerSec*(seconds+1))
	}
	assert.Equal(t, started, engine.MaxConcurrentLoads)
}

// countClosed counts the replicas that a plan closes or ends.
func countClosed(commands []fleet.Command) int {
	count := 0
	for _, command := range commands {
		switch command.Operation.(type) {
		case fleet.Close, fleet.Leave:
			count++
		}
	}
	return count
}

// servingEndpoints lists the endpoints of domains that each have two serving
// replicas of the small model, of two hosts each. Every host has the weights of the
// large model.
func servingEndpoints(domains int) []fleet.Endpoint {
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

// TestFirstRequestsCloseNothing checks that the first requests alone don't decide
// the shares of the models. When those of the first second all happened to be for
// one model, more than half of the other model's replicas were closed.
func TestFirstRequestsCloseNothing(t *testing.T) {
	for _, test := range []struct {
		name   string
		demand map[string]float64
		closes bool
	}{
		{"first requests", map[string]float64{"large": 4}, false},
		{"half a minute of requests", map[string]float64{"large": 4000}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			planner := fleet.NewPlanner(fleet.DefaultPolicy(), "llm")
			now := time.Unix(1000, 0)
			demand := fleet.NewDemand()
			demand.Add(now, test.demand)
			input := fleet.Input{Fence: 1, Engine: &site.Engine{Slots: 17, Models: []site.Model{
				{Name: "large", ReplicaSize: 4, InitialShare: 0, TimeFactor: 1}, {Name: "small", ReplicaSize: 2, InitialShare: 1, TimeFactor: 1},
			}}, Endpoints: servingEndpoints(20), Demand: demand.Recent(), InFlight: map[string]int{}, Unresponsive: map[string]bool{}}
			count := 0
			for range 5 {
				now = now.Add(100 * time.Millisecond)
				input.Now = now
				count += countClosed(planner.Plan(input))
			}
			assert.Equal(t, count > 0, test.closes)
			assert.Assert(t, count <= 4, "%d of 40 replicas are closed at once", count)
		})
	}
}

// TestDonorReplicaCompletesStrandedHosts has hosts of a broken replica of four wait
// while both models lack replicas. If three hosts wait, a replica of two must end,
// so that one of its hosts completes the four. If a single host waits, no replica
// may end, although that host is free and prepared.
func TestDonorReplicaCompletesStrandedHosts(t *testing.T) {
	for _, test := range []struct {
		stranded int
		closes   int
	}{{3, 1}, {1, 0}} {
		t.Run(fmt.Sprint(test.stranded), func(t *testing.T) {
			listed := servingEndpoints(1)
			inFlight := map[string]int{}
			for _, endpoint := range listed {
				inFlight[endpoint.ID] = 10 // the replicas are busy
			}
			for i := range 8 {
				free := fleet.Endpoint{ID: fmt.Sprintf("f-%d", i), Domain: "d-0", StartedAt: time.Unix(1, 0), CommandCountKnown: true, Staged: []string{"large"}, Draining: i >= test.stranded}
				listed = append(listed, free)
			}
			planner := fleet.NewPlanner(fleet.DefaultPolicy(), "llm")
			commands := planner.Plan(fleet.Input{Now: time.Unix(1000, 0), Fence: 1, Engine: engine, Endpoints: listed, InFlight: inFlight, Unresponsive: map[string]bool{}})
			commands = append(commands, planner.Plan(fleet.Input{Now: time.Unix(1000, 1e8), Fence: 1, Engine: engine, Endpoints: listed, InFlight: inFlight, Unresponsive: map[string]bool{}})...)
			assert.Equal(t, countClosed(commands), test.closes)
		})
	}
}

// TestLoadCompletesWaitingHosts has three hosts of a broken replica of four wait in
// a domain where no other host has the weights. The first load must go to a host
// that serves in that domain, so that it can complete the four, and not to the host
// without weights in another domain.
func TestLoadCompletesWaitingHosts(t *testing.T) {
	listed := servingEndpoints(1)
	for i := range listed {
		listed[i].Staged = []string{"small"}
	}
	for i := range 3 {
		listed = append(listed, fleet.Endpoint{ID: fmt.Sprintf("f-%d", i), Domain: "d-0", StartedAt: time.Unix(1, 0), CommandCountKnown: true, Staged: []string{"large"}})
	}
	listed = append(listed, emptyEndpoints("a-new")...)
	for _, draining := range emptyEndpoints("l-1", "l-2", "l-3", "l-4", "l-5", "l-6", "l-7", "l-8") {
		draining.Draining = true // counted for the wanted replicas, but not usable, so that replicas are lacking
		listed = append(listed, draining)
	}
	limited := *engine
	limited.MaxConcurrentLoads, limited.LoadsPerSec = 2, 1
	planner := fleet.NewPlanner(fleet.DefaultPolicy(), "llm")
	input := fleet.Input{Now: time.Unix(1000, 0), Fence: 1, Engine: &limited, Endpoints: listed, InFlight: map[string]int{}, Unresponsive: map[string]bool{}}
	var first fleet.Command
	for _, command := range planner.Plan(input) {
		if _, ok := command.Operation.(fleet.Stage); ok {
			first = command
			break
		}
	}
	assert.Equal(t, first.Operation, fleet.Operation(fleet.Stage{Model: "large"}))
	assert.Assert(t, first.Endpoint[0] == 'e', first.Endpoint) // one of servingEndpoints
}
