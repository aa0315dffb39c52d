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
	case endpoint.HasWeights(model):
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
		if !taken[endpoint.ID] && !endpoint.Draining && !turn.Unresponsive[endpoint.ID] {
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
			return stray || track.pending || turn.planner.unsure(turn.Input, turn.known[id])
		})
	}
	return domains
}

// unsure tells whether the holder before may have told an endpoint to leave a
// silent first host that has not broken yet. A node that has watched the
// endpoint belong to nothing for long enough knows better, and so does one that
// the holder before told of all such endpoints after this one was free: what it
// did not name it had freed for good. For example, the word came at 20.0 s,
// half a second old at most; an endpoint that was free at 18.5 s and is not
// named may join at once, one that was seen free at 19.8 s may have been told
// to leave after the word was given.
func (planner *Planner) unsure(input Input, endpoint Endpoint) bool {
	sureAt := planner.track(endpoint.ID).sureAt
	if !input.Now.Before(sureAt) {
		return false
	}
	since, holderreport := endpoint.FreeSince, input.HolderReport
	if holderreport.Fence == input.Fence-1 && !holderreport.Quarantined[endpoint.ID] && !since.IsZero() && since.Before(holderreport.ReceivedAt.Add(-planner.policy.MaxReportAge)) {
		return false
	}
	if !since.IsZero() {
		watched := since.Add(planner.policy.StallTimeout + planner.policy.StallMargin)
		if watched.Before(sureAt) {
			sureAt = watched
		}
	}
	return input.Now.Before(sureAt)
}
