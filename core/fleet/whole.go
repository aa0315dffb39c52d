package fleet

import (
	"slices"
	"strings"

	"hickorybend/core/site"
)

// Replica is a whole replica whose first host serves.
type Replica struct {
	Name  string
	Model string
	Head  Endpoint
}

// ServingReplicas lists the replicas that may take requests, by the members' own words:
// the first host is open, every member names the same replica and epoch, and
// none drains or is lost.
func ServingReplicas(engine *site.Engine, endpoints []Endpoint, lost func(id string) bool) []Replica {
	members := map[string][]Endpoint{}
	for _, endpoint := range endpoints {
		if name := endpoint.Membership.Replica; name != "" {
			members[name] = append(members[name], endpoint)
		}
	}
	var whole []Replica
	for name, listed := range members {
		model, found := engine.Model(modelOf(name))
		if !found || len(listed) != model.ReplicaSize || !serves(listed, lost) {
			continue
		}
		whole = append(whole, Replica{Name: name, Model: model.Name, Head: listed[0]})
	}
	slices.SortFunc(whole, func(a, b Replica) int { return strings.Compare(a.Name, b.Name) })
	return whole
}

// serves sorts the members by rank and tells whether they are all in place.
func serves(members []Endpoint, lost func(id string) bool) bool {
	slices.SortFunc(members, func(a, b Endpoint) int { return a.Membership.Rank - b.Membership.Rank })
	if !ranked(members) || members[0].Membership.Phase != PhaseOpen {
		return false
	}
	for _, member := range members {
		if member.Draining || lost(member.ID) {
			return false
		}
	}
	return true
}
