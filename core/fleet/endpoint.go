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
	ID                string
	Service           string
	Address           string
	Zone              string
	Domain            string
	Slots             int
	Draining          bool
	Sequence          int64     // count of its rows in one life
	CommandCount      int64     // count of the orders it accepted in one life
	CommandCountKnown bool      // Orders is known
	StartedAt         time.Time // start of its present life
	Staged            []string  // models on its host
	Membership        Membership
	FreeSince         time.Time // when it was first seen to belong to nothing; zero if it was not
}

// HasWeights tells whether the endpoint's host has a model's weights.
func (endpoint Endpoint) HasWeights(model string) bool {
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
	if !endpoint.StartedAt.Equal(known.StartedAt) {
		return endpoint.StartedAt.After(known.StartedAt)
	}
	return endpoint.Sequence >= known.Sequence
}
