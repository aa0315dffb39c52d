package roster

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"hickorybend/core/rows"
)

// Partition is the table partition of the node rows.
const Partition = "node"

// Node is a node of the system. A node gets a new incarnation each time it starts.
type Node struct {
	Name           string `json:"name"`
	Incarnation    string `json:"incarnation"`
	Zone           string `json:"zone"`
	ControlAddress string `json:"control"`
	CallersAddress string `json:"callers"`
	Draining       bool   `json:"draining"`
}

// Key returns the key of the node's row.
func (node Node) Key() rows.Key { return rows.Key{Partition: Partition, Sort: node.Name} }

// Body encodes the node as the body of its row.
func (node Node) Body() []byte {
	body, err := json.Marshal(node)
	if err != nil {
		panic(errors.Wrap(err, "roster: encoding a node"))
	}
	return body
}

// Roster is the set of nodes according to their rows.
type Roster struct {
	policy  Policy
	entries map[string]entry
}

type entry struct {
	node           Node
	row            rows.Row
	unchangedSince time.Time
}

// NewRoster returns an empty roster.
func NewRoster(policy Policy) *Roster {
	return &Roster{policy: policy, entries: map[string]entry{}}
}

// Observe replaces the roster with all node rows, which were read no later than
// at. A row with the same version as before has not been renewed. A row that
// can't be decoded is left out.
func (roster *Roster) Observe(all []rows.Row, at time.Time) {
	observed := map[string]entry{}
	for _, row := range all {
		var node Node
		if json.Unmarshal(row.Body, &node) != nil {
			continue
		}
		next := entry{node: node, row: row, unchangedSince: at}
		if known, found := roster.entries[row.Key.Sort]; found && known.row.Version == row.Version {
			next.unchangedSince = known.unchangedSince
		}
		observed[row.Key.Sort] = next
	}
	roster.entries = observed
}

// Nodes returns the nodes that have renewed their rows within the heartbeat
// timeout.
func (roster *Roster) Nodes(now time.Time) []Node {
	var nodes []Node
	for _, entry := range roster.entries {
		if now.Before(entry.unchangedSince.Add(roster.policy.HeartbeatTimeout)) {
			nodes = append(nodes, entry.node)
		}
	}
	slices.SortFunc(nodes, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	return nodes
}

// Unresponsive returns the nodes that have not renewed their rows for the
// heartbeat timeout. They may still be alive.
func (roster *Roster) Unresponsive(now time.Time) []Node {
	var nodes []Node
	for _, entry := range roster.entries {
		if !now.Before(entry.unchangedSince.Add(roster.policy.HeartbeatTimeout)) {
			nodes = append(nodes, entry.node)
		}
	}
	slices.SortFunc(nodes, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	return nodes
}

// ResetTimers restarts the heartbeat timeout of every node. A node calls it after
// a failed read of the rows: time in which it could not read the rows of other
// nodes must not count as their missed heartbeats.
func (roster *Roster) ResetTimers(at time.Time) {
	for name, entry := range roster.entries {
		entry.unchangedSince = at
		roster.entries[name] = entry
	}
}

// Stale returns the rows that have not been renewed for twice the heartbeat
// timeout and can be deleted.
func (roster *Roster) Stale(now time.Time) []rows.Row {
	var stale []rows.Row
	for _, entry := range roster.entries {
		if !now.Before(entry.unchangedSince.Add(2 * roster.policy.HeartbeatTimeout)) {
			stale = append(stale, entry.row)
		}
	}
	return stale
}

// RecordRenewal records this node's own row after it was written.
func (roster *Roster) RecordRenewal(row rows.Row, at time.Time) {
	var node Node
	if json.Unmarshal(row.Body, &node) == nil {
		roster.entries[row.Key.Sort] = entry{node: node, row: row, unchangedSince: at}
	}
}

// Row returns a node's row as last read or written, or a row of version 0 if there
// is none.
func (roster *Roster) Row(name string) rows.Row {
	found := roster.entries[name].row
	found.Key = rows.Key{Partition: Partition, Sort: name}
	return found
}
