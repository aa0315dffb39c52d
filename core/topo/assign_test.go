package topo_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"hickorybend/core/topo"
)

func nodes(zones, each int) []topo.Node {
	var all []topo.Node
	for zone := range zones {
		for i := range each {
			all = append(all, topo.Node{Name: fmt.Sprintf("node-%d-%d", zone, i), Zone: fmt.Sprintf("zone-%d", zone)})
		}
	}
	return all
}

func partsOf(all []topo.Node) map[string]topo.Role {
	parts := map[string]topo.Role{}
	for i, self := range all {
		others := append(append([]topo.Node(nil), all[:i]...), all[i+1:]...)
		parts[self.Name] = topo.Assign(self, others)
	}
	return parts
}

// TestArrange counts leaders and calls at several sizes.
func TestArrange(t *testing.T) {
	for _, test := range []struct{ zones, each, leaders, calls int }{
		{1, 1, 1, 0},
		{3, 2, 3, 15},
		{3, 4, 3, 66},
		{3, 30, 3, 87 + 3},
		{17, 23, 17, 374 + 136},
	} {
		leaders, calls := 0, 0
		for _, role := range partsOf(nodes(test.zones, test.each)) {
			if role.IsLeader {
				leaders++
			}
			calls += len(role.Peers)
		}
		assert.Equal(t, leaders, test.leaders, "%v", test)
		assert.Equal(t, calls, test.calls, "%v", test)
	}
}

// TestNextLeads has a leader fall silent: another node of its zone leads, and
// all of the zone call it and still try the first.
func TestNextLeads(t *testing.T) {
	for _, zone := range []string{"zone-0", "zone-1", "zone-2"} {
		all := nodes(3, 30)
		down := ""
		for name, role := range partsOf(all) {
			if role.IsLeader && zoneOf(all, name) == zone {
				down = name
			}
		}
		for i := range all {
			all[i].Down = all[i].Name == down
		}
		parts := partsOf(all)
		leaders := 0
		for name, role := range parts {
			if name == down || zoneOf(all, name) != zone {
				continue
			}
			assert.Assert(t, slices.Contains(role.Peers, down), "%s calls %v", name, role.Peers)
			if role.IsLeader {
				leaders++
				continue
			}
			assert.Assert(t, role.Leader != down && slices.Contains(role.Peers, role.Leader), "%s calls %v", name, role.Peers)
		}
		assert.Equal(t, leaders, 1, zone)
	}
}

func zoneOf(all []topo.Node, name string) string {
	for _, node := range all {
		if node.Name == name {
			return node.Zone
		}
	}
	return ""
}
