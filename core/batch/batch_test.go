package batch_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/batch"
	"hickorybend/core/site"
)

var engine = &site.Engine{
	Slots: 34, StepTime: 6070 * time.Microsecond, StepPerSlot: 241 * time.Microsecond, PrefillTokensPerSec: 46000, PassSteps: 5, PassTokens: 2048,
}

var (
	large = batch.Replica{Engine: engine, Model: site.Model{ReplicaSize: 8, TimeFactor: 1}}
	small = batch.Replica{Engine: engine, Model: site.Model{ReplicaSize: 4, TimeFactor: 0.6}}
)

// TestFreeSlotsDoNotMeanRoom guards against sending requests to a replica with free slots
// whose prompts wait for their chunks longer than the objective allows.
func TestFreeSlotsDoNotMeanRoom(t *testing.T) {
	idle := large.FirstEvent(batch.Load{}, 1460)
	queued := large.FirstEvent(batch.Load{Running: 20, PendingTokens: 6 * 1460}, 1460)
	assert.Assert(t, idle > 50*time.Millisecond && idle < 100*time.Millisecond, "%s", idle)
	assert.Assert(t, queued > 500*time.Millisecond, "%s with 14 free slots", queued)
	assert.Assert(t, small.FirstEvent(batch.Load{Running: 20, PendingTokens: 1460}, 700) < large.FirstEvent(batch.Load{Running: 20, PendingTokens: 1460}, 700))
}

// TestEstimatesGrowWithLoad checks that more load never makes an estimate shorter or more
// requests be in time.
func TestEstimatesGrowWithLoad(t *testing.T) {
	work := batch.Work{PromptTokens: 1460, AnswerTokens: 116}
	before := 1.0
	for rate := 0.5; rate < 20; rate += 0.5 {
		inTime := large.InTime(rate, work, 500*time.Millisecond, 300*time.Millisecond)
		assert.Assert(t, inTime <= before+1e-9 && inTime >= 0 && inTime <= 1, "%g at %g a second, %g below", inTime, rate, before)
		before = inTime
	}
	assert.Equal(t, before, 0.0)
	assert.Assert(t, large.InTime(4, work, 500*time.Millisecond, 0) > 0.95)
	assert.Assert(t, math.IsInf(large.Running(40, work), 1))
	for running := range 34 {
		less, more := batch.Load{Running: running}, batch.Load{Running: running + 1, PendingTokens: 100}
		assert.Assert(t, large.FirstEvent(less, 700) < large.FirstEvent(more, 700))
		assert.Assert(t, large.Pause(less) < large.Pause(more))
	}
}

// TestUnknownSpeed checks that nothing is estimated for an engine whose speed is not
// configured.
func TestUnknownSpeed(t *testing.T) {
	unknown := batch.Replica{Engine: &site.Engine{Slots: 17}}
	assert.Equal(t, unknown.FirstEvent(batch.Load{Running: 3}, 100), time.Duration(0))
	assert.Equal(t, unknown.InTime(100, batch.Work{PromptTokens: 100}, time.Second, 0), 1.0)
}
