package fleet

// Stats is how the endpoints of a service are used.
type Stats struct {
	Endpoints           int
	Serving             map[string]int // replicas of each model
	InTransition        map[string]int // replicas that form or end
	Prepared            map[string]int // free endpoints by the model on their hosts
	Staging             int
	Unconfirmed         int                // endpoints that may have been told to leave by the holder before
	CommandCountUnknown int                // endpoints whose count of orders is not known
	Stalled             int                // replicas whose members wait until a silent first host must have broken
	Wanted              map[string]float64 // replicas of each model that the work asked and the endpoints at hand call for
}

// Stats counts what the last plan left.
func (planner *Planner) Stats(input Input) Stats {
	stats := Stats{Endpoints: len(input.Endpoints), Serving: map[string]int{}, InTransition: map[string]int{}, Prepared: map[string]int{}, Wanted: map[string]float64{}}
	for _, need := range (&turn{Input: input, planner: planner}).needs() {
		stats.Wanted[need.model.Name] = need.wanted
	}
	taken := map[string]bool{}
	for _, replica := range planner.replicas {
		counted := stats.InTransition
		if replica.stage == stageServing {
			counted = stats.Serving
		}
		counted[replica.model.Name]++
		if !replica.brokenAt.IsZero() {
			stats.Stalled++
		}
		for _, id := range replica.members {
			taken[id] = true
		}
	}
	for _, endpoint := range input.Endpoints {
		track := planner.track(endpoint.ID)
		if planner.unsure(input, endpoint) {
			stats.Unconfirmed++
		}
		if !endpoint.CommandCountKnown {
			stats.CommandCountUnknown++
		}
		switch {
		case taken[endpoint.ID] || endpoint.Draining || input.Unresponsive[endpoint.ID]:
		case track.staging != "":
			stats.Staging++
		case len(endpoint.Staged) > 0:
			stats.Prepared[endpoint.Staged[0]]++
		default:
			stats.Prepared["none"]++
		}
	}
	return stats
}
