package fleet

import (
	"cmp"
	"slices"

	"hickorybend/core/site"
)

// formPacking forms the replicas of the best packing of the free endpoints, beside
// the replicas that exist. Endpoints need not be prepared: before the first request
// weights load fast.
func (pass *pass) formPacking(domains map[string][]string) {
	models := pass.packableModels()
	if len(models) == 0 {
		return
	}
	order := pass.packingOrder(domains)
	existing := pass.existingGroups(models, order, domains)
	best := bestPacking(newPacking(models, pass.firstUtilization(), mergeGroups(existing)))
	missing := map[string][]int{} // replicas of each model to form, by domain
	for i, domain := range order {
		missing[domain] = best.take(existing[i]).unformed()
	}
	slices.Sort(order)
	for m, model := range models {
		for formed := true; formed; {
			formed = false
			for _, domain := range order {
				if missing[domain][m] > 0 {
					missing[domain][m]--
					pass.formIn(domain, domains, model)
					formed = true
				}
			}
		}
	}
}

// firstUtilization returns the demand for which the first replicas are formed, as a
// fraction of all hosts. Where replicas will follow the peak of the demand, it may take all
// hosts but the spares; at a lower demand, the packing leaves hosts idle that the peak needs.
func (pass *pass) firstUtilization() float64 {
	if pass.Peak.Hosts != nil {
		return 1 - pass.planner.policy.SpareFraction
	}
	return pass.planner.policy.HighUtilization
}

// packableModels lists the models that have a share, those with the largest replicas
// first. If none has a share, all shares count as equal.
func (pass *pass) packableModels() []site.Model {
	var models []site.Model
	for _, model := range pass.models {
		if model.ReplicaSize > 0 && model.InitialShare > 0 {
			models = append(models, model)
		}
	}
	if len(models) == 0 {
		for _, model := range pass.models {
			if model.ReplicaSize > 0 {
				model.InitialShare = 1 / float64(len(pass.models))
				models = append(models, model)
			}
		}
	}
	slices.SortStableFunc(models, func(a, b site.Model) int { return cmp.Compare(b.ReplicaSize, a.ReplicaSize) })
	return models
}

// packingOrder lists the domains with free endpoints or replicas: the first domain
// of each zone, then the second of each, so that equal plans are spread over the
// zones.
func (pass *pass) packingOrder(domains map[string][]string) []string {
	zones := map[string]string{}
	for _, endpoint := range pass.Endpoints {
		zones[endpoint.Domain] = endpoint.Zone
	}
	names := make([]string, 0, len(zones))
	for domain := range zones {
		names = append(names, domain)
	}
	slices.Sort(names)
	rank, seen := map[string]int{}, map[string]int{}
	for _, domain := range names {
		rank[domain] = seen[zones[domain]]
		seen[zones[domain]]++
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(rank[a], rank[b]) })
	return names
}

// existingGroups returns a group of one for each domain, with the replicas that
// exist there.
func (pass *pass) existingGroups(models []site.Model, order []string, domains map[string][]string) []domainGroup {
	groups := make([]domainGroup, len(order))
	index := map[string]int{}
	for i, domain := range order {
		index[domain] = i
		groups[i] = domainGroup{number: 1, hosts: len(domains[domain]), formed: make([]int, len(models))}
	}
	for _, replica := range pass.planner.replicas {
		i, found := index[pass.known[replica.firstHost()].Domain]
		m := slices.IndexFunc(models, func(model site.Model) bool { return model.Name == replica.model.Name })
		if found && m >= 0 && replica.state < stateRetiring {
			groups[i].formed[m]++
			groups[i].hosts += models[m].ReplicaSize
		}
	}
	for i := range groups {
		groups[i].counts = groups[i].formed
	}
	return groups
}

// mergeGroups counts equal groups together.
func mergeGroups(groups []domainGroup) []domainGroup {
	var merged []domainGroup
	for _, group := range groups {
		i := slices.IndexFunc(merged, func(other domainGroup) bool {
			return other.hosts == group.hosts && slices.Equal(other.formed, group.formed)
		})
		if i >= 0 {
			merged[i].number++
		} else {
			merged = append(merged, group)
		}
	}
	return merged
}

// formIn forms one replica of a model in a domain.
func (pass *pass) formIn(domain string, domains map[string][]string, model site.Model) {
	chosen, _ := pass.chooseMembers(model, domains[domain], readyCold)
	if chosen == nil {
		return
	}
	domains[domain] = slices.DeleteFunc(domains[domain], func(id string) bool { return slices.Contains(chosen, id) })
	pass.startForming(model, chosen)
}
