package fleet

import (
	"slices"
	"sort"
)

// readiness is how soon an endpoint could be a member of a replica of a model.
type readiness int

const (
	readyAtOnce readiness = iota // the model of its last replica
	readyWarm                    // the weights are on its host
	readyStaging
	readyCold
)

func (turn *turn) readinessOf(id string, model string) readiness {
	track := turn.planner.track(id)
	endpoint := turn.known[id]
	switch {
	case track.lastModel == model:
		return readyAtOnce
	case endpoint.Holds(model):
		return readyWarm
	case track.staging == model:
		return readyStaging
	default:
		return readyCold
	}
}

// idle lists the endpoints of each domain that the planner counts to no
// replica.
func (turn *turn) idle() map[string][]string {
	taken := map[string]bool{}
	for _, replica := range turn.planner.replicas {
		for _, id := range replica.members {
			taken[id] = true
		}
	}
	domains := map[string][]string{}
	for _, endpoint := range turn.Endpoints {
		if !taken[endpoint.ID] && !endpoint.Draining && !turn.Dead[endpoint.ID] {
			domains[endpoint.Domain] = append(domains[endpoint.Domain], endpoint.ID)
		}
	}
	for _, ids := range domains {
		sort.Strings(ids)
	}
	return domains
}

// free lists the idle endpoints that may join a replica now.
func (turn *turn) free() map[string][]string {
	domains := turn.idle()
	for domain, ids := range domains {
		domains[domain] = slices.DeleteFunc(ids, func(id string) bool {
			track := turn.planner.track(id)
			former := turn.known[id].Membership.Replica
			stray := former != "" && !turn.planner.ended[former]
			return stray || track.pending || turn.unsure(id)
		})
	}
	return domains
}

// unsure tells whether the holder before may have told an endpoint to leave a
// silent first host that has not broken yet. A node that has watched the
// endpoint belong to nothing for long enough knows better.
func (turn *turn) unsure(id string) bool {
	if !turn.planner.track(id).unsure {
		return false
	}
	sureAt := turn.planner.sureAt
	if since := turn.known[id].FreeSince; !since.IsZero() {
		watched := since.Add(turn.planner.policy.Stall + turn.planner.policy.StallMargin)
		if watched.Before(sureAt) {
			sureAt = watched
		}
	}
	return turn.Now.Before(sureAt)
}
