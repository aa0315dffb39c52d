package hold_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/hold"
)

// TestFits guards against an endpoint that crashes because its memory is full, and against
// requests that no endpoint ever gets.
func TestFits(t *testing.T) {
	for _, test := range []struct {
		name           string
		memory         hold.Memory
		prompt, answer int
		want           bool
	}{
		{"not stated", hold.Memory{Held: 1 << 30, Nodes: 6}, 1000, 1000, true},
		{"this node's part", hold.Memory{Tokens: 24000, Held: 12000, Nodes: 6}, 1500, 500, true},
		{"more than its part", hold.Memory{Tokens: 24000, Held: 12000, Nodes: 6}, 1500, 501, false},
		{"its part is used", hold.Memory{Tokens: 24000, Held: 13000, Lately: 1000, Nodes: 6}, 500, 501, false},
		{"one node", hold.Memory{Tokens: 24000, Held: 12000, Nodes: 1}, 10000, 2000, true},
		{"full", hold.Memory{Tokens: 24000, Held: 30000, Nodes: 1}, 1, 0, false},
		{"alone, with a long answer", hold.Memory{Tokens: 24000, Nodes: 6}, 10000, 30000, true},
		{"alone, too large", hold.Memory{Tokens: 24000, Nodes: 6}, 24001, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) { assert.Equal(t, test.memory.Fits(test.prompt, test.answer), test.want) })
	}
}

// TestWindow checks that what was sent counts until the others know it.
func TestWindow(t *testing.T) {
	start := time.Unix(1000, 0)
	window := hold.Window{}
	window.Add(100, start)
	window.Add(50, start.Add(hold.Unknown/2))
	assert.Equal(t, window.Lately(start.Add(hold.Unknown-1)), 150)
	assert.Equal(t, window.Lately(start.Add(hold.Unknown)), 50)
	assert.Equal(t, window.Lately(start.Add(2*hold.Unknown)), 0)
}
