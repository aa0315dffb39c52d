package evac

import (
	"slices"
	"time"
)

// InForce is what a node acts on: the zones of its state and, for a while, those whose rows the store has
// lost. A store that comes back from an older copy does not show whether the operators have taken a zone back.
type InForce struct {
	State State
	Lost  []LostZone
}

// LostZone is a zone that was evacuated before the store came back from an older copy without its row.
type LostZone struct {
	Zone  Zone
	Until time.Time // it stays evacuated until then, unless the row is written again
}

// With returns what is in force after the state has become another one. Zones that an earlier era had
// stay evacuated for the grace.
func (inforce InForce) With(state State, grace time.Duration, now time.Time) InForce {
	next := InForce{State: state.sinceOf(State{Zones: inforce.Zones()})}
	lost := inforce.Lost
	if inforce.State.Known() && state.Version.Era() > inforce.State.Version.Era() {
		lost = nil
		for _, zone := range inforce.Zones() {
			lost = append(lost, LostZone{Zone: zone, Until: now.Add(grace)})
		}
	}
	for _, lostzone := range lost {
		if !state.Has(lostzone.Zone.Name) {
			next.Lost = append(next.Lost, lostzone)
		}
	}
	return next
}

// Expire returns what is in force at a time: without the lost zones whose rows have not been written again.
func (inforce InForce) Expire(now time.Time) InForce {
	inforce.Lost = slices.DeleteFunc(slices.Clone(inforce.Lost), func(lostzone LostZone) bool { return !now.Before(lostzone.Until) })
	return inforce
}

// Zones returns the evacuated zones in the order of their names.
func (inforce InForce) Zones() []Zone {
	all := State{Zones: slices.Clone(inforce.State.Zones)}
	for _, lostzone := range inforce.Lost {
		all.Zones = append(all.Zones, lostzone.Zone)
	}
	all.sort()
	return all.Zones
}

// Has reports whether a zone is evacuated.
func (inforce InForce) Has(zone string) bool {
	return inforce.State.Has(zone) || slices.ContainsFunc(inforce.Lost, func(lostzone LostZone) bool { return lostzone.Zone.Name == zone })
}
