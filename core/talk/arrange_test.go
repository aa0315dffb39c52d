package talk_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"hickorybend/core/talk"
)

func nodes(zones, each int) []talk.Node {
	var all []talk.Node
	for zone := range zones {
		for i := range each {
			all = append(all, talk.Node{Name: fmt.Sprintf("node-%d-%d", zone, i), Zone: fmt.Sprintf("zone-%d", zone)})
		}
	}
	return all
}

func partsOf(all []talk.Node) map[string]talk.Part {
	parts := map[string]talk.Part{}
	for i, self := range all {
		others := append(append([]talk.Node(nil), all[:i]...), all[i+1:]...)
		parts[self.Name] = talk.Arrange(self, others)
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
		for _, part := range partsOf(nodes(test.zones, test.each)) {
			if part.Leads {
				leaders++
			}
			calls += len(part.Calls)
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
		for name, part := range partsOf(all) {
			if part.Leads && zoneOf(all, name) == zone {
				down = name
			}
		}
		for i := range all {
			all[i].Down = all[i].Name == down
		}
		parts := partsOf(all)
		leaders := 0
		for name, part := range parts {
			if name == down || zoneOf(all, name) != zone {
				continue
			}
			assert.Assert(t, slices.Contains(part.Calls, down), "%s calls %v", name, part.Calls)
			if part.Leads {
				leaders++
				continue
			}
			assert.Assert(t, part.Leader != down && slices.Contains(part.Calls, part.Leader), "%s calls %v", name, part.Calls)
		}
		assert.Equal(t, leaders, 1, zone)
	}
}

func zoneOf(all []talk.Node, name string) string {
	for _, node := range all {
		if node.Name == name {
			return node.Zone
		}
	}
	return ""
}
