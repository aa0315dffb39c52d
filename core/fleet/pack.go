package fleet

import (
	"cmp"
	"math"
	"slices"

	"hickorybend/core/site"
)

// packing is a plan of the replicas of all models in all domains, from which
// replicas are formed before the first request. Domains that are alike are counted
// together.
//
// Packings are compared by value: by the demand that they serve while utilization is
// high but models do not want more replicas yet, then by what survives the loss of
// any one host and of a domain, then by the hosts in use, then by how evenly replicas
// are spread over the domains, then by the time to load their weights.
type packing struct {
	models  []site.Model // that have a share, those with the largest replicas first
	demand  []float64    // hosts that each model needs
	hosts   int          // in all domains
	groups  []domainGroup
	longest float64 // longest load time in seconds, at least 1

	patterns map[int][][]int // fullPatterns by hosts, as far as needed yet
}

// domainGroup is a number of domains that have equally many hosts and replicas.
type domainGroup struct {
	number int
	hosts  int
	formed []int // replicas of each model that exist
	counts []int // replicas of each model as planned, the formed ones included
}

// unformed returns the planned replicas of each model that do not exist yet.
func (domaingroup domainGroup) unformed() []int {
	counts := slices.Clone(domaingroup.counts)
	for m, formed := range domaingroup.formed {
		counts[m] -= formed
	}
	return counts
}

// These weights order the parts of a packing's value. Served work has the weight 1.
const (
	survivalWeight = 0.01
	inUseWeight    = 0.001
	evennessWeight = 0.0001
	loadTimeWeight = 0.00001
	minimumGain    = 1e-9 // a smaller difference between values is a rounding error
)

// newPacking returns the packing of the replicas that exist.
func newPacking(models []site.Model, utilization float64, groups []domainGroup) *packing {
	packing := &packing{models: models, groups: groups, longest: 1, patterns: map[int][][]int{}}
	for _, group := range groups {
		packing.hosts += group.number * group.hosts
	}
	for _, model := range models {
		packing.demand = append(packing.demand, utilization*float64(packing.hosts)*model.InitialShare)
		packing.longest = max(packing.longest, model.LoadTime.Seconds())
	}
	return packing
}

// clone returns a copy that can be changed separately.
func (packing *packing) clone() *packing {
	copied := *packing
	copied.groups = slices.Clone(packing.groups)
	return &copied
}

// bestPacking returns the packing with the highest value that it finds. It improves
// on three packings: on an even spread over the domains, which it returns if no other
// is better, on replicas dealt out one by one, and on what exists.
func bestPacking(existing *packing) *packing {
	even, dealt, grown := existing.clone(), existing.clone(), existing.clone()
	even.spread()
	dealt.deal()
	best := even
	for _, start := range []*packing{even, dealt, grown} {
		start.improve()
		for start.improvePair() {
			start.improve()
		}
		if start.value() > best.value()+minimumGain {
			best = start
		}
	}
	return best
}

// totals counts the replicas of each model.
func (packing *packing) totals() []int {
	totals := make([]int, len(packing.models))
	for _, group := range packing.groups {
		for m, count := range group.counts {
			totals[m] += group.number * count
		}
	}
	return totals
}

// used returns the number of hosts in replicas of one domain.
func (packing *packing) used(counts []int) int {
	used := 0
	for m, count := range counts {
		used += count * packing.models[m].ReplicaSize
	}
	return used
}

// value rates the packing.
func (packing *packing) value() float64 {
	totals := packing.totals()
	inUse, load := 0, 0.0
	for m, total := range totals {
		hosts := total * packing.models[m].ReplicaSize
		inUse += hosts
		load += float64(hosts) * packing.models[m].LoadTime.Seconds() / packing.longest
	}
	hosts := float64(max(1, packing.hosts))
	return packing.served(totals) + survivalWeight*(packing.afterHostLoss(totals)+packing.afterDomainLoss(totals)) +
		inUseWeight*float64(inUse)/hosts + evennessWeight*packing.evenness(totals) - loadTimeWeight*load/hosts
}

// served returns the fraction of the demand that the replicas serve.
func (packing *packing) served(totals []int) float64 {
	served, demand := 0.0, 0.0
	for m, total := range totals {
		served += min(float64(total*packing.models[m].ReplicaSize), packing.demand[m])
		demand += packing.demand[m]
	}
	if demand == 0 {
		return 0
	}
	return served / demand
}

// servedWithout returns what is served with one replica of a model fewer.
func (packing *packing) servedWithout(totals []int, m int) float64 {
	totals[m]--
	served := packing.served(totals)
	totals[m]++
	return served
}

// afterHostLoss returns what is served after the loss of a host, averaged over the
// hosts. If the host was in a replica, an idle host of the domain replaces it, or
// the replica of another model there ends and gives one of its hosts, or the replica
// itself ends.
func (packing *packing) afterHostLoss(totals []int) float64 {
	served := packing.served(totals)
	without := make([]float64, len(totals))
	for m := range totals {
		without[m] = packing.servedWithout(totals, m)
	}
	sum := 0.0
	for _, group := range packing.groups {
		idle := group.hosts - packing.used(group.counts)
		sum += float64(group.number*idle) * served
		for m, count := range group.counts {
			after := served
			if idle == 0 {
				after = bestWithout(group.counts, without, m)
			}
			sum += float64(group.number*count*packing.models[m].ReplicaSize) * after
		}
	}
	return sum / float64(max(1, packing.hosts))
}

// bestWithout returns what is served once a domain has ended the replica that serves
// least: the one of a model that has lost a host, or one of another model.
func bestWithout(counts []int, without []float64, m int) float64 {
	best := without[m]
	for donor, count := range counts {
		if count > 0 {
			best = max(best, without[donor])
		}
	}
	return best
}

// afterDomainLoss returns what is served after the loss of the domain with most
// replicas of a model, averaged over the models by share. The demand counts as
// smaller by the fraction of the hosts that are lost.
func (packing *packing) afterDomainLoss(totals []int) float64 {
	sum, shares := 0.0, 0.0
	for m, total := range totals {
		lost, hosts := packing.worstLoss(m)
		left := float64((total - lost) * packing.models[m].ReplicaSize)
		demand := packing.demand[m] * float64(packing.hosts-hosts) / float64(max(1, packing.hosts))
		if demand > 0 {
			sum += packing.models[m].InitialShare * min(1, left/demand)
		}
		shares += packing.models[m].InitialShare
	}
	return sum / shares
}

// evenness returns the fraction of a model's replicas that is left after the loss of
// the domain with most of them, averaged over the models by share.
func (packing *packing) evenness(totals []int) float64 {
	sum, shares := 0.0, 0.0
	for m, total := range totals {
		lost, _ := packing.worstLoss(m)
		sum += packing.models[m].InitialShare * float64(total-lost) / float64(max(1, total))
		shares += packing.models[m].InitialShare
	}
	return sum / shares
}

// worstLoss returns the number of a model's replicas in the domain with most of them,
// and the hosts of that domain.
func (packing *packing) worstLoss(m int) (replicas, hosts int) {
	for _, group := range packing.groups {
		if group.number > 0 && (group.counts[m] > replicas || group.counts[m] == replicas && group.hosts < hosts) {
			replicas, hosts = group.counts[m], group.hosts
		}
	}
	return replicas, hosts
}

// spread adds the same number of replicas of a model to each domain, as far as there
// is room: first its share of the hosts, at least one replica, for the largest
// replicas first; then one more of each model in turn, the model with the fewest
// hosts for its demand first.
func (packing *packing) spread() {
	domains := 0
	for _, group := range packing.groups {
		domains += group.number
	}
	for m, model := range packing.models {
		each := max(1, int(model.InitialShare*float64(packing.hosts))/max(1, model.ReplicaSize*domains))
		packing.addEverywhere(m, each)
	}
	for added := true; added; {
		added = false
		for _, m := range packing.byCoverage() {
			added = added || packing.addEverywhere(m, math.MaxInt)
		}
	}
}

// addEverywhere adds replicas of a model to each domain that has fewer than a number
// of them: one if the number is unlimited, else up to the number. It reports whether
// it added any.
func (packing *packing) addEverywhere(m, limit int) bool {
	added := false
	for g := range packing.groups {
		group := &packing.groups[g]
		room := (group.hosts - packing.used(group.counts)) / packing.models[m].ReplicaSize
		if limit == math.MaxInt {
			room = min(room, 1)
		}
		more := min(room, limit-group.counts[m])
		if more <= 0 || group.number == 0 {
			continue
		}
		group.counts = slices.Clone(group.counts)
		group.counts[m] += more
		added = true
	}
	return added
}

// byCoverage lists the models by the ratio of their hosts to their demand, the
// lowest first.
func (packing *packing) byCoverage() []int {
	totals := packing.totals()
	order := make([]int, len(totals))
	for m := range order {
		order[m] = m
	}
	coverage := func(m int) float64 {
		return float64(totals[m]*packing.models[m].ReplicaSize) / max(packing.demand[m], minimumGain)
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(coverage(a), coverage(b)) })
	return order
}

// deal adds one replica after the other, of the model with the fewest hosts for its
// demand, in the domain with the most room.
func (packing *packing) deal() {
	for dealt := true; dealt; {
		dealt = false
		for _, m := range packing.byCoverage() {
			if packing.dealOne(m) {
				dealt = true
				break
			}
		}
	}
}

// dealOne adds a replica of a model in the domain with the most room and reports
// whether there was room.
func (packing *packing) dealOne(m int) bool {
	best, bestRoom := -1, 0
	for g, group := range packing.groups {
		room := group.hosts - packing.used(group.counts)
		if group.number > 0 && room >= packing.models[m].ReplicaSize && room > bestRoom {
			best, bestRoom = g, room
		}
	}
	if best < 0 {
		return false
	}
	counts := slices.Clone(packing.groups[best].counts)
	counts[m]++
	packing.replan(best, counts)
	return true
}

// improve replans one domain after the other until no other plan of a single domain
// raises the value. Domains that are alike are replanned alike as long as that raises
// the value.
func (packing *packing) improve() {
	for improved := true; improved; {
		improved = false
		packing.groups = slices.DeleteFunc(packing.groups, func(group domainGroup) bool { return group.number == 0 })
		for g := 0; g < len(packing.groups); g++ {
			for packing.improveGroup(g) {
				improved = true
			}
		}
	}
}

// improveGroup replans domains of a group by the alternative that raises the value
// most, and reports whether there is one.
func (packing *packing) improveGroup(g int) bool {
	var best []int
	value := packing.value() + minimumGain
	bestValue := value
	for _, counts := range packing.alternatives(g) {
		if changed := packing.valueWith(g, counts); changed > bestValue {
			best, bestValue = counts, changed
		}
	}
	if best == nil {
		return false
	}
	for packing.groups[g].number > 0 && packing.valueWith(g, best) > value {
		packing.replan(g, best)
		value = packing.value() + minimumGain
	}
	return true
}

// valueWith returns the value that the packing would have with another plan of one
// domain of a group.
func (packing *packing) valueWith(g int, counts []int) float64 {
	number := len(packing.groups)
	packing.groups[g].number--
	packing.groups = append(packing.groups, domainGroup{number: 1, hosts: packing.groups[g].hosts, formed: packing.groups[g].formed, counts: counts})
	value := packing.value()
	packing.groups = packing.groups[:number]
	packing.groups[g].number++
	return value
}

// maxPairs limits how many pairs of changes improvePair compares.
const maxPairs = 20000

// improvePair replans two domains at once if that raises the value, and reports
// whether it did.
func (packing *packing) improvePair() bool {
	value, tried := packing.value()+minimumGain, 0
	for g := range packing.groups {
		for _, counts := range packing.alternatives(g) {
			first := packing.clone()
			first.replan(g, counts)
			for h := range first.groups {
				for _, counts := range first.alternatives(h) {
					if first.valueWith(h, counts) > value {
						first.replan(h, counts)
						*packing = *first
						return true
					}
					tried++
					if tried == maxPairs/len(packing.groups) {
						return false
					}
				}
			}
		}
	}
	return false
}

// alternatives lists other plans of a domain of a group that keep the replicas that
// exist: all that leave no room for another replica, or, if those are too many, the
// ones that differ little from the present plan.
func (packing *packing) alternatives(g int) [][]int {
	group := packing.groups[g]
	if group.number == 0 {
		return nil
	}
	patterns, found := packing.patterns[group.hosts]
	if !found {
		patterns = packing.fullPatterns(group.hosts)
		packing.patterns[group.hosts] = patterns
	}
	if patterns == nil {
		patterns = packing.similarPatterns(group)
	}
	return slices.DeleteFunc(slices.Clone(patterns), func(counts []int) bool {
		return !covers(counts, group.formed) || slices.Equal(counts, group.counts)
	})
}

// similarPatterns lists the plans of a domain that come from ending a few replicas
// of one model and using the room for another model, then for any.
func (packing *packing) similarPatterns(group domainGroup) [][]int {
	var patterns [][]int
	for from := range packing.models {
		for to, model := range packing.models {
			few := (model.ReplicaSize + packing.models[from].ReplicaSize - 1) / packing.models[from].ReplicaSize
			for removed := 0; removed <= min(few, group.counts[from]); removed++ {
				counts := slices.Clone(group.counts)
				counts[from] -= removed
				packing.fill(counts, to, group.hosts)
				for m := range packing.models {
					packing.fill(counts, m, group.hosts)
				}
				patterns = append(patterns, counts)
			}
		}
	}
	return patterns
}

// fill adds as many replicas of a model as a domain has room for.
func (packing *packing) fill(counts []int, m, hosts int) {
	counts[m] += (hosts - packing.used(counts)) / packing.models[m].ReplicaSize
}

// covers reports whether each number is at least the other one.
func covers(counts, formed []int) bool {
	for m := range counts {
		if counts[m] < formed[m] {
			return false
		}
	}
	return true
}

// replan replaces the plan of one domain of a group.
func (packing *packing) replan(g int, counts []int) {
	from := packing.groups[g]
	packing.groups[g].number--
	for i := range packing.groups {
		group := &packing.groups[i]
		if group.hosts == from.hosts && slices.Equal(group.counts, counts) && slices.Equal(group.formed, from.formed) {
			group.number++
			return
		}
	}
	packing.groups = append(packing.groups, domainGroup{number: 1, hosts: from.hosts, formed: from.formed, counts: counts})
}

// take removes one domain from the packing and returns its plan.
func (packing *packing) take(domain domainGroup) domainGroup {
	for g := range packing.groups {
		group := &packing.groups[g]
		if group.number > 0 && group.hosts == domain.hosts && slices.Equal(group.formed, domain.formed) {
			group.number--
			return *group
		}
	}
	return domain
}

// maxPatterns limits how many plans of one domain are compared.
const maxPatterns = 500

// fullPatterns lists the numbers of replicas of each model that fit into a domain
// and leave no room for another one. It returns nil if they may be too many.
func (packing *packing) fullPatterns(hosts int) [][]int {
	smallest := packing.models[len(packing.models)-1].ReplicaSize
	most := 1
	for _, model := range packing.models[:len(packing.models)-1] {
		most *= hosts/model.ReplicaSize + 1
		if most > maxPatterns {
			return nil
		}
	}
	patterns := [][]int{{}}
	for m, model := range packing.models {
		var longer [][]int
		for _, counts := range patterns {
			room := hosts - packing.used(counts)
			for count := 0; count*model.ReplicaSize <= room; count++ {
				if m < len(packing.models)-1 || room-count*model.ReplicaSize < smallest {
					longer = append(longer, append(slices.Clone(counts), count))
				}
			}
		}
		patterns = longer
	}
	return patterns
}
