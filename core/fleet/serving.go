package fleet

import (
	"slices"
	"strings"

	"hickorybend/core/site"
)

// Replica is a complete replica whose first host serves.
type Replica struct {
	Name      string
	Model     string
	FirstHost Endpoint // the first host, which takes the requests
}

// ServingReplicas lists the replicas that may take requests according to their
// members' reports: the first host is open, every member reports the same replica
// and epoch, and none is draining or unresponsive.
func ServingReplicas(engine *site.Engine, endpoints []Endpoint, unresponsive func(id string) bool) []Replica {
	members := map[string][]Endpoint{}
	for _, endpoint := range endpoints {
		if name := endpoint.Membership.Replica; name != "" {
			members[name] = append(members[name], endpoint)
		}
	}
	var complete []Replica
	for name, listed := range members {
		model, found := engine.Model(modelOf(name))
		if !found || len(listed) != model.ReplicaSize || !serves(listed, unresponsive) {
			continue
		}
		complete = append(complete, Replica{Name: name, Model: model.Name, FirstHost: listed[0]})
	}
	slices.SortFunc(complete, func(a, b Replica) int { return strings.Compare(a.Name, b.Name) })
	return complete
}

// serves sorts the members by rank and reports whether they are complete and may
// take requests.
func serves(members []Endpoint, unresponsive func(id string) bool) bool {
	slices.SortFunc(members, func(a, b Endpoint) int { return a.Membership.Rank - b.Membership.Rank })
	if !ranksComplete(members) || members[0].Membership.Phase != PhaseOpen {
		return false
	}
	for _, member := range members {
		if member.Draining || unresponsive(member.ID) {
			return false
		}
	}
	return true
}
