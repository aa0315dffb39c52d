package fleet

import "time"

// Clearance states that an endpoint which had accepted CommandCount commands in the
// incarnation that began at StartedAt might join a replica: it belonged to none, and
// the first host of its previous one could no longer serve.
//
// A clearance does not expire, and does not depend on who has watched the endpoint
// since. A Join on the condition of its command count is accepted only if the
// endpoint has accepted no other command after it.
type Clearance struct {
	StartedAt    time.Time
	CommandCount int64
}

// matches reports whether the clearance is of an endpoint's present state.
func (clearance Clearance) matches(endpoint Endpoint) bool {
	return endpoint.CommandCountKnown && endpoint.CommandCount == clearance.CommandCount && endpoint.StartedAt.Equal(clearance.StartedAt)
}

// newerThan reports whether the clearance is of a later state than another one of
// the same endpoint.
func (clearance Clearance) newerThan(other Clearance) bool {
	if !clearance.StartedAt.Equal(other.StartedAt) {
		return clearance.StartedAt.After(other.StartedAt)
	}
	return clearance.CommandCount > other.CommandCount
}

// cleared reports whether an endpoint is cleared in its present state. One that has
// accepted no command in its incarnation always is.
func (planner *Planner) cleared(endpoint Endpoint) bool {
	if endpoint.CommandCountKnown && endpoint.CommandCount == 0 {
		return true
	}
	clearance, found := planner.clearances[endpoint.ID]
	return found && clearance.matches(endpoint)
}

// updateClearances adds the clearances of the latest holder report, and of the
// endpoints that are free and have reported so, and removes outdated ones.
func (pass *pass) updateClearances() {
	planner := pass.planner
	for id, clearance := range pass.HolderReport.Cleared {
		planner.clear(id, clearance)
	}
	for _, ids := range pass.free() {
		for _, id := range ids {
			endpoint := pass.known[id]
			if endpoint.CommandCountKnown && endpoint.CommandCount > 0 && !endpoint.FreeSince.IsZero() && endpoint.Membership.Replica == "" {
				planner.clear(id, Clearance{StartedAt: endpoint.StartedAt, CommandCount: endpoint.CommandCount})
			}
		}
	}
	for id, clearance := range planner.clearances {
		if endpoint, known := pass.known[id]; !known || clearance.outdated(endpoint) {
			delete(planner.clearances, id)
		}
	}
}

// outdated reports whether an endpoint has accepted commands or restarted after the
// state that the clearance is of.
func (clearance Clearance) outdated(endpoint Endpoint) bool {
	return endpoint.CommandCountKnown && Clearance{StartedAt: endpoint.StartedAt, CommandCount: endpoint.CommandCount}.newerThan(clearance)
}

// clear records a clearance of an endpoint unless a later one is known.
func (planner *Planner) clear(id string, clearance Clearance) {
	if known, found := planner.clearances[id]; !found || clearance.newerThan(known) {
		planner.clearances[id] = clearance
	}
}

// extendClearance clears an endpoint after an accepted command that changed no
// membership, if it was cleared before: the reply shows that the endpoint accepted
// nothing else in between.
func (planner *Planner) extendClearance(command Command) {
	clearance, found := planner.clearances[command.Endpoint]
	cleared := found && clearance.CommandCount == command.ExpectedCommandCount && clearance.StartedAt.Equal(command.StartedAt)
	if cleared || command.ExpectedCommandCount == 0 {
		planner.clear(command.Endpoint, Clearance{StartedAt: command.StartedAt, CommandCount: command.ExpectedCommandCount + 1})
	}
}

// Cleared returns the endpoints that may join a replica, for the next holder.
func (planner *Planner) Cleared() map[string]Clearance { return planner.clearances }
