package fleet

import (
	"slices"
	"sort"
)

// readiness is how soon an endpoint could be a member of a replica of a model.
type readiness int

const (
	readyAtOnce  readiness = iota // its last replica was of the model
	readyWarm                     // the weights are on its host
	readyStaging                  // its host is loading the weights
	readyCold                     // its host has yet to load them
)

// readinessOf returns how soon an endpoint could join a replica of a model.
func (pass *pass) readinessOf(id string, model string) readiness {
	record := pass.planner.recordOf(id)
	endpoint := pass.known[id]
	switch {
	case record.lastModel == model:
		return readyAtOnce
	case endpoint.HasWeights(model):
		return readyWarm
	case record.staging == model:
		return readyStaging
	default:
		return readyCold
	}
}

// idle lists, by domain, the endpoints that are in none of the planner's replicas,
// respond and are not draining.
func (pass *pass) idle() map[string][]string {
	taken := map[string]bool{}
	for _, replica := range pass.planner.replicas {
		for _, id := range replica.members {
			taken[id] = true
		}
	}
	domains := map[string][]string{}
	for _, endpoint := range pass.Endpoints {
		if !taken[endpoint.ID] && !endpoint.Draining && !pass.Unresponsive[endpoint.ID] {
			domains[endpoint.Domain] = append(domains[endpoint.Domain], endpoint.ID)
		}
	}
	for _, ids := range domains {
		sort.Strings(ids)
	}
	return domains
}

// free lists, by domain, the idle endpoints that may join a replica now. Not free
// are those that report a replica that is neither adopted nor ended here, those
// with a command under way, and unconfirmed ones.
func (pass *pass) free() map[string][]string {
	domains := pass.idle()
	for domain, ids := range domains {
		domains[domain] = slices.DeleteFunc(ids, func(id string) bool {
			record := pass.planner.recordOf(id)
			reported := pass.known[id].Membership.Replica
			unknown := reported != "" && !pass.planner.ended[reported]
			return unknown || record.pending || pass.planner.unconfirmed(pass.Input, pass.known[id])
		})
	}
	return domains
}

// unconfirmed reports whether the previous holder may have told an endpoint to
// leave a replica whose unresponsive first host has not broken yet. That is ruled
// out once it is cleared, or has reported for a stall timeout that it belongs to no
// replica, with the same command count.
func (planner *Planner) unconfirmed(input Input, endpoint Endpoint) bool {
	if !input.Now.Before(planner.recordOf(endpoint.ID).unconfirmedUntil) || planner.cleared(endpoint) {
		return false
	}
	return endpoint.FreeSince.IsZero() || input.Now.Before(endpoint.FreeSince.Add(planner.policy.StallTimeout+planner.policy.StallMargin))
}
