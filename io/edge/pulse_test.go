package edge

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLateReadsGoUnnoticed guards against a node whose timers are on time, so that it takes itself for on
// time, while what the network wakes waits for the processor.
func TestLateReadsGoUnnoticed(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	lateness := newLateness()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	assert.NilError(t, lateness.startPulse(ctx))
	time.Sleep(3 * tickInterval)
	began := time.Now()
	var busy sync.WaitGroup
	for range 40 { // each takes the processor for up to 10 ms
		busy.Go(func() {
			for time.Since(began) < time.Second {
			}
		})
	}
	busy.Wait()
	now := time.Now()
	assert.Assert(t, lateness.lateBy(began, now) > tickTolerance)
	assert.Assert(t, lateness.lateSince(began, now))
}
