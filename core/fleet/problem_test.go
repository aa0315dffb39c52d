package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/fleet"
	"hickorybend/core/site"
)

// expectProblems checks which models and domains of a deployment have problems, and
// that each problem is listed once.
func expectProblems(t *testing.T, deployment deployment, want ...string) {
	t.Helper()
	planner := fleet.NewPlanner(fleet.DefaultPolicy(), "llm")
	input := fleet.Input{Now: time.Unix(1000, 0), Fence: 1, Engine: &site.Engine{Slots: 17, LoadsPerSec: 5, MaxConcurrentLoads: 7, Models: deployment.models}, Endpoints: deployment.endpoints(), NoRequestsYet: true}
	planner.Plan(input)
	assert.Equal(t, len(planner.Problems(input)), 0, "endpoints are still appearing")
	input.Now = input.Now.Add(5 * time.Second)
	planner.Plan(input)
	var got []string
	for _, problem := range planner.Problems(input) {
		got = append(got, problem.Model+problem.Domain+": "+problem.Reason)
	}
	assert.DeepEqual(t, got, want)
	assert.Equal(t, len(planner.Problems(input)), 0, "each problem is listed once")
}

// TestProblemsAreListedOnce plans for deployments that cannot be placed as they are
// configured.
func TestProblemsAreListedOnce(t *testing.T) {
	noShare := modelsOf(4, 2)
	noShare[1].InitialShare = 0
	for _, test := range []struct {
		name       string
		deployment deployment
		want       []string
	}{
		{"none", deployment{modelsOf(4, 2), equalDomains(6, 10)}, nil},
		{"model larger than every domain", deployment{modelsOf(12, 2), equalDomains(3, 10)}, []string{"m0: a replica of the model has more hosts than any domain"}},
		{"model without size", deployment{modelsOf(0, 2), equalDomains(3, 10)}, []string{"m0: the model has no replica size"}},
		{"model without share", deployment{noShare, equalDomains(3, 10)}, []string{"m1: the model has no initial share; it gets replicas once requests for it arrive"}},
		{"one model", deployment{modelsOf(4), equalDomains(3, 10)}, []string{"m0: the service has one model only, so its replicas are repaired from idle hosts alone"}},
		{"domain of one host", deployment{modelsOf(4, 2), []int{10, 1, 10}}, []string{"d001: the domain has too few hosts for a replica of any model"}},
	} {
		t.Run(test.name, func(t *testing.T) { expectProblems(t, test.deployment, test.want...) })
	}
}

// TestOtherModelsUseAllHosts plans for a model that cannot be placed, but has most of
// the share, beside models of 4 and 2 hosts. They must use all hosts, and no host may load the weights of the
// model that cannot be placed.
func TestOtherModelsUseAllHosts(t *testing.T) {
	for _, size := range []int{0, 12, 60} {
		deployment := deployment{models: modelsOf(size, 4, 2), domains: equalDomains(6, 10)}
		deployment.models[0].InitialShare, deployment.models[1].InitialShare, deployment.models[2].InitialShare = 0.96, 0.02, 0.02
		totals := deployment.plan().totals(3)
		assert.Equal(t, totals[0], 0)
		assert.Equal(t, 4*totals[1]+2*totals[2], 60)
		planner := fleet.NewPlanner(fleet.DefaultPolicy(), "llm")
		input := fleet.Input{Fence: 1, Engine: &site.Engine{Slots: 17, LoadsPerSec: 100, MaxConcurrentLoads: 100, Models: deployment.models}, Endpoints: deployment.endpoints()}
		loads := 0
		for i := range 20 {
			input.Now = time.Unix(1000, int64(i)*1e8)
			for _, command := range planner.Plan(input) {
				if stage, ok := command.Operation.(fleet.Stage); ok {
					assert.Assert(t, stage.Model != "m0", "size %d", size)
					loads++
				}
				planner.Resolve(input.Now, command, fleet.Accepted{})
			}
		}
		assert.Equal(t, loads, 60)
	}
}
