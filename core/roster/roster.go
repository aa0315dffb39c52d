package roster

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"hickorybend/core/rows"
)

// Partition is the partition of the node rows.
const Partition = "node"

// Node is a node of the system; a restarted node has another incarnation.
type Node struct {
	Name           string `json:"name"`
	Incarnation    string `json:"incarnation"`
	Zone           string `json:"zone"`
	ControlAddress string `json:"control"`
	CallerAddress  string `json:"callers"`
	Draining       bool   `json:"draining"`
}

// Key names the node's row.
func (node Node) Key() rows.Key { return rows.Key{Partition: Partition, Sort: node.Name} }

// Body encodes the node's row.
func (node Node) Body() []byte {
	body, err := json.Marshal(node)
	if err != nil {
		panic(errors.Wrap(err, "roster: a plain struct did not encode"))
	}
	return body
}

// Roster is the set of nodes as the rows tell.
type Roster struct {
	policy  Policy
	entries map[string]entry
}

type entry struct {
	node  Node
	row   rows.Row
	since time.Time
}

// NewRoster makes an empty roster in which a row may stand still for the policy's term.
func NewRoster(policy Policy) *Roster {
	return &Roster{policy: policy, entries: map[string]entry{}}
}

// Observe takes in all node rows as read by a moment not after at; a row that
// is not readable is left out.
func (roster *Roster) Observe(all []rows.Row, at time.Time) {
	seen := map[string]entry{}
	for _, row := range all {
		var node Node
		if json.Unmarshal(row.Body, &node) != nil {
			continue
		}
		next := entry{node: node, row: row, since: at}
		if known, was := roster.entries[row.Key.Sort]; was && known.row.Version == row.Version {
			next.since = known.since
		}
		seen[row.Key.Sort] = next
	}
	roster.entries = seen
}

// Nodes lists the nodes whose rows have not stood still for a term.
func (roster *Roster) Nodes(now time.Time) []Node {
	var nodes []Node
	for _, entry := range roster.entries {
		if now.Before(entry.since.Add(roster.policy.HeartbeatTimeout)) {
			nodes = append(nodes, entry.node)
		}
	}
	slices.SortFunc(nodes, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	return nodes
}

// Unresponsive lists the nodes whose rows have stood still for a term; they may yet live.
func (roster *Roster) Unresponsive(now time.Time) []Node {
	var nodes []Node
	for _, entry := range roster.entries {
		if !now.Before(entry.since.Add(roster.policy.HeartbeatTimeout)) {
			nodes = append(nodes, entry.node)
		}
	}
	slices.SortFunc(nodes, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	return nodes
}

// ResetTimers counts every row's time anew: a row stands still only for as long as
// this node itself could read it, so not while the reads failed.
func (roster *Roster) ResetTimers(at time.Time) {
	for name, entry := range roster.entries {
		entry.since = at
		roster.entries[name] = entry
	}
}

// Stale lists the rows that have stood still for two terms and can be erased.
func (roster *Roster) Stale(now time.Time) []rows.Row {
	var stale []rows.Row
	for _, entry := range roster.entries {
		if !now.Before(entry.since.Add(2 * roster.policy.HeartbeatTimeout)) {
			stale = append(stale, entry.row)
		}
	}
	return stale
}

// RecordRenewal takes in this node's own row as it was just written.
func (roster *Roster) RecordRenewal(row rows.Row, at time.Time) {
	var node Node
	if json.Unmarshal(row.Body, &node) == nil {
		roster.entries[row.Key.Sort] = entry{node: node, row: row, since: at}
	}
}

// Row gives a node's row as last seen.
func (roster *Roster) Row(name string) rows.Row {
	found := roster.entries[name].row
	found.Key = rows.Key{Partition: Partition, Sort: name}
	return found
}
