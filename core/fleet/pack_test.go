package fleet_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hickorybend/core/fleet"
	"hickorybend/core/site"
)

// deployment is what a plan before the first request is made for.
type deployment struct {
	models  []site.Model
	domains []int // hosts of each
}

// modelsOf returns models of some sizes with equal shares, the first with a longer
// load time than the others.
func modelsOf(sizes ...int) []site.Model {
	var models []site.Model
	for i, size := range sizes {
		load := 12 * time.Second
		if i == 0 {
			load = 16 * time.Second
		}
		models = append(models, site.Model{Name: fmt.Sprintf("m%d", i), ReplicaSize: size, InitialShare: 1 / float64(len(sizes)), TimeFactor: 1, LoadTime: load, WarmTime: time.Second})
	}
	return models
}

// equalDomains returns a number of domains with the same number of hosts.
func equalDomains(domains, hosts int) []int {
	var listed []int
	for range domains {
		listed = append(listed, hosts)
	}
	return listed
}

// unequalDomains returns domains of 4 to 20 hosts.
func unequalDomains(domains int) []int {
	var listed []int
	for d := range domains {
		listed = append(listed, 4+d*7%17)
	}
	return listed
}

// drawModels draws 1 to 4 models of 1 to 8 hosts with any shares and paces.
func drawModels(t *rapid.T, most int) []site.Model {
	var models []site.Model
	total := 0.0
	for i := range rapid.IntRange(1, most).Draw(t, "models") {
		model := site.Model{
			Name: fmt.Sprintf("m%d", i), ReplicaSize: rapid.IntRange(1, 8).Draw(t, "size"), InitialShare: float64(rapid.IntRange(1, 20).Draw(t, "share")),
			TimeFactor: float64(rapid.IntRange(3, 20).Draw(t, "pace")) / 10, LoadTime: time.Duration(rapid.IntRange(5, 30).Draw(t, "load")) * time.Second, WarmTime: time.Second,
		}
		total += model.InitialShare
		models = append(models, model)
	}
	for i := range models {
		models[i].InitialShare /= total
	}
	return models
}

// hosts returns the number of hosts in all domains.
func (deployment deployment) hosts() int {
	total := 0
	for _, hosts := range deployment.domains {
		total += hosts
	}
	return total
}

// demand returns the hosts that a model needs while the load is as high as it may
// be before models want more replicas.
func (deployment deployment) demand(model site.Model) float64 {
	return fleet.DefaultPolicy().HighUtilization * float64(deployment.hosts()) * model.InitialShare
}

// endpoints lists an endpoint for each host, without weights or replicas.
func (deployment deployment) endpoints() []fleet.Endpoint {
	var listed []fleet.Endpoint
	for d, hosts := range deployment.domains {
		for i := range hosts {
			id := fmt.Sprintf("e%03d-%02d", d, i)
			listed = append(listed, fleet.Endpoint{ID: id, Domain: fmt.Sprintf("d%03d", d), StartedAt: time.Unix(1, 0), CommandCountKnown: true})
		}
	}
	return listed
}

// plan returns the packing that a planner forms before the first request.
func (deployment deployment) plan() packing {
	planner := fleet.NewPlanner(fleet.DefaultPolicy(), "llm")
	input := fleet.Input{Now: time.Unix(1000, 0), Fence: 1, Engine: &site.Engine{Slots: 17, LoadsPerSec: 5, MaxConcurrentLoads: 7, Models: deployment.models}, Endpoints: deployment.endpoints(), NoRequestsYet: true}
	planner.Plan(input)
	input.Now = input.Now.Add(2 * time.Second)
	packing := deployment.empty()
	for _, command := range planner.Plan(input) {
		if join, ok := command.Operation.(fleet.Join); ok && join.Members[0] == command.Endpoint {
			domain, model := 0, 0
			_, _ = fmt.Sscanf(command.Endpoint, "e%d-", &domain)
			_, _ = fmt.Sscanf(join.Model, "m%d", &model)
			packing[domain][model]++
		}
	}
	return packing
}

// packing counts the replicas of each model in each domain.
type packing [][]int

// empty returns the packing without replicas.
func (deployment deployment) empty() packing {
	packing := make(packing, len(deployment.domains))
	for d := range packing {
		packing[d] = make([]int, len(deployment.models))
	}
	return packing
}

// totals counts the replicas of each model.
func (packing packing) totals(models int) []int {
	totals := make([]int, models)
	for _, counts := range packing {
		for m, count := range counts {
			totals[m] += count
		}
	}
	return totals
}

// used returns the number of hosts in replicas of a domain.
func (deployment deployment) used(counts []int) int {
	used := 0
	for m, count := range counts {
		used += count * deployment.models[m].ReplicaSize
	}
	return used
}

// served returns the fraction of the demand that a number of replicas of each model
// serves.
func (deployment deployment) served(totals []int) float64 {
	served, demand := 0.0, 0.0
	for m, model := range deployment.models {
		served += min(float64(totals[m]*model.ReplicaSize), deployment.demand(model))
		demand += deployment.demand(model)
	}
	return served / demand
}

// servedWithout returns what is served with one replica of a model fewer.
func (deployment deployment) servedWithout(totals []int, model int) float64 {
	totals[model]--
	served := deployment.served(totals)
	totals[model]++
	return served
}

// afterHost returns what is served after the loss of a host, averaged over the
// hosts. An idle host of the domain replaces it, or a replica of another model there
// ends and gives one of its hosts, or its replica ends.
func (deployment deployment) afterHost(packing packing) float64 {
	totals, sum := packing.totals(len(deployment.models)), 0.0
	for d, counts := range packing {
		used := deployment.used(counts)
		sum += float64(deployment.domains[d]-used) * deployment.served(totals)
		for m, count := range counts {
			if count == 0 {
				continue
			}
			after := deployment.served(totals)
			if used == deployment.domains[d] {
				after = deployment.servedWithout(totals, m)
				for donor, donors := range counts {
					if donors > 0 && donor != m {
						after = max(after, deployment.servedWithout(totals, donor))
					}
				}
			}
			sum += float64(count*deployment.models[m].ReplicaSize) * after
		}
	}
	return sum / float64(deployment.hosts())
}

// afterDomain returns what is served after the loss of the domain with most replicas
// of a model, while the demand falls by the fraction of the hosts that are lost, and
// the fraction of the model's replicas that is left. Both are averaged over the models
// by share.
func (deployment deployment) afterDomain(packing packing) (served, left float64) {
	shares := 0.0
	for m, total := range packing.totals(len(deployment.models)) {
		model := deployment.models[m]
		most, hosts := 0, 0
		for d, counts := range packing {
			if counts[m] > most || counts[m] == most && deployment.domains[d] < hosts {
				most, hosts = counts[m], deployment.domains[d]
			}
		}
		demand := deployment.demand(model) * float64(deployment.hosts()-hosts) / float64(deployment.hosts())
		served += model.InitialShare * min(1, float64((total-most)*model.ReplicaSize)/demand)
		if total > 0 {
			left += model.InitialShare * float64(total-most) / float64(total)
		}
		shares += model.InitialShare
	}
	return served / shares, left / shares
}

// value rates a packing: by what it serves, then by what survives the loss of a host
// and of a domain, then by the hosts in use, how evenly replicas are spread over the
// domains, and the time to load their weights.
func (deployment deployment) value(packing packing) float64 {
	used, load, longest := 0, 0.0, 0.0
	for m, total := range packing.totals(len(deployment.models)) {
		model := deployment.models[m]
		used += total * model.ReplicaSize
		load += float64(total*model.ReplicaSize) * model.LoadTime.Seconds()
		longest = max(longest, model.LoadTime.Seconds())
	}
	hosts := float64(deployment.hosts())
	afterDomain, evenness := deployment.afterDomain(packing)
	return deployment.served(packing.totals(len(deployment.models))) + 0.01*deployment.afterHost(packing) + 0.01*afterDomain +
		0.001*float64(used)/hosts + 0.0001*evenness - 0.00001*load/(longest*hosts)
}

// bestValue returns the highest value of all packings.
func (deployment deployment) bestValue() float64 {
	best := 0.0
	packing := deployment.empty()
	unlimited := make([]int, len(deployment.models))
	for m := range unlimited {
		unlimited[m] = deployment.hosts()
	}
	var try func(domain int)
	try = func(domain int) {
		if domain == len(packing) {
			best = max(best, deployment.value(packing))
			return
		}
		for _, counts := range deployment.patternsWithin(deployment.domains[domain], unlimited) {
			packing[domain] = counts
			try(domain + 1)
		}
	}
	try(0)
	return best
}

// mostServed returns the highest fraction of the demand that a packing serves. It
// adds one domain after the other and keeps, for each number of replicas of the
// models of several hosts, the most hosts that are left for models of one host.
// Numbers that serve all of a model's demand count as equal.
func (deployment deployment) mostServed() float64 {
	caps := make([]int, len(deployment.models)) // of the models of several hosts
	states := 1
	for m, model := range deployment.models {
		if model.ReplicaSize > 1 {
			caps[m] = int(math.Ceil(deployment.demand(model) / float64(model.ReplicaSize)))
		}
		states *= caps[m] + 1
	}
	left := make([]int, states)
	for state := range left {
		left[state] = -1
	}
	left[0] = 0
	for _, hosts := range deployment.domains {
		left = deployment.addDomain(left, caps, deployment.patternsWithin(hosts, caps), hosts)
	}
	best := 0.0
	for state, hosts := range left {
		if hosts >= 0 {
			best = max(best, deployment.served(deployment.fillSingles(totalsOf(state, caps), hosts)))
		}
	}
	return best
}

// patternsWithin lists the numbers of replicas of each model, up to a limit, that fit
// into a domain.
func (deployment deployment) patternsWithin(hosts int, caps []int) [][]int {
	listed := [][]int{{}}
	for m := range deployment.models {
		var longer [][]int
		for _, counts := range listed {
			size := deployment.models[m].ReplicaSize
			for count := 0; count <= caps[m] && count*size <= hosts-deployment.used(counts); count++ {
				longer = append(longer, append(append([]int{}, counts...), count))
			}
		}
		listed = longer
	}
	return listed
}

// addDomain extends the states of mostServed by one domain.
func (deployment deployment) addDomain(left, caps []int, patterns [][]int, hosts int) []int {
	next := make([]int, len(left))
	for state := range next {
		next[state] = -1
	}
	for state, before := range left {
		if before < 0 {
			continue
		}
		totals := totalsOf(state, caps)
		for _, counts := range patterns {
			to, scale := 0, 1
			for m, count := range counts {
				to += scale * min(totals[m]+count, caps[m])
				scale *= caps[m] + 1
			}
			next[to] = max(next[to], before+hosts-deployment.used(counts))
		}
	}
	return next
}

// totalsOf decodes a state of mostServed.
func totalsOf(state int, caps []int) []int {
	totals := make([]int, len(caps))
	for m, most := range caps {
		totals[m] = state % (most + 1)
		state /= most + 1
	}
	return totals
}

// fillSingles gives hosts to the models of one host, each time to the one that
// serves most with it.
func (deployment deployment) fillSingles(totals []int, hosts int) []int {
	for range hosts {
		best, gain := -1, 0.0
		for m, model := range deployment.models {
			if missing := min(1, deployment.demand(model)-float64(totals[m])); model.ReplicaSize == 1 && missing > gain {
				best, gain = m, missing
			}
		}
		if best < 0 {
			break
		}
		totals[best]++
	}
	return totals
}

// twin packs by a fixed rule that a domain gets its share of the replicas of more
// than two hosts, at least one, and that replicas of one or two hosts take what is
// left. It is the baseline of the planner.
func (deployment deployment) twin() packing {
	packing := deployment.empty()
	for formed := true; formed; {
		formed = deployment.twinForms(packing, true)
	}
	for formed := true; formed; {
		formed = deployment.twinForms(packing, false)
	}
	return packing
}

// twinForms adds one replica to the twin's packing and reports whether it did.
func (deployment deployment) twinForms(packing packing, lackingOnly bool) bool {
	best, bestDomain, bestRank := -1, -1, 0.0
	totals := packing.totals(len(deployment.models))
	for m, model := range deployment.models {
		wanted := (1 - fleet.DefaultPolicy().SpareFraction) * float64(deployment.hosts()) * model.InitialShare / float64(model.ReplicaSize)
		rank := wanted / float64(totals[m]+1)
		if lackingOnly && rank < 1 {
			continue
		}
		if lackingOnly {
			rank = float64(model.ReplicaSize)
		}
		domain, free := -1, 0
		for d, counts := range packing {
			limited := model.ReplicaSize > 2 && counts[m] >= max(1, int(wanted)/len(packing))
			if left := deployment.domains[d] - deployment.used(counts); !limited && left >= model.ReplicaSize && left > free {
				domain, free = d, left
			}
		}
		if domain >= 0 && (best < 0 || rank > bestRank) {
			best, bestDomain, bestRank = m, domain, rank
		}
	}
	if best < 0 {
		return false
	}
	packing[bestDomain][best]++
	return true
}

// expectNearOptimum checks that a number is at least 0.97 of the highest possible
// one.
func expectNearOptimum(t assert.TestingT, got, optimum float64, deployment deployment, packing packing) {
	assert.Assert(t, got >= 0.97*optimum-1e-9, "%.3f of %.3f: sizes and shares %s, domains %v: %v", got, optimum, describe(deployment.models), deployment.domains, packing)
}

// describe lists the sizes and shares of models.
func describe(models []site.Model) string {
	text := ""
	for _, model := range models {
		text += fmt.Sprintf("%d (%.2f) ", model.ReplicaSize, model.InitialShare)
	}
	return text
}

// TestSizesLeaveNoHostsIdle plans for sizes that differ from 4 and 2. With 3 and 3
// in domains of 10, 24 of 60 hosts were in no replica.
func TestSizesLeaveNoHostsIdle(t *testing.T) {
	for _, sizes := range [][]int{{4, 2}, {3, 2}, {5, 2}, {3, 3}, {5, 3}, {8, 2}, {8, 4}, {8, 3, 1}, {4, 3}, {1}, {2}, {6}, {1, 1}, {2, 2}, {7, 1}} {
		for _, domains := range [][]int{equalDomains(6, 10), equalDomains(9, 18), {4, 10, 20, 8, 18}, equalDomains(6, 9)} {
			t.Run(fmt.Sprint(sizes, domains), func(t *testing.T) {
				deployment := deployment{models: modelsOf(sizes...), domains: domains}
				packing := deployment.plan()
				expectNearOptimum(t, deployment.served(packing.totals(len(sizes))), deployment.mostServed(), deployment, packing)
				assert.Assert(t, deployment.value(packing) >= 0.97*deployment.value(deployment.twin()), "%v, twin %v", packing, deployment.twin())
			})
		}
	}
}

// TestTwinIsNotUnderThePlan plans for the sizes that the fixed rule of the twin is
// good for; the plan must be the same.
func TestTwinIsNotUnderThePlan(t *testing.T) {
	for _, test := range []struct {
		sizes   []int
		domains []int
	}{{[]int{4, 2}, equalDomains(6, 10)}, {[]int{8, 2}, equalDomains(9, 18)}, {[]int{8, 4}, equalDomains(12, 18)}} {
		t.Run(fmt.Sprint(test.sizes), func(t *testing.T) {
			deployment := deployment{models: modelsOf(test.sizes...), domains: test.domains}
			assert.DeepEqual(t, deployment.plan(), deployment.twin())
		})
	}
}

// TestPlanServesAsMuchAsTheOptimum draws deployments and compares what the plan
// before the first request serves with the most that any packing serves.
func TestPlanServesAsMuchAsTheOptimum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deployment := deployment{models: drawModels(t, 4), domains: rapid.SliceOfN(rapid.IntRange(4, 20), 2, 8).Draw(t, "domains")}
		packing := deployment.plan()
		expectNearOptimum(t, deployment.served(packing.totals(len(deployment.models))), deployment.mostServed(), deployment, packing)
		assert.Assert(t, deployment.value(packing) >= 0.97*deployment.value(deployment.twin()), "%v, twin %v", packing, deployment.twin())
	})
}

// TestPlanHasTheValueOfTheOptimum draws small deployments and compares the value of
// the plan before the first request with that of every packing. Survival has little
// weight beside what is served, so the value must be closer than a ratio of 0.97.
func TestPlanHasTheValueOfTheOptimum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deployment := deployment{models: drawModels(t, 3), domains: rapid.SliceOfN(rapid.IntRange(4, 8), 2, 2).Draw(t, "domains")}
		packing := deployment.plan()
		optimum := deployment.bestValue()
		expectNearOptimum(t, deployment.value(packing), optimum, deployment, packing)
		assert.Assert(t, deployment.value(packing) >= optimum-0.002, "%.5f of %.5f: sizes and shares %s, domains %v: %v", deployment.value(packing), optimum, describe(deployment.models), deployment.domains, packing)
	})
}

// BenchmarkPackFor2400Hosts plans 240 domains before the first request.
func BenchmarkPackFor2400Hosts(b *testing.B) {
	for _, test := range []struct {
		name    string
		sizes   []int
		domains []int
	}{{"4 and 2", []int{4, 2}, equalDomains(240, 10)}, {"3 and 3", []int{3, 3}, equalDomains(240, 10)}, {"5 and 3", []int{5, 3}, equalDomains(240, 10)}, {"8, 3 and 1", []int{8, 3, 1}, equalDomains(133, 18)}, {"7, 4, 2 and 1 in unequal domains", []int{7, 4, 2, 1}, unequalDomains(200)}, {"4, 2, 1 and 1 in one domain", []int{4, 2, 1, 1}, []int{2400}}} {
		b.Run(test.name, func(b *testing.B) {
			deployment := deployment{models: modelsOf(test.sizes...), domains: test.domains}
			for range b.N {
				deployment.plan()
			}
		})
	}
}
