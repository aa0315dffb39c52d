package fleet

import "time"

// Phase is the step of a replica's life that an endpoint reports to be in.
type Phase string

// The phases. Members report the first three; the others are the first host's.
const (
	PhaseNone    Phase = ""
	PhaseJoining Phase = "joining"
	PhaseReady   Phase = "ready"
	PhaseOpen    Phase = "open"
	PhaseClosing Phase = "closing"
	PhaseBroken  Phase = "broken"
)

// Membership is the replica that an endpoint reports to belong to.
type Membership struct {
	Replica string
	Epoch   int64
	Rank    int // place in the list of members; 0 is the first host
	Phase   Phase
}

// Endpoint is one server process of a service, as the platform's endpoint table
// and its own reports describe it.
type Endpoint struct {
	ID                string
	Service           string
	Address           string
	Zone              string
	Domain            string    // fabric domain; the members of a replica share one
	Slots             int       // requests that it batches at once
	Draining          bool      // it is about to stop
	Sequence          int64     // number of its row, which counts up within an incarnation
	CommandCount      int64     // commands that it accepted in this incarnation
	CommandCountKnown bool      // whether CommandCount is known
	StartedAt         time.Time // start of its present incarnation, which it identifies
	Staged            []string  // models whose weights are on its host
	Membership        Membership
	FreeSince         time.Time // since when it is seen to belong to no replica; zero if it belongs to one or that is not known
}

// HasWeights tells whether a model's weights are on the endpoint's host.
func (endpoint Endpoint) HasWeights(model string) bool {
	for _, staged := range endpoint.Staged {
		if staged == model {
			return true
		}
	}
	return false
}

// Newer tells whether a row is at least as new as the known one. The sequence
// counts up within an incarnation, and a later incarnation starts later.
func (endpoint Endpoint) Newer(known Endpoint) bool {
	if !endpoint.StartedAt.Equal(known.StartedAt) {
		return endpoint.StartedAt.After(known.StartedAt)
	}
	return endpoint.Sequence >= known.Sequence
}
