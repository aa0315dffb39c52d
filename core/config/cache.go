package config

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hickorybend/core/intent"
	"hickorybend/core/rows"
)

// Partition is the table partition of the section rows and the head row.
const Partition = "config"

// HistoryPartition is the table partition of the history: a row for each
// accepted change.
const HistoryPartition = "history"

// HeadKey returns the key of the head row. The version of the head row counts
// the accepted changes and is the version of the configuration.
func HeadKey() rows.Key { return rows.Key{Partition: Partition, Sort: "head"} }

// SectionKey returns the key of a section's row.
func SectionKey(name string) rows.Key {
	return rows.Key{Partition: Partition, Sort: sectionPrefix + name}
}

// HistoryKey returns the key of the history row of the change that produced a
// version of the configuration.
func HistoryKey(version int64) rows.Key {
	return rows.Key{Partition: HistoryPartition, Sort: fmt.Sprintf("%012d", version)}
}

const sectionPrefix = "section/"

// Cache is a node's copy of the configuration. The versions of the head and of
// each section never decrease.
type Cache struct {
	ttl         time.Duration
	head        int64
	sections    map[string]rows.Row
	confirmedAt time.Time
	pending     map[string]PendingChange // by the id of the change
}

// PendingChange is a change that a node was notified of before the commit was
// attempted. It may be in force until its outcome is known.
type PendingChange struct {
	Version int64
	Since   time.Time
}

// NewCache returns an empty cache in which a confirmation is valid for ttl.
func NewCache(ttl time.Duration) *Cache {
	return &Cache{ttl: ttl, sections: map[string]rows.Row{}, pending: map[string]PendingChange{}}
}

// Head returns the version up to which the cache is complete: every section is
// cached as of that version or newer.
func (cache *Cache) Head() int64 { return cache.head }

// Update stores the sections that are newer than the cached ones and returns
// them.
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

// Confirm records that the cache is complete up to a head version that the
// store had at the given time or later. A head older than the cached one
// confirms nothing. Pending changes up to the new head have taken effect or can
// no longer do so, so they are dropped.
func (cache *Cache) Confirm(head int64, at time.Time) {
	if head < cache.head {
		return
	}
	cache.head = head
	for id, pendingchange := range cache.pending {
		if pendingchange.Version <= head {
			delete(cache.pending, id)
		}
	}
	if at.After(cache.confirmedAt) {
		cache.confirmedAt = at
	}
}

// Prepare records a pending change, which a node is about to commit as the
// given version. A version that the cache already covers is ignored.
func (cache *Cache) Prepare(id string, version int64, now time.Time) {
	if version > cache.head {
		cache.pending[id] = PendingChange{Version: version, Since: now}
	}
}

// Abort drops a pending change that was not accepted and never will be.
func (cache *Cache) Abort(id string) { delete(cache.pending, id) }

// InDoubt reports whether a pending change may be in force.
func (cache *Cache) InDoubt() bool { return len(cache.pending) > 0 }

// InDoubtBefore returns the version of a change that has been pending since
// before the given time, or 0 if there is none.
func (cache *Cache) InDoubtBefore(before time.Time) int64 {
	for _, pendingchange := range cache.pending {
		if pendingchange.Since.Before(before) {
			return pendingchange.Version
		}
	}
	return 0
}

// ConfirmedAt returns the latest time at which the copy is known to have been
// current.
func (cache *Cache) ConfirmedAt() time.Time { return cache.confirmedAt }

// Fresh reports whether the last confirmation is within the TTL, so that the copy
// may be used without asking peers.
func (cache *Cache) Fresh(now time.Time) bool {
	return cache.head > 0 && now.Before(cache.confirmedAt.Add(cache.ttl))
}

// Rows returns the rows of all cached sections, sorted by key.
func (cache *Cache) Rows() []rows.Row {
	all := make([]rows.Row, 0, len(cache.sections))
	for _, row := range cache.sections {
		all = append(all, row)
	}
	slices.SortFunc(all, func(a, b rows.Row) int { return strings.Compare(a.Key.Sort, b.Key.Sort) })
	return all
}

// SectionsOf returns the sections among rows of Partition.
func SectionsOf(all []rows.Row) []intent.Section {
	var sections []intent.Section
	for _, row := range all {
		if name, isSection := strings.CutPrefix(row.Key.Sort, sectionPrefix); isSection {
			sections = append(sections, intent.Section{Name: name, Body: row.Body})
		}
	}
	return sections
}

// PeerStatus is a peer's report of whether it reaches the store and how current
// its own copy is.
type PeerStatus struct {
	Zone           string
	StoreReachable bool
	ConfirmedAt    time.Time
	Head           int64
	InDoubt        bool
	ReceivedAt     time.Time
}

// MayServe reports whether a node may accept new requests under its cached copy.
//
// A fresh copy may be used. There is one exception for a copy that is not fresh:
// it may be used while no node reaches the store, because then no change can be
// accepted. The node assumes this if at least one node of every other zone
// answers and none of the nodes that answer reaches the store. A node that gets
// no answer from a whole zone cannot know what that zone has accepted, so it
// stops. For example, the store is down and nodes of all three zones answer: all
// keep serving. Then zone c is cut off: zones a and b get no answers from c, and
// c none from a and b. Every node stops within one TTL, because the nodes that
// it can't reach might reach the store again first.
//
// A change may have been accepted in the last moment before the store went
// down, by a node that failed with the store. Therefore every node is notified
// of a change before the commit is attempted. The exception does not apply to a
// node that was notified and does not know the outcome, nor to a node with a
// report from a peer in that state. A peer's report is valid for one TTL, like a
// confirmation.
func (cache *Cache) MayServe(now time.Time, zone string, zones []string, peers []PeerStatus) bool {
	if cache.Fresh(now) {
		return true
	}
	if cache.head == 0 || cache.InDoubt() {
		return false
	}
	answered := map[string]bool{zone: true}
	for _, peerstatus := range peers {
		if !now.Before(peerstatus.ReceivedAt.Add(cache.ttl)) {
			continue
		}
		if peerstatus.StoreReachable || peerstatus.InDoubt {
			return false
		}
		answered[peerstatus.Zone] = true
	}
	for _, other := range zones {
		if !answered[other] {
			return false
		}
	}
	return true
}
