package gossip_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"hickorybend/io/gossip"
)

// TestSumHasLatestHoldersClearances guards against a leader's sum that names the endpoints which an earlier holder
// has cleared as those of the latest one, or none.
func TestSumHasLatestHoldersClearances(t *testing.T) {
	cleared := []gossip.Cleared{{Endpoint: "e-1", StartedAt: 1000, CommandCount: 2}}
	for _, test := range []struct {
		fence int64
		want  int
	}{{2, 0}, {4, 1}} {
		digest := gossip.Digest{Fence: 3, PlanCount: 1}.Copy()
		digest.AddReports(gossip.Digest{Fence: test.fence, PlanCount: 1, Cleared: cleared})
		assert.Equal(t, len(digest.Cleared), test.want)
	}
}
