package topo_test

import (
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hickorybend/core/topo"
)

// leaderOfA and memberOfA are the roles of a node of zone a; meshNode is that of any node.
var (
	leaderOfA = topo.Role{IsLeader: true, Leader: "self"}
	memberOfA = topo.Role{Leader: "a-1"}
	meshNode  = topo.Role{Mesh: true, IsLeader: true, Leader: "self"}
)

func source(node string, scope topo.Scope) topo.Source {
	return topo.Source{Node: node, Zone: node[:1], Scope: scope}
}

// expectGroups checks the groups of sources of a node of zone a, "a-1+a-2" for each.
func expectGroups(t *testing.T, role topo.Role, sources []topo.Source, want ...string) {
	t.Helper()
	got := []string{}
	for _, group := range role.Groups("a", sources) {
		var names []string
		for _, source := range group {
			names = append(names, source.Node)
		}
		slices.Sort(names)
		got = append(got, strings.Join(names, "+"))
	}
	slices.Sort(got)
	assert.DeepEqual(t, got, append([]string{}, want...))
}

// TestSumsOfTwoLeadersCountedTwice guards against a node that adds up digests which count
// the same requests, while a zone gets another leader.
func TestSumsOfTwoLeadersCountedTwice(t *testing.T) {
	for _, test := range []struct {
		name    string
		role    topo.Role
		sources []topo.Source
		want    []string
	}{
		{"nobody", leaderOfA, nil, nil},
		{"a mesh", meshNode, []topo.Source{source("a-1", topo.ScopeNode), source("b-1", topo.ScopeNode)}, []string{"a-1", "b-1"}},
		{"its leader", memberOfA, []topo.Source{source("a-1", topo.ScopeAll)}, []string{"a-1"}},
		{"its leader and the one before", memberOfA, []topo.Source{source("a-1", topo.ScopeAll), source("a-2", topo.ScopeAll)}, []string{"a-1+a-2"}},
		{"its leader and one that no longer leads", memberOfA, []topo.Source{source("a-1", topo.ScopeAll), source("a-2", topo.ScopeNode)}, []string{"a-1"}},
		{"a leader that has just stopped to lead", memberOfA, []topo.Source{source("a-2", topo.ScopeNode), source("b-1", topo.ScopeZone)}, []string{"a-2", "b-1"}},
		{"a leader", leaderOfA, []topo.Source{source("a-1", topo.ScopeNode), source("a-2", topo.ScopeNode), source("b-1", topo.ScopeZone)}, []string{"a-1", "a-2", "b-1"}},
		{"a leader and the one before", leaderOfA, []topo.Source{source("a-1", topo.ScopeAll), source("a-2", topo.ScopeNode)}, []string{"a-2"}},
		{"a leader and another one of its zone", leaderOfA, []topo.Source{source("a-1", topo.ScopeZone), source("a-2", topo.ScopeNode)}, []string{"a-2"}},
		{"two leaders of another zone", leaderOfA, []topo.Source{source("b-1", topo.ScopeZone), source("b-2", topo.ScopeZone)}, []string{"b-1+b-2"}},
		{"another zone's leader and one that is passed over there", leaderOfA, []topo.Source{source("b-1", topo.ScopeZone), source("b-2", topo.ScopeNode)}, []string{"b-1"}},
		{"another zone without a leader", leaderOfA, []topo.Source{source("b-1", topo.ScopeNode), source("b-2", topo.ScopeNode)}, []string{"b-1", "b-2"}},
		{"a mesh that has been none", meshNode, []topo.Source{source("a-1", topo.ScopeAll), source("b-1", topo.ScopeZone), source("b-2", topo.ScopeNode)}, []string{"b-1"}},
		{"an older build's leader", memberOfA, []topo.Source{source("a-1", topo.ScopeUnstated), source("a-2", topo.ScopeAll)}, []string{"a-1+a-2"}},
		{"an older build's other nodes", leaderOfA, []topo.Source{source("a-1", topo.ScopeUnstated), source("b-1", topo.ScopeUnstated), source("b-2", topo.ScopeZone)}, []string{"a-1", "b-1+b-2"}},
		{"an older build in a mesh", meshNode, []topo.Source{source("a-1", topo.ScopeUnstated), source("b-1", topo.ScopeUnstated)}, []string{"a-1", "b-1"}},
	} {
		t.Run(test.name, func(t *testing.T) { expectGroups(t, test.role, test.sources, test.want...) })
	}
}

// TestReturnTakenForGrowth guards against totals that count as growth because their
// sender, or a node in its sum, comes back or joins.
func TestReturnTakenForGrowth(t *testing.T) {
	var growth topo.Growth
	node, sum, other := source("a-1", topo.ScopeNode), source("b-1", topo.ScopeZone), source("b-2", topo.ScopeZone)
	for _, step := range []struct {
		name   string
		totals map[topo.Source]int64
		group  []topo.Source
		want   int64
	}{
		{"the first total", map[topo.Source]int64{node: 1000}, []topo.Source{node}, 0},
		{"it grows", map[topo.Source]int64{node: 1010}, []topo.Source{node}, 10},
		{"it is silent", nil, nil, 0},
		{"it comes back", map[topo.Source]int64{node: 1100}, []topo.Source{node}, 0},
		{"it restarts", map[topo.Source]int64{node: 5}, []topo.Source{node}, 0},
		{"it grows again", map[topo.Source]int64{node: 8}, []topo.Source{node}, 3},
		{"it leads", map[topo.Source]int64{{Node: "a-1", Zone: "a", Scope: topo.ScopeAll}: 9000}, []topo.Source{{Node: "a-1", Zone: "a", Scope: topo.ScopeAll}}, 0},
		{"two leaders", map[topo.Source]int64{sum: 100, other: 50}, []topo.Source{sum, other}, 0},
		{"two leaders with the same requests", map[topo.Source]int64{sum: 107, other: 55}, []topo.Source{sum, other}, 7},
	} {
		var groups [][]topo.Source
		if step.group != nil {
			groups = [][]topo.Source{step.group}
		}
		grown := int64(0)
		for _, counters := range growth.Since(groups, func(source topo.Source) topo.Counters { return topo.Counters{"m": step.totals[source]} }) {
			grown += counters["m"]
		}
		assert.Equal(t, grown, step.want, step.name)
	}
}
