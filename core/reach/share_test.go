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
		want            reach.Connections
	}{
		{48, 6, reach.Connections{Requests: 7, Own: 1}},
		{300, 6, reach.Connections{Requests: 49, Own: 1}},
		{300, 89, reach.Connections{Requests: 3, Own: 1}},
		{300, 75, reach.Connections{Requests: 3, Own: 1}},
		{780, 390, reach.Connections{Requests: 2, Own: 1}},
		{198, 390, reach.Connections{Requests: 1, Own: 1}},
		{5, 6, reach.Connections{Requests: 1, Own: 1}},
		{0, 6, reach.Connections{Requests: 63, Own: 1}},
		{48, 0, reach.Connections{Requests: 47, Own: 1}},
	} {
		t.Run(fmt.Sprint(test.accepted, test.nodes), func(t *testing.T) {
			assert.Equal(t, reach.ShareConnections(test.accepted, test.nodes), test.want)
		})
	}
	for nodes := 1; nodes <= 390; nodes++ {
		for accepted := nodes; accepted < 3000; accepted += 7 {
			share := reach.ShareConnections(accepted, nodes)
			assert.Assert(t, nodes*share.Requests <= accepted && (accepted < 4*nodes || nodes*(share.Requests+share.Own) <= accepted), "%d nodes, %d accepted: %+v", nodes, accepted, share)
		}
	}
}
