package worth_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hickorybend/core/batch"
	"hickorybend/core/site"
	"hickorybend/core/worth"
)

// net returns the value of chosen options, less their costs.
func net(models []worth.Model, domains [][]worth.Option, chosen []int) float64 {
	totals, cost := make([]int, len(models)), 0.0
	for d, options := range domains {
		cost += options[chosen[d]].Cost
		for m, count := range options[chosen[d]].Counts {
			totals[m] += count
		}
	}
	return worth.Value(models, totals) - cost
}

// exhaustive returns the highest value of all choices from a domain on.
func exhaustive(models []worth.Model, domains [][]worth.Option, chosen []int) float64 {
	if len(chosen) == len(domains) {
		return net(models, domains, chosen)
	}
	best := -1e9
	for o := range domains[len(chosen)] {
		best = max(best, exhaustive(models, domains, append(chosen[:len(chosen):len(chosen)], o)))
	}
	return best
}

// drawOptions draws all plans of a domain of 3 to 10 hosts, with any costs.
func drawOptions(t *rapid.T, models []worth.Model) []worth.Option {
	hosts := rapid.IntRange(3, 10).Draw(t, "hosts")
	options := []worth.Option{{Counts: make([]int, len(models))}}
	for m, model := range models {
		for _, option := range options {
			used := 0
			for other, count := range option.Counts {
				used += count * models[other].Size
			}
			for count := 1; used+count*model.Size <= hosts; count++ {
				counts := append([]int{}, option.Counts...)
				counts[m] = count
				options = append(options, worth.Option{Counts: counts, Cost: float64(rapid.IntRange(0, 40).Draw(t, "cost")) / 10})
			}
		}
	}
	return options
}

// TestBestIsExhaustive compares Best with the search of all choices on small cases of two
// and three models.
func TestBestIsExhaustive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var models []worth.Model
		for range rapid.IntRange(2, 3).Draw(t, "models") {
			models = append(models, worth.Model{Size: rapid.IntRange(2, 5).Draw(t, "size"), Need: float64(rapid.IntRange(0, 30).Draw(t, "need"))})
		}
		var domains [][]worth.Option
		for range rapid.IntRange(1, 3).Draw(t, "domains") {
			domains = append(domains, drawOptions(t, models))
		}
		found := net(models, domains, worth.Best(models, domains))
		most := exhaustive(models, domains, nil)
		assert.Assert(t, found >= most-1e-9, "Best finds %g of %g", found, most)
	})
}

// TestShortageIsShared guards against plans that serve only the model whose replicas are
// smaller: of 24 hosts for two needs of 24, either model gets 12.
func TestShortageIsShared(t *testing.T) {
	models := []worth.Model{{Size: 4, Need: 24}, {Size: 3, Need: 24}}
	var options []worth.Option
	for large := range 7 {
		options = append(options, worth.Option{Counts: []int{large, (24 - 4*large) / 3}})
	}
	assert.DeepEqual(t, options[worth.Best(models, [][]worth.Option{options})[0]].Counts, []int{3, 4})
}

// TestReplicasBeyondTheNeedAreWorthLittle checks that each replica is worth less than the
// one before, and that even the last one within the need is worth more than any beyond.
func TestReplicasBeyondTheNeedAreWorthLittle(t *testing.T) {
	model := worth.Model{Size: 4, Need: 32}
	before := 1e9
	for replicas := range 16 {
		gain := model.Value(replicas+1) - model.Value(replicas)
		assert.Assert(t, gain > 0 && gain < before, "replica %d adds %g, the one before %g", replicas+1, gain, before)
		if replicas == 8 {
			assert.Assert(t, gain < float64(model.Size)/2, "%g", gain)
		}
		before = gain
	}
	assert.Equal(t, worth.Model{Size: 4}.Value(3), 0.0)
}

// TestStricterObjectivesNeedMoreHosts checks that an objective that leaves less time lowers
// the utilization up to which replicas are in time, and that unknown ones give the default.
func TestStricterObjectivesNeedMoreHosts(t *testing.T) {
	engine := &site.Engine{Slots: 26, StepTime: 5950 * time.Microsecond, StepPerSlot: 44500 * time.Nanosecond, PrefillTokensPerSec: 50700, PassSteps: 7, PassTokens: 2048}
	replica := batch.Replica{Engine: engine, Model: site.Model{ReplicaSize: 4, TimeFactor: 1}}
	work := batch.Work{PromptTokens: 1460, AnswerTokens: 175}
	strict := worth.Utilization(replica, work, 250*time.Millisecond, 0.75)
	loose := worth.Utilization(replica, work, 400*time.Millisecond, 0.75)
	assert.Assert(t, strict < loose && strict >= 0.25 && loose <= 1, "%g and %g", strict, loose)
	assert.Equal(t, worth.Utilization(batch.Replica{Engine: &site.Engine{}}, work, time.Second, 0.75), 0.75)
	assert.Equal(t, worth.Utilization(replica, work, 0, 0.75), 0.75)
}
