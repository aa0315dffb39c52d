package fleet

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"

	"hickorybend/core/batch"
	"hickorybend/core/site"
	"hickorybend/core/worth"
)

// target is the number of replicas of each model that each domain should have, in the
// order of pass.models. It is computed anew when endpoints, replicas or staged weights
// change, or the demand does for longer than its period. It is never changed by the load
// within a period.
type target struct {
	counts map[string][]int // by domain
	state  uint64           // hash of the state that it was computed for
	needs  []float64        // needs that it was computed for
	at     time.Time        // when it was computed
}

// These constants are in hosts, as all values of package worth.
const (
	// moveHorizon is the time over which the gain of a move counts. Hosts are lost every
	// few seconds, so later gains are uncertain.
	moveHorizon = 30 * time.Second
	// closeCost is the cost of ending a replica that serves, per host, beyond the time
	// that its hosts do not serve.
	closeCost = 0.3
	// loadCost is the cost of a weight load. Only a few run at once, so one delays others.
	loadCost = 0.4
	// waitWeight is how many times the time until a replica serves counts, since under
	// shortage its hosts are worth up to twice as much elsewhere. waitLimit bounds it, so
	// that a needed replica that has to load weights is still worth it.
	waitWeight = 2.0
	waitLimit  = 1.2
	// spareWorth is the value of the first spare of a domain, per host of the largest
	// replica there; the second counts half. Without a spare, the loss of one host ends a
	// replica until weights are loaded.
	spareWorth = 0.1
	// needTolerance is the relative change of a need that calls for another target.
	needTolerance = 0.1
	// manyOptions is the number of plans of a domain from which on those that leave
	// room for more replicas, or that differ much from the present one, are not compared.
	manyOptions = 16
	// mostOptions bounds the number of plans of a domain that are compared.
	mostOptions = 60
	// quietShare is the part of its configured share that a model without requests keeps.
	quietShare = 0.2
	// targetInterval is the shortest time between two computations of the target.
	targetInterval = 300 * time.Millisecond
)

// hasTarget reports whether replicas follow a target. Its caller has to report the peak
// of the demand.
func (pass *pass) hasTarget() bool { return pass.Peak.Hosts != nil && !pass.NoRequestsYet }

// hostNeeds returns for each model the hosts that it needs at the peak of the demand.
// Until a period of the load has been seen, the configured shares of all hosts but the
// spares fill in for what is not known yet.
func (pass *pass) hostNeeds() []float64 {
	if pass.peakNeeds == nil {
		pass.peakNeeds = pass.computeHostNeeds()
	}
	return pass.peakNeeds
}

func (pass *pass) computeHostNeeds() []float64 {
	usable := float64(len(pass.Endpoints)) * (1 - pass.planner.policy.SpareFraction)
	shares := 0.0
	for _, model := range pass.models {
		shares += model.InitialShare
	}
	needs := make([]float64, len(pass.models))
	for m, model := range pass.models {
		prior := usable / float64(len(pass.models))
		if shares > 0 {
			prior = usable * model.InitialShare / shares
		}
		peak := pass.Peak.Hosts[model.Name] / pass.utilizationOf(model)
		needs[m] = pass.Peak.Known*peak + (1-pass.Peak.Known)*prior
		if model.InitialShare > 0 || peak > 0 {
			needs[m] = max(needs[m], quietShare*prior, float64(model.ReplicaSize))
		}
	}
	return needs
}

// utilizationOf returns the utilization up to which a model's replicas serve on time. It is
// at most HighUtilization, since requests never spread evenly over the replicas.
func (pass *pass) utilizationOf(model site.Model) float64 {
	work := batch.Work{PromptTokens: pass.Engine.UsualPromptTokens, AnswerTokens: pass.Engine.UsualAnswerTokens}
	high := pass.planner.policy.HighUtilization
	return min(high, worth.Utilization(batch.Replica{Engine: pass.Engine, Model: model}, work, pass.Objectives[model.Name], high))
}

// worths returns the models as package worth rates them.
func (pass *pass) worths(needs []float64) []worth.Model {
	models := make([]worth.Model, len(pass.models))
	for m, model := range pass.models {
		models[m] = worth.Model{Size: model.ReplicaSize, Need: needs[m]}
	}
	return models
}

// updateTarget computes the target anew if the state or the needs have changed.
func (pass *pass) updateTarget() {
	needs, state := pass.hostNeeds(), pass.stateHash()
	target := &pass.planner.target
	if target.counts != nil && target.state == state && !needsChanged(needs, target.needs) {
		return
	}
	if pass.Now.Sub(target.at) < targetInterval && len(needs) == len(target.needs) {
		return
	}
	if !needsChanged(needs, target.needs) {
		needs = target.needs
	}
	plans := pass.domainPlans()
	names := slices.Sorted(maps.Keys(plans))
	options := make([][]worth.Option, len(names))
	for i, domain := range names {
		options[i] = pass.options(plans[domain])
	}
	chosen := worth.Best(pass.worths(needs), options)
	counts := map[string][]int{}
	for i, domain := range names {
		counts[domain] = options[i][chosen[i]].Counts
	}
	target.counts, target.state, target.needs, target.at = counts, state, needs, pass.Now
}

// needsChanged reports whether the needs differ by more than what the target tolerates.
func needsChanged(needs, before []float64) bool {
	if len(needs) != len(before) {
		return true
	}
	for m := range needs {
		if math.Abs(needs[m]-before[m]) > needTolerance*max(needs[m], before[m]) {
			return true
		}
	}
	return false
}

// stateHash returns a hash of all that the target depends on besides the needs.
func (pass *pass) stateHash() uint64 {
	hash := fnv.New64a()
	for _, model := range pass.models {
		_, _ = hash.Write([]byte(model.Name))
		_, _ = hash.Write(binary.AppendUvarint(nil, uint64(model.ReplicaSize)))
	}
	for _, replica := range pass.planner.sortedReplicas() {
		_, _ = hash.Write([]byte(replica.name))
		_, _ = hash.Write([]byte{0, byte(replica.state)})
	}
	idle := pass.idle()
	for _, domain := range slices.Sorted(maps.Keys(idle)) {
		for _, id := range idle[domain] {
			_, _ = hash.Write([]byte(id))
			for _, model := range pass.models {
				_, _ = hash.Write(binary.AppendUvarint(nil, uint64(pass.readinessOf(id, model.Name))))
			}
		}
	}
	return hash.Sum64()
}

// domainPlan is what a domain has.
type domainPlan struct {
	counts   []int        // replicas of each model that form, open or serve
	replicas [][]*replica // of each model, those that serve, the ones to end first
	pool     []string     // endpoints that are in no such replica and respond
	hosts    int
}

// domainPlans returns what each domain has.
func (pass *pass) domainPlans() map[string]*domainPlan {
	plans := map[string]*domainPlan{}
	for domain := range pass.domains() {
		plans[domain] = &domainPlan{counts: make([]int, len(pass.models)), replicas: make([][]*replica, len(pass.models))}
	}
	taken := map[string]bool{}
	for _, replica := range pass.planner.sortedReplicas() {
		plan, found := plans[pass.known[replica.firstHost()].Domain]
		m := pass.indexOf(replica.model.Name)
		if !found || m < 0 || replica.state >= stateRetiring {
			continue
		}
		plan.counts[m]++
		plan.hosts += replica.model.ReplicaSize
		if replica.state == stateServing {
			plan.replicas[m] = append(plan.replicas[m], replica)
		}
		for _, id := range replica.members {
			taken[id] = true
		}
	}
	for _, endpoint := range pass.Endpoints {
		if plan := plans[endpoint.Domain]; !taken[endpoint.ID] && !endpoint.Draining && !pass.Unresponsive[endpoint.ID] {
			plan.pool = append(plan.pool, endpoint.ID)
			plan.hosts++
		}
	}
	for _, plan := range plans {
		slices.Sort(plan.pool)
		for m := range plan.replicas {
			slices.SortStableFunc(plan.replicas[m], func(a, b *replica) int {
				return cmp.Or(pass.versatility(b.members)-pass.versatility(a.members), pass.InFlight[a.firstHost()]-pass.InFlight[b.firstHost()])
			})
		}
	}
	return plans
}

// indexOf returns the index of a model in pass.models, or -1.
func (pass *pass) indexOf(name string) int {
	return slices.IndexFunc(pass.models, func(model site.Model) bool { return model.Name == name })
}

// versatility counts the models that the endpoints are prepared for, over all endpoints.
func (pass *pass) versatility(ids []string) int {
	count := 0
	for _, id := range ids {
		for _, model := range pass.models {
			if pass.readinessOf(id, model.Name) <= readyWarm {
				count++
			}
		}
	}
	return count
}

// options lists the plans of a domain with their costs.
func (pass *pass) options(plan *domainPlan) []worth.Option {
	listed := [][]int{{}}
	for _, model := range pass.models {
		var longer [][]int
		for _, counts := range listed {
			for count := 0; pass.hostsOf(counts)+count*model.ReplicaSize <= plan.hosts; count++ {
				longer = append(longer, append(slices.Clone(counts), count))
				if model.ReplicaSize <= 0 {
					break
				}
			}
		}
		listed = longer
	}
	if len(listed) > manyOptions {
		listed = slices.DeleteFunc(listed, func(counts []int) bool { return !pass.nearlyFull(plan, counts) })
	}
	for most := 8; len(listed) > mostOptions && most > 0; most-- {
		listed = slices.DeleteFunc(listed, func(counts []int) bool { return changes(plan.counts, counts) > most })
	}
	options := make([]worth.Option, len(listed))
	for i, counts := range listed {
		options[i] = worth.Option{Counts: counts, Cost: pass.moveCost(plan, counts) - pass.spareValue(plan, counts)}
	}
	return options
}

// hostsOf returns the hosts in a number of replicas of the first models.
func (pass *pass) hostsOf(counts []int) int {
	hosts := 0
	for m, count := range counts {
		hosts += count * pass.models[m].ReplicaSize
	}
	return hosts
}

// nearlyFull reports whether the plan of a domain leaves no room for another replica
// beside two spares, or is the present one with at most one more replica.
func (pass *pass) nearlyFull(plan *domainPlan, counts []int) bool {
	smallest := math.MaxInt
	for _, model := range pass.models {
		if model.ReplicaSize > 0 {
			smallest = min(smallest, model.ReplicaSize)
		}
	}
	return changes(plan.counts, counts) <= 1 || plan.hosts-pass.hostsOf(counts) < smallest+2
}

// changes returns how many replicas two plans of a domain differ in.
func changes(a, b []int) int {
	number := 0
	for m := range a {
		number += max(a[m]-b[m], b[m]-a[m])
	}
	return number
}

// spareValue returns the value of the hosts that a plan leaves idle.
func (pass *pass) spareValue(plan *domainPlan, counts []int) float64 {
	largest := 0
	for m, count := range counts {
		if count > 0 {
			largest = max(largest, pass.models[m].ReplicaSize)
		}
	}
	spares := min(2, plan.hosts-pass.hostsOf(counts))
	return spareWorth * float64(largest) * float64(spares*(5-spares)) / 4
}

// moveCost returns the cost of getting from what a domain has to a plan: the time that
// hosts do not serve while replicas end and form, and the weight loads.
func (pass *pass) moveCost(plan *domainPlan, counts []int) float64 {
	cost := 0.0
	available := slices.Clone(plan.pool)
	for m, model := range pass.models {
		closed := plan.counts[m] - counts[m]
		if closed <= 0 {
			continue
		}
		away := pass.planner.policy.ConvertTimeout.Seconds() / moveHorizon.Seconds()
		cost += float64(closed*model.ReplicaSize) * (closeCost + away)
		for _, replica := range plan.replicas[m][:min(closed, len(plan.replicas[m]))] {
			available = append(available, replica.members...)
		}
	}
	for m, model := range pass.models {
		if formed := counts[m] - plan.counts[m]; formed > 0 {
			cost += pass.formCost(model, formed, &available)
		}
	}
	return cost
}

// formCost returns the cost of forming replicas of a model out of the available
// endpoints, which it removes from them.
func (pass *pass) formCost(model site.Model, replicas int, available *[]string) float64 {
	pass.sortForModel(*available, model)
	number := min(replicas*model.ReplicaSize, len(*available))
	cost := 0.0
	for r := range replicas {
		wait := model.WarmTime
		for _, id := range (*available)[min(r*model.ReplicaSize, number):min((r+1)*model.ReplicaSize, number)] {
			switch pass.readinessOf(id, model.Name) {
			case readyCold:
				wait = model.WarmTime + model.LoadTime
				cost += loadCost
			case readyStaging:
				wait = max(wait, model.WarmTime+model.LoadTime/2)
			}
		}
		cost += float64(model.ReplicaSize) * min(waitLimit, waitWeight*wait.Seconds()/moveHorizon.Seconds())
	}
	*available = (*available)[number:]
	return cost
}

// sortForModel sorts endpoints by how soon they are ready for a model. Those that are ready
// for fewer other models come first among equals.
func (pass *pass) sortForModel(ids []string, model site.Model) {
	slices.SortStableFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(pass.readinessOf(a, model.Name), pass.readinessOf(b, model.Name)), cmp.Compare(pass.versatility([]string{a}), pass.versatility([]string{b})))
	})
}

// missing returns the replicas of each model that a domain lacks for the target.
func (pass *pass) missing(domain string, plan *domainPlan) []int {
	missing := make([]int, len(pass.models))
	if !pass.hasTarget() {
		return missing
	}
	for m, count := range pass.planner.target.counts[domain] {
		missing[m] = max(0, count-plan.counts[m])
	}
	return missing
}

// byGain lists the models by the value of one more replica per host, the highest first.
func (pass *pass) byGain(plans map[string]*domainPlan) []int {
	totals := make([]int, len(pass.models))
	order := make([]int, len(pass.models))
	for m := range order {
		order[m] = m
		for _, plan := range plans {
			totals[m] += plan.counts[m]
		}
	}
	models := pass.worths(pass.hostNeeds())
	gain := func(m int) float64 {
		return (models[m].Value(totals[m]+1) - models[m].Value(totals[m])) / float64(max(1, models[m].Size))
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(gain(b), gain(a)) })
	return order
}

// formTarget forms the replicas that the target has in addition, as far as their members
// are prepared.
func (pass *pass) formTarget() {
	pass.updateTarget()
	domains, plans := pass.free(), pass.domainPlans()
	for _, m := range pass.byGain(plans) {
		model := pass.models[m]
		for _, domain := range slices.Sorted(maps.Keys(domains)) {
			ids := domains[domain]
			for range pass.missing(domain, plans[domain])[m] {
				pass.sortForModel(ids, model)
				if len(ids) < model.ReplicaSize || pass.readinessOf(ids[model.ReplicaSize-1], model.Name) > readyWarm {
					break
				}
				members := slices.Clone(ids[:model.ReplicaSize])
				ids = ids[model.ReplicaSize:]
				pass.startForming(model, members)
			}
			domains[domain] = ids
		}
	}
}

// convertToTarget ends replicas that the target does not have, as soon as enough of their
// hosts are prepared to form a replica that it has instead.
func (pass *pass) convertToTarget() {
	plans, free := pass.domainPlans(), pass.free()
	order := pass.byGain(plans)
	for _, m := range order {
		for _, domain := range slices.Sorted(maps.Keys(plans)) {
			if missing := pass.missing(domain, plans[domain]); missing[m] > 0 && !pass.endsReplicas(domain) {
				pass.closeFor(pass.models[m], domain, plans[domain], free[domain])
			}
		}
	}
}

// endsReplicas reports whether a replica of a domain is ending. Its hosts may complete
// what the domain lacks.
func (pass *pass) endsReplicas(domain string) bool {
	for _, replica := range pass.planner.replicas {
		if replica.state >= stateRetiring && replica.stalledUntil.IsZero() && pass.known[replica.firstHost()].Domain == domain && !pass.Unresponsive[replica.firstHost()] {
			return true
		}
	}
	return false
}

// closeFor ends the fewest replicas of a domain that the target does not have and whose
// hosts complete a replica of a model. It ends none if they do not complete one.
func (pass *pass) closeFor(model site.Model, domain string, plan *domainPlan, free []string) {
	lacking := model.ReplicaSize - pass.countPrepared(free, model)
	if lacking <= 0 {
		return
	}
	var donors []*replica
	for _, replica := range pass.surplus(domain, plan) {
		if prepared := pass.countPrepared(replica.members, model); lacking > 0 && prepared > 0 && replica.model.Name != model.Name {
			donors = append(donors, replica)
			lacking -= prepared
		}
	}
	if lacking > 0 {
		return
	}
	for _, replica := range donors {
		replica.state = stateRetiring
		replica.closing = true
		replica.retireDeadline = pass.Now.Add(pass.planner.policy.ConvertTimeout)
	}
}

// surplus lists the serving replicas of a domain that the target does not have.
func (pass *pass) surplus(domain string, plan *domainPlan) []*replica {
	var listed []*replica
	for m, replicas := range plan.replicas {
		target := pass.planner.target.counts[domain]
		if target == nil {
			continue
		}
		listed = append(listed, replicas[:min(len(replicas), max(0, plan.counts[m]-target[m]))]...)
	}
	return listed
}
