package hold_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

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

// TestOwnersStayWithinTheMemory guards against owners that know nothing of each other and together
// give out more than a memory.
func TestOwnersStayWithinTheMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 5).Draw(t, "owners")
		memory := rapid.IntRange(1, 50000).Draw(t, "memory")
		ledgers, held, taken := make([]*hold.Ledger, count), 0, make([][]int, count)
		for i := range ledgers {
			ledgers[i] = hold.NewLedger(count)
		}
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			owner := rapid.IntRange(0, count-1).Draw(t, "owner")
			if given := taken[owner]; len(given) > 0 && rapid.Bool().Draw(t, "returns") {
				ledgers[owner].Return("e", given[0])
				held, taken[owner] = held-given[0], given[1:]
				continue
			}
			if tokens := rapid.IntRange(1, 5000).Draw(t, "tokens"); ledgers[owner].Take("e", memory, tokens) {
				held, taken[owner] = held+tokens, append(taken[owner], tokens)
			}
			if held > memory {
				t.Fatalf("%d tokens of %d", held, memory)
			}
		}
	})
}
