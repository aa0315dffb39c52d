package gossip_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"hickorybend/io/gossip"
)

// TestSumHidesNodeOnTime guards against a sum that says of many nodes that they are late while one is on
// time, which could take over what a late node does.
func TestSumHidesNodeOnTime(t *testing.T) {
	for _, test := range []struct{ own, other, want bool }{{true, true, true}, {true, false, false}, {false, true, false}, {false, false, false}} {
		digest := gossip.Digest{Late: test.own}.Copy()
		digest.AddReports(gossip.Digest{Late: test.other})
		assert.Equal(t, digest.Late, test.want)
	}
}
