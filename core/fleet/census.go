package fleet

// Census is how the endpoints of a service are used.
type Census struct {
	Endpoints int
	Serving   map[string]int // replicas of each model
	UnderWay  map[string]int // replicas that form or end
	Prepared  map[string]int // free endpoints by the model on their hosts
	Staging   int
	Waiting   int                // endpoints that may have been told to leave by the holder before
	Uncounted int                // endpoints whose count of orders is not known
	Held      int                // replicas whose members wait until a silent first host must have broken
	Wanted    map[string]float64 // replicas of each model that the work asked and the endpoints at hand call for
}

// Census counts what the last plan left.
func (planner *Planner) Census(input Input) Census {
	census := Census{Endpoints: len(input.Endpoints), Serving: map[string]int{}, UnderWay: map[string]int{}, Prepared: map[string]int{}, Wanted: map[string]float64{}}
	for _, need := range (&turn{Input: input, planner: planner}).needs() {
		census.Wanted[need.model.Name] = need.wanted
	}
	taken := map[string]bool{}
	for _, replica := range planner.replicas {
		counted := census.UnderWay
		if replica.stage == stageServing {
			counted = census.Serving
		}
		counted[replica.model.Name]++
		if !replica.brokenAt.IsZero() {
			census.Held++
		}
		for _, id := range replica.members {
			taken[id] = true
		}
	}
	for _, endpoint := range input.Endpoints {
		track := planner.track(endpoint.ID)
		if planner.unsure(input, endpoint) {
			census.Waiting++
		}
		if !endpoint.Counted {
			census.Uncounted++
		}
		switch {
		case taken[endpoint.ID] || endpoint.Draining || input.Dead[endpoint.ID]:
		case track.staging != "":
			census.Staging++
		case len(endpoint.Staged) > 0:
			census.Prepared[endpoint.Staged[0]]++
		default:
			census.Prepared["none"]++
		}
	}
	return census
}
