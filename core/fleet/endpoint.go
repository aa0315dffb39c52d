package fleet

import "time"

// Phase is an endpoint's place in a replica's life, as it says itself.
type Phase string

// The phases; the first three are a member's, the others its first host's.
const (
	PhaseNone    Phase = ""
	PhaseJoining Phase = "joining"
	PhaseReady   Phase = "ready"
	PhaseOpen    Phase = "open"
	PhaseClosing Phase = "closing"
	PhaseBroken  Phase = "broken"
)

// Membership is the replica that an endpoint says it belongs to.
type Membership struct {
	Replica string
	Epoch   int64
	Rank    int
	Phase   Phase
}

// Endpoint is a runner as it is known from the platform's list and its reports.
type Endpoint struct {
	ID         string
	Service    string
	Address    string
	Zone       string
	Domain     string
	Slots      int
	Draining   bool
	Beat       int64     // count of its rows in one life
	Orders     int64     // count of the orders it accepted in one life
	Counted    bool      // Orders is known
	Born       time.Time // start of its present life
	Staged     []string  // models on its host
	Membership Membership
	FreeSince  time.Time // when it was first seen to belong to nothing; zero if it was not
}

// Holds tells whether the endpoint's host has a model's weights.
func (endpoint Endpoint) Holds(model string) bool {
	for _, staged := range endpoint.Staged {
		if staged == model {
			return true
		}
	}
	return false
}

// Newer tells whether a row is not older than the one known before: rows count
// up in one life, and the next life is born later.
func (endpoint Endpoint) Newer(known Endpoint) bool {
	if !endpoint.Born.Equal(known.Born) {
		return endpoint.Born.After(known.Born)
	}
	return endpoint.Beat >= known.Beat
}
