package fleet

import "time"

// Phase is the state of an endpoint in its replica, as the endpoint reports it.
type Phase string

// The phases. Every member reports that it is joining and ready; only a first host
// reports the later ones. A first host that has closed is ready again.
const (
	PhaseNone    Phase = ""        // it belongs to no replica
	PhaseJoining Phase = "joining" // it prepares to serve and loads the weights if necessary
	PhaseReady   Phase = "ready"   // it is ready to serve in the replica
	PhaseOpen    Phase = "open"    // it serves requests
	PhaseClosing Phase = "closing" // it finishes the requests in flight and takes no more
	PhaseBroken  Phase = "broken"  // it lacked a member for the stall timeout and serves no more
)

// Membership is the replica that an endpoint reports to belong to.
type Membership struct {
	Replica string
	Epoch   int64
	Rank    int // index in the list of members; 0 is the first host
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
	Slots             int       // requests that it runs in one batch
	Draining          bool      // it is about to stop
	Sequence          int64     // number of its row, which counts up within an incarnation
	CommandCount      int64     // commands that it accepted in this incarnation
	CommandCountKnown bool      // whether CommandCount is known
	StartedAt         time.Time // start of its present incarnation; tells incarnations apart
	Staged            []string  // models whose weights are on its host
	Membership        Membership
	Cold              Cold      // what the row or report says, as of its arrival
	FreeSince         time.Time // when it first reported to belong to no replica with the present CommandCount; zero if it has not
}

// Cold is what an endpoint says of how long it is still cold. A cold endpoint takes fewer
// requests than others.
type Cold struct {
	Stated   bool
	Left     time.Duration // as of when it said so
	Unusable string        // the value, if it is no duration
}

// HasWeights reports whether a model's weights are on the endpoint's host.
func (endpoint Endpoint) HasWeights(model string) bool {
	for _, staged := range endpoint.Staged {
		if staged == model {
			return true
		}
	}
	return false
}

// NotOlder reports whether a row is at least as new as the known one. The sequence
// counts up within an incarnation, and a later incarnation starts later.
func (endpoint Endpoint) NotOlder(known Endpoint) bool {
	if !endpoint.StartedAt.Equal(known.StartedAt) {
		return endpoint.StartedAt.After(known.StartedAt)
	}
	return endpoint.Sequence >= known.Sequence
}
