package reach_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"hickorybend/core/reach"
)

// TestMemoryReplays guards against endpoints that crash because all nodes together send more
// tokens than their memory holds, while figures are old and load is high or comes in bursts.
func TestMemoryReplays(t *testing.T) {
	for _, replayshape := range replayShapes {
		if replayshape.nodes*replayZones >= reach.DefaultPolicy().SampleMinNodes {
			continue // these need owners, see package hold
		}
		for _, replaycase := range replayCases {
			t.Run(replayshape.name+", "+replaycase.name, func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(4) {
					memory := []int{24000, 40000}[seed%2] // 15 or 25 requests of the usual size; there are 20 slots
					without := newReplay(replaycase, replayshape, true, seed).run()
					with := newReplay(replaycase, replayshape, true, seed).limitMemory(memory).run()
					t.Logf("most held %.2f of the memory, before %.2f; value %.3f, before %.3f, rejected %.3f", float64(with.mostHeld)/float64(memory), float64(without.mostHeld)/float64(memory),
						with.value(), without.value(), float64(with.rejected)/float64(with.requests))
					assert.Check(t, with.mostHeld <= memory, "%d of %d tokens", with.mostHeld, memory)
				}
			})
		}
	}
}
