package fleet

// Stats counts how the endpoints of a service are used. An idle endpoint belongs
// to none of the planner's replicas, responds and is not draining.
type Stats struct {
	Endpoints           int
	Serving             map[string]int     // serving replicas of each model
	InTransition        map[string]int     // replicas of each model that form, open, retire or end
	Staged              map[string]int     // idle endpoints by the first model staged on their hosts, or "none"
	Staging             int                // idle endpoints whose hosts are loading weights
	Unconfirmed         int                // endpoints that the previous holder may have told to leave a replica whose first host still serves
	CommandCountUnknown int                // endpoints whose command count is not known, so that no command can be sent
	Stalled             int                // replicas whose members wait until an unresponsive first host must have broken
	Wanted              map[string]float64 // replicas of each model that the recent demand and the number of endpoints call for
}

// Stats returns the counts after the last pass; input is that of the pass.
func (planner *Planner) Stats(input Input) Stats {
	stats := Stats{Endpoints: len(input.Endpoints), Serving: map[string]int{}, InTransition: map[string]int{}, Staged: map[string]int{}, Wanted: map[string]float64{}}
	for _, need := range newPass(planner, input).needs() {
		stats.Wanted[need.model.Name] = need.wanted
	}
	taken := map[string]bool{}
	for _, replica := range planner.replicas {
		counted := stats.InTransition
		if replica.state == stateServing {
			counted = stats.Serving
		}
		counted[replica.model.Name]++
		if !replica.stalledUntil.IsZero() {
			stats.Stalled++
		}
		for _, id := range replica.members {
			taken[id] = true
		}
	}
	for _, endpoint := range input.Endpoints {
		record := planner.recordOf(endpoint.ID)
		if planner.unconfirmed(input, endpoint) {
			stats.Unconfirmed++
		}
		if !endpoint.CommandCountKnown {
			stats.CommandCountUnknown++
		}
		switch {
		case taken[endpoint.ID] || endpoint.Draining || input.Unresponsive[endpoint.ID]:
		case record.staging != "":
			stats.Staging++
		case len(endpoint.Staged) > 0:
			stats.Staged[endpoint.Staged[0]]++
		default:
			stats.Staged["none"]++
		}
	}
	return stats
}
