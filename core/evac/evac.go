package evac

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"hickorybend/core/rows"
)

// Zone is an evacuated zone.
type Zone struct {
	Name    string
	Version rows.Version // the store's at the last write of its row
	Since   time.Time    // when the first node is known to have learned of it
}

// State is the evacuated zones up to a version of the store.
type State struct {
	Version rows.Version // up to which Zones has every change; 0 if nothing is known
	Zones   []Zone       // in the order of their names
}

// Change is the last write of a zone's row, or its removal.
type Change struct {
	Zone    string
	Version rows.Version
	Removed bool
}

// Known reports whether the rows have been read, by this node or another one.
func (state State) Known() bool { return state.Version > 0 }

// Has reports whether a zone is evacuated.
func (state State) Has(zone string) bool {
	return slices.ContainsFunc(state.Zones, func(known Zone) bool { return known.Name == zone })
}

// Read returns the state that a full read of the rows at a version shows.
func Read(changes []Change, version rows.Version, now time.Time) State {
	return State{}.apply(changes, version, now)
}

// Follow returns the state after changes that the store has reported up to a version.
// They apply only to a state of the same era: changes of a later one do not tell what
// the store has lost.
func (state State) Follow(changes []Change, version rows.Version, now time.Time) State {
	if !state.Known() || version.Era() != state.Version.Era() {
		return state
	}
	return state.apply(changes, version, now)
}

// apply applies the changes that the state lacks, in the order of their versions.
func (state State) apply(changes []Change, version rows.Version, now time.Time) State {
	ordered := slices.SortedStableFunc(slices.Values(changes), func(a, b Change) int { return cmp.Compare(a.Version, b.Version) })
	next := State{Version: max(state.Version, version), Zones: slices.Clone(state.Zones)}
	for _, change := range ordered {
		if change.Version <= state.Version {
			continue
		}
		since := now
		next.Zones = slices.DeleteFunc(next.Zones, func(known Zone) bool {
			if known.Name == change.Zone {
				since = known.Since
			}
			return known.Name == change.Zone
		})
		if !change.Removed {
			next.Zones = append(next.Zones, Zone{Name: change.Zone, Version: change.Version, Since: since})
		}
	}
	next.sort()
	return next
}

// Merge returns what is known from two states together. Of two eras the later one
// counts alone, since the store has lost what the earlier one has. Within an era, a zone
// that only one state has is evacuated if the other state is not complete up to its row,
// or is the older of the two: otherwise the other state shows that the row was removed.
func (state State) Merge(other State) State {
	if state.Version.Era() != other.Version.Era() || !state.Known() || !other.Known() {
		if other.Version > state.Version {
			return other.sinceOf(state)
		}
		return state
	}
	merged := State{Version: max(state.Version, other.Version)}
	for _, zone := range state.Zones {
		if other.Has(zone.Name) || !state.removedIn(zone, other) {
			merged.Zones = append(merged.Zones, zone)
		}
	}
	for _, zone := range other.Zones {
		switch i := merged.index(zone.Name); {
		case i >= 0:
			merged.Zones[i].Version = max(merged.Zones[i].Version, zone.Version)
			merged.Zones[i].Since = earlier(merged.Zones[i].Since, zone.Since)
		case !other.removedIn(zone, state):
			merged.Zones = append(merged.Zones, zone)
		}
	}
	merged.sort()
	return merged
}

// removedIn reports whether a zone of this state, which another state lacks, was
// removed according to that.
func (state State) removedIn(zone Zone, other State) bool {
	return other.Version > state.Version && other.Version >= zone.Version || other.Version == state.Version && other.Version > zone.Version
}

// sinceOf returns the state with the earlier times of another one, which had the same
// zones evacuated before the store went back.
func (state State) sinceOf(other State) State {
	state.Zones = slices.Clone(state.Zones)
	for i := range state.Zones {
		if j := other.index(state.Zones[i].Name); j >= 0 {
			state.Zones[i].Since = earlier(state.Zones[i].Since, other.Zones[j].Since)
		}
	}
	return state
}

// SameZones reports whether both states have the same zones evacuated.
func (state State) SameZones(other State) bool {
	return slices.EqualFunc(state.Zones, other.Zones, func(a, b Zone) bool { return a.Name == b.Name })
}

func (state State) index(zone string) int {
	return slices.IndexFunc(state.Zones, func(known Zone) bool { return known.Name == zone })
}

func (state State) sort() {
	slices.SortFunc(state.Zones, func(a, b Zone) int { return strings.Compare(a.Name, b.Name) })
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
