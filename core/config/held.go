package config

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hickorybend/core/intent"
	"hickorybend/core/rows"
)

// Partition is the partition of the sections and of their head.
const Partition = "config"

// HistoryPartition is the partition of the accepted changes.
const HistoryPartition = "history"

// HeadKey names the row whose version counts the accepted changes.
func HeadKey() rows.Key { return rows.Key{Partition: Partition, Sort: "head"} }

// SectionKey names a section's row.
func SectionKey(name string) rows.Key {
	return rows.Key{Partition: Partition, Sort: sectionPrefix + name}
}

// HistoryKey names the row of the change that made the head this version.
func HistoryKey(version int64) rows.Key {
	return rows.Key{Partition: HistoryPartition, Sort: fmt.Sprintf("%012d", version)}
}

const sectionPrefix = "section/"

// Cache is a node's copy of the configuration; each part of it only moves to
// higher versions.
type Cache struct {
	term      time.Duration
	head      int64
	sections  map[string]rows.Row
	confirmed time.Time
	prepared  map[string]PendingChange
}

// PendingChange is a change that a node was told of before it was tried: until its
// outcome is known it may be in force.
type PendingChange struct {
	Version int64
	Since   time.Time
}

// NewCache makes an empty copy that trusts a confirmation for a term.
func NewCache(term time.Duration) *Cache {
	return &Cache{term: term, sections: map[string]rows.Row{}, prepared: map[string]PendingChange{}}
}

// Head gives the version up to which every section is held.
func (cache *Cache) Head() int64 { return cache.head }

// Update keeps those sections that are newer than the ones held, and gives them.
func (cache *Cache) Update(sections []rows.Row) []rows.Row {
	var changed []rows.Row
	for _, row := range sections {
		name, isSection := strings.CutPrefix(row.Key.Sort, sectionPrefix)
		if isSection && row.Version > cache.sections[name].Version {
			cache.sections[name] = row
			changed = append(changed, row)
		}
	}
	return changed
}

// Confirm notes that all sections are held up to a head that the store had at
// some moment not before at.
func (cache *Cache) Confirm(head int64, at time.Time) {
	if head < cache.head {
		return
	}
	cache.head = head
	for id, pendingchange := range cache.prepared {
		if pendingchange.Version <= head {
			delete(cache.prepared, id)
		}
	}
	if at.After(cache.confirmed) {
		cache.confirmed = at
	}
}

// Prepare notes that a change is about to be tried as a version.
func (cache *Cache) Prepare(id string, version int64, now time.Time) {
	if version > cache.head {
		cache.prepared[id] = PendingChange{Version: version, Since: now}
	}
}

// Abort notes that a prepared change was not accepted and never will be.
func (cache *Cache) Abort(id string) { delete(cache.prepared, id) }

// InDoubt tells whether a prepared change may be in force.
func (cache *Cache) InDoubt() bool { return len(cache.prepared) > 0 }

// InDoubtBefore gives a version that has been in doubt since before a moment, 0 if
// there is none.
func (cache *Cache) InDoubtBefore(before time.Time) int64 {
	for _, pendingchange := range cache.prepared {
		if pendingchange.Since.Before(before) {
			return pendingchange.Version
		}
	}
	return 0
}

// ConfirmedAt gives the moment as of which the copy is known to be the newest.
func (cache *Cache) ConfirmedAt() time.Time { return cache.confirmed }

// Fresh tells whether the copy may be relied on without asking anyone.
func (cache *Cache) Fresh(now time.Time) bool {
	return cache.head > 0 && now.Before(cache.confirmed.Add(cache.term))
}

// Rows gives every held section.
func (cache *Cache) Rows() []rows.Row {
	all := make([]rows.Row, 0, len(cache.sections))
	for _, row := range cache.sections {
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

// PeerStatus is what another node says of its own sight of the store.
type PeerStatus struct {
	Zone           string
	StoreReachable bool
	ConfirmedAt    time.Time
	Head           int64
	InDoubt        bool
	ReceivedAt     time.Time
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
func (cache *Cache) MayServe(now time.Time, zone string, zones []string, witnesses []PeerStatus) bool {
	if cache.Fresh(now) {
		return true
	}
	if cache.head == 0 || cache.InDoubt() {
		return false
	}
	heard := map[string]bool{zone: true}
	for _, peerstatus := range witnesses {
		if !now.Before(peerstatus.ReceivedAt.Add(cache.term)) {
			continue
		}
		if peerstatus.StoreReachable || peerstatus.InDoubt {
			return false
		}
		heard[peerstatus.Zone] = true
	}
	for _, other := range zones {
		if !heard[other] {
			return false
		}
	}
	return true
}
