package config

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hickorybend/core/intent"
	"hickorybend/core/rows"
)

// Part is the partition of the sections and of their head.
const Part = "config"

// PartHistory is the partition of the accepted changes.
const PartHistory = "history"

// HeadKey names the row whose version counts the accepted changes.
func HeadKey() rows.Key { return rows.Key{Part: Part, Sort: "head"} }

// SectionKey names a section's row.
func SectionKey(name string) rows.Key {
	return rows.Key{Part: Part, Sort: sectionPrefix + name}
}

// HistoryKey names the row of the change that made the head this version.
func HistoryKey(version int64) rows.Key {
	return rows.Key{Part: PartHistory, Sort: fmt.Sprintf("%012d", version)}
}

const sectionPrefix = "section/"

// Held is a node's copy of the configuration; each part of it only moves to
// higher versions.
type Held struct {
	term      time.Duration
	head      int64
	sections  map[string]rows.Row
	confirmed time.Time
	prepared  map[string]Doubt
}

// Doubt is a change that a node was told of before it was tried: until its
// outcome is known it may be in force.
type Doubt struct {
	Version int64
	Since   time.Time
}

// NewHeld makes an empty copy that trusts a confirmation for a term.
func NewHeld(term time.Duration) *Held {
	return &Held{term: term, sections: map[string]rows.Row{}, prepared: map[string]Doubt{}}
}

// Head gives the version up to which every section is held.
func (held *Held) Head() int64 { return held.head }

// Take keeps those sections that are newer than the ones held, and gives them.
func (held *Held) Take(sections []rows.Row) []rows.Row {
	var changed []rows.Row
	for _, row := range sections {
		name, isSection := strings.CutPrefix(row.Key.Sort, sectionPrefix)
		if isSection && row.Version > held.sections[name].Version {
			held.sections[name] = row
			changed = append(changed, row)
		}
	}
	return changed
}

// Confirm notes that all sections are held up to a head that the store had at
// some moment not before at.
func (held *Held) Confirm(head int64, at time.Time) {
	if head < held.head {
		return
	}
	held.head = head
	for id, doubt := range held.prepared {
		if doubt.Version <= head {
			delete(held.prepared, id)
		}
	}
	if at.After(held.confirmed) {
		held.confirmed = at
	}
}

// Prepare notes that a change is about to be tried as a version.
func (held *Held) Prepare(id string, version int64, now time.Time) {
	if version > held.head {
		held.prepared[id] = Doubt{Version: version, Since: now}
	}
}

// Abort notes that a prepared change was not accepted and never will be.
func (held *Held) Abort(id string) { delete(held.prepared, id) }

// InDoubt tells whether a prepared change may be in force.
func (held *Held) InDoubt() bool { return len(held.prepared) > 0 }

// LongDoubt gives a version that has been in doubt since before a moment, 0 if
// there is none.
func (held *Held) LongDoubt(before time.Time) int64 {
	for _, doubt := range held.prepared {
		if doubt.Since.Before(before) {
			return doubt.Version
		}
	}
	return 0
}

// Confirmed gives the moment as of which the copy is known to be the newest.
func (held *Held) Confirmed() time.Time { return held.confirmed }

// Sure tells whether the copy may be relied on without asking anyone.
func (held *Held) Sure(now time.Time) bool {
	return held.head > 0 && now.Before(held.confirmed.Add(held.term))
}

// Rows gives every held section.
func (held *Held) Rows() []rows.Row {
	all := make([]rows.Row, 0, len(held.sections))
	for _, row := range held.sections {
		all = append(all, row)
	}
	slices.SortFunc(all, func(a, b rows.Row) int { return strings.Compare(a.Key.Sort, b.Key.Sort) })
	return all
}

// SectionsOf names the sections in rows of the configuration's partition.
func SectionsOf(all []rows.Row) []intent.Section {
	var sections []intent.Section
	for _, row := range all {
		if name, isSection := strings.CutPrefix(row.Key.Sort, sectionPrefix); isSection {
			sections = append(sections, intent.Section{Name: name, Body: row.Body})
		}
	}
	return sections
}

// Witness is what another node says of its own sight of the store.
type Witness struct {
	Zone        string
	SeesStore   bool
	ConfirmedAt time.Time
	Head        int64
	InDoubt     bool
	HeardAt     time.Time
}

// MayServe tells whether a node may take new work under its copy.
//
// A sure copy may be used. A copy that is not sure may be used only while the
// store is down for all: no change can be accepted then. The node believes
// that if at least one node of every other zone answers and none of them sees
// the store. A node that a whole zone is cut off from cannot know what that
// zone has accepted, so it stops. For example the store is down and all three
// zones answer: all serve on. Then zone c is cut off: zones a and b stop
// hearing from c, c from both, and each stops within a term, since c might
// have the store back first.
//
// A change may have been accepted in the last moment before the store went
// down, by a node that went down with it. That is why every node is told of a
// change before it is tried: one that was told and did not learn the outcome,
// or that hears of such a node, does not use the exception. What others said
// counts for a term, like a confirmation.
func (held *Held) MayServe(now time.Time, zone string, zones []string, witnesses []Witness) bool {
	if held.Sure(now) {
		return true
	}
	if held.head == 0 || held.InDoubt() {
		return false
	}
	heard := map[string]bool{zone: true}
	for _, witness := range witnesses {
		if !now.Before(witness.HeardAt.Add(held.term)) {
			continue
		}
		if witness.SeesStore || witness.InDoubt {
			return false
		}
		heard[witness.Zone] = true
	}
	for _, other := range zones {
		if !heard[other] {
			return false
		}
	}
	return true
}
