package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/site"
)

// TestLossOf guards against late requests that are laid to the endpoints though this node, or the nodes
// before it, had them for longer.
func TestLossOf(t *testing.T) {
	const ms = time.Millisecond
	stream := site.Stream{PauseObjective: 200 * ms}
	for _, test := range []struct {
		before, first, pause time.Duration
		kind                 site.RequestKind
		want                 loss
	}{
		{5 * ms, 250 * ms, 100 * ms, stream, lossNone},
		{5 * ms, 450 * ms, 300 * ms, stream, lossFirst},
		{300 * ms, 50 * ms, 0, stream, lossBefore},
		{5 * ms, 250 * ms, 201 * ms, stream, lossPause},
		{5 * ms, 250 * ms, 900 * ms, site.Stream{}, lossNone},
		{900 * ms, 900 * ms, 0, site.Idempotent{}, lossNone},
	} {
		route := &site.Route{Kind: test.kind, LatencyObjective: 300 * ms}
		assert.Equal(t, lossOf(test.before, test.first, test.pause, route), test.want, "%+v", test)
	}
}
