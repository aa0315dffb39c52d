package gossip

import (
	"time"

	"hickorybend/core/evac"
	"hickorybend/core/rows"
)

// Evacuations are the evacuated zones as the sender knows them. Nodes of earlier builds
// send none, and ignore those of others.
type Evacuations struct {
	Version rows.Version `cbor:"1,keyasint"` // the store's, up to which the list is complete
	Zones   []Evacuation `cbor:"2,keyasint,omitempty"`
}

// Evacuation is an evacuated zone.
type Evacuation struct {
	Zone    string       `cbor:"1,keyasint"`
	Version rows.Version `cbor:"2,keyasint"` // of its row
	Age     int64        `cbor:"3,keyasint"` // nanoseconds since a node first learned of it
}

// EvacuationsOf returns a state with its ages as of now, or nil if nothing is known.
func EvacuationsOf(state evac.State, now time.Time) *Evacuations {
	if !state.Known() {
		return nil
	}
	evacuations := &Evacuations{Version: state.Version}
	for _, zone := range state.Zones {
		evacuations.Zones = append(evacuations.Zones, Evacuation{Zone: zone.Name, Version: zone.Version, Age: int64(max(0, now.Sub(zone.Since)))})
	}
	return evacuations
}

// State returns the state that was received now.
func (evacuations *Evacuations) State(now time.Time) evac.State {
	if evacuations == nil || evacuations.Version <= 0 {
		return evac.State{}
	}
	state := evac.State{Version: evacuations.Version}
	for _, evacuation := range evacuations.Zones {
		state.Zones = append(state.Zones, evac.Zone{Name: evacuation.Zone, Version: evacuation.Version, Since: now.Add(-time.Duration(evacuation.Age))})
	}
	return state
}

// RunningZone is an evacuated zone and what still runs there.
type RunningZone struct {
	Evacuation Evacuation `cbor:"1,keyasint"`
	Unknown    bool       `cbor:"2,keyasint,omitempty"` // no endpoint and no node is in such a zone
	Endpoints  []Running  `cbor:"3,keyasint,omitempty"` // those with requests in flight
}

// Running is an endpoint and the requests of all nodes in flight there.
type Running struct {
	Endpoint string `cbor:"1,keyasint"`
	Replica  string `cbor:"2,keyasint,omitempty"`
	InFlight int    `cbor:"3,keyasint"`
}

// EvacuationList is what a node answers an operator who asks for the evacuated zones.
type EvacuationList struct {
	Known bool          `cbor:"1,keyasint,omitempty"` // the operators' rows have been read
	Zones []RunningZone `cbor:"2,keyasint,omitempty"`
}

// evacuationsRequest asks for the evacuated zones.
type evacuationsRequest struct{}

// List returns the evacuated zones; nil has none.
func (evacuations *Evacuations) List() []Evacuation {
	if evacuations == nil {
		return nil
	}
	return evacuations.Zones
}
