package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/fleet"
	"hickorybend/core/site"
)

// servingReplicas lists the endpoints of a domain in which replicas of model m0
// serve. Every host has the weights of model m1.
func servingReplicas(count, size int) []fleet.Endpoint {
	var listed []fleet.Endpoint
	for r := range count {
		for rank := range size {
			phase := fleet.PhaseReady
			if rank == 0 {
				phase = fleet.PhaseOpen
			}
			listed = append(listed, fleet.Endpoint{
				ID: fmt.Sprintf("e%d-%d", r, rank), Domain: "d0", StartedAt: time.Unix(1, 0), CommandCountKnown: true, Staged: []string{"m1"},
				Membership: fleet.Membership{Replica: fmt.Sprintf("m0.%d", r), Epoch: int64(r), Rank: rank, Phase: phase},
			})
		}
	}
	return listed
}

// TestReplicaOfAnySizeIsMadeOfDonors plans for a model without replicas that has
// nearly all of the demand, while replicas of another model have all hosts. A
// replica of one host, or of three out of replicas of two, was never formed.
func TestReplicaOfAnySizeIsMadeOfDonors(t *testing.T) {
	for _, test := range []struct{ size, donorSize, closes int }{{1, 4, 1}, {2, 4, 1}, {4, 2, 2}, {3, 2, 2}, {3, 3, 1}, {5, 3, 2}, {8, 2, 4}} {
		t.Run(fmt.Sprintf("%d from %d", test.size, test.donorSize), func(t *testing.T) {
			models := modelsOf(test.donorSize, test.size)
			models[0].InitialShare, models[1].InitialShare = 0.05, 0.95
			input := fleet.Input{
				Fence: 1, Engine: &site.Engine{Slots: 17, Models: models}, Endpoints: servingReplicas(24/test.donorSize, test.donorSize),
				InFlight: map[string]int{}, Unresponsive: map[string]bool{},
			}
			planner := fleet.NewPlanner(fleet.DefaultPolicy(), "llm")
			count := 0
			for i := range 2 {
				input.Now = time.Unix(1000, int64(i)*1e8)
				count += countClosed(planner.Plan(input))
			}
			assert.Equal(t, count, test.closes)
		})
	}
}
