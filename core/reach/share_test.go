package reach_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"hickorybend/core/reach"
)

// TestSharesOfConnections checks that the nodes together never have more connections in
// use than an endpoint accepts, as long as it accepts one of each node.
func TestSharesOfConnections(t *testing.T) {
	for _, test := range []struct {
		accepted, nodes int
		takesCommands   bool
		want            reach.Connections
	}{
		{48, 6, false, reach.Connections{Requests: 8}},
		{300, 6, true, reach.Connections{Requests: 49, Own: 1}},
		{300, 89, true, reach.Connections{Requests: 3, Own: 1}},
		{300, 75, true, reach.Connections{Requests: 3, Own: 1}},
		{780, 390, false, reach.Connections{Requests: 2}},
		{198, 390, false, reach.Connections{Requests: 1}},
		{5, 6, true, reach.Connections{Requests: 1, Own: 1}},
		{0, 6, false, reach.Connections{Requests: 64}},
		{48, 0, false, reach.Connections{Requests: 48}},
	} {
		t.Run(fmt.Sprint(test.accepted, test.nodes), func(t *testing.T) {
			assert.Equal(t, reach.ShareConnections(test.accepted, test.nodes, test.takesCommands), test.want)
		})
	}
	for nodes := 1; nodes <= 390; nodes++ {
		for accepted := nodes; accepted < 3000; accepted += 7 {
			plain, engine := reach.ShareConnections(accepted, nodes, false), reach.ShareConnections(accepted, nodes, true)
			assert.Assert(t, nodes*plain.Requests <= accepted, "%d nodes, %d accepted: %+v", nodes, accepted, plain)
			assert.Assert(t, nodes*engine.Requests <= accepted && (accepted < 4*nodes || nodes*(engine.Requests+engine.Own) <= accepted), "%d nodes, %d accepted: %+v", nodes, accepted, engine)
		}
	}
}
