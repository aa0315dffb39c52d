package subset_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"hickorybend/core/reach"
	"hickorybend/core/subset"
)

const (
	accepted  = 198
	endpoints = 510
)

// site is nodes and endpoints in zones.
type site struct {
	nodes []int // their zones
	zones int
}

// list returns the nodes as an endpoint of a zone sees them, without those for which lost
// returns true.
func (site site) list(zone int, lost func(node int) bool) (listed []subset.Node, numbers []int) {
	for i, nodeZone := range site.nodes {
		if !lost(i) {
			listed, numbers = append(listed, subset.Node{Name: fmt.Sprint("node-", i), SameZone: nodeZone == zone}), append(numbers, i)
		}
	}
	return listed, numbers
}

// users returns for each endpoint which nodes use it, and the most connections that they
// may have in use there.
func (site site) users(lost func(node int) bool) (used []map[int]bool, connections int) {
	for endpoint := range endpoints {
		listed, numbers := site.list(endpoint%site.zones, lost)
		users := subset.Users(accepted, len(listed))
		used = append(used, map[int]bool{})
		for i, number := range numbers {
			listed[0], listed[i] = listed[i], listed[0] // the order of the others does not matter
			if subset.Uses(fmt.Sprint("i-", endpoint), listed, users) {
				used[endpoint][number] = true
			}
			listed[0], listed[i] = listed[i], listed[0]
		}
		connections = max(connections, len(used[endpoint])*reach.ShareConnections(accepted, users).Requests)
	}
	return used, connections
}

func newSite(nodes, zones int) site {
	site := site{zones: zones}
	for i := range nodes {
		site.nodes = append(site.nodes, i%zones)
	}
	return site
}

func nobody(int) bool { return false }

// loads returns the lowest and the highest load of an endpoint over the mean, where each
// node sends as much as any other, alike to all endpoints that it uses.
func (site site) loads(used []map[int]bool) (lowest, highest float64) {
	counts := make([]int, len(site.nodes))
	for _, users := range used {
		for node := range users {
			counts[node]++
		}
	}
	mean := float64(len(site.nodes)) / endpoints
	lowest = 1e9
	for _, users := range used {
		load := 0.0
		for node := range users {
			load += 1 / float64(counts[node])
		}
		lowest, highest = min(lowest, load/mean), max(highest, load/mean)
	}
	return lowest, highest
}

// moved returns how many pairs of node and endpoint are new after a loss, and how many
// endpoints have new ones.
func moved(before, after []map[int]bool) (pairs, changed int) {
	for endpoint := range before {
		added := 0
		for node := range after[endpoint] {
			if !before[endpoint][node] {
				added++
			}
		}
		pairs += added
		if added > 0 {
			changed++
		}
	}
	return pairs, changed
}

// TestSubsets checks for three sizes that an endpoint accepts what its users may have in
// use, that all nodes of its zone are among them, that load is even, and that a loss moves
// no pairs but those of the nodes that are lost.
func TestSubsets(t *testing.T) {
	for _, test := range []struct{ nodes, zones, users int }{{6, 2, 6}, {89, 5, 89}, {390, 17, 49}} {
		t.Run(fmt.Sprint(test.nodes), func(t *testing.T) {
			site := newSite(test.nodes, test.zones)
			used, connections := site.users(nobody)
			assert.Assert(t, connections <= accepted, "%d connections in use at an endpoint that accepts %d", connections, accepted)
			for endpoint, users := range used {
				assert.Equal(t, len(users), test.users)
				for node, zone := range site.nodes {
					assert.Assert(t, users[node] || zone != endpoint%site.zones, "node %d does not use endpoint %d of its zone", node, endpoint)
				}
			}
			lowest, highest := site.loads(used)
			t.Logf("%d connections in use at most; load of an endpoint %.2f to %.2f of the mean", connections, lowest, highest)
			assert.Assert(t, lowest > 0.8 && highest < 1.2, "load of an endpoint %.2f to %.2f of the mean", lowest, highest)

			withoutNode, _ := site.users(func(node int) bool { return node == 1 })
			pairs, changed := moved(used, withoutNode)
			held := 0
			for _, users := range used {
				if users[1] {
					held++
				}
			}
			t.Logf("one node lost: it used %d of %d endpoints; %d new pairs at %d endpoints", held, endpoints, pairs, changed)
			assert.Assert(t, pairs <= held && pairs == changed)

			withoutZone, connections := site.users(func(node int) bool { return site.nodes[node] == 0 })
			pairs, changed = moved(used, withoutZone)
			t.Logf("a zone lost: %d new pairs at %d endpoints, of %d; %d connections in use at most", pairs, changed, endpoints*test.users, connections)
			assert.Assert(t, connections <= accepted, "%d connections in use after the loss of a zone", connections)
		})
	}
}

// BenchmarkUses decides for one endpoint among 390 nodes.
func BenchmarkUses(b *testing.B) {
	listed, _ := newSite(390, 17).list(1, nobody)
	b.ReportAllocs()
	for b.Loop() {
		subset.Uses("i-0123456789", listed, 49)
	}
}
