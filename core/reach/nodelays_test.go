package reach_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/batch"
	"hickorybend/core/reach"
	"hickorybend/core/site"
)

// TestZonesWithoutDelays guards against deployments without delays between zones whose traffic between
// these is decided in another way than by the constant, as it is where no speed is known.
func TestZonesWithoutDelays(t *testing.T) {
	now, random := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 2))
	engine := &site.Engine{Slots: 20, StepTime: 6 * time.Millisecond, PrefillTokensPerSec: 46000, PassSteps: 5, PassTokens: 2048}
	speed := reach.Speed{Replica: batch.Replica{Engine: engine, Model: site.Model{Name: "m", TimeFactor: 1}}}
	for i := range 500 {
		without := &reach.ServicePool{Engine: engine, Models: map[string][]*reach.Candidate{}}
		with := &reach.ServicePool{Engine: engine, Models: map[string][]*reach.Candidate{}}
		for j := range 20 {
			load := &reach.Load{}
			load.SetPeerLoad(random.IntN(24), random.IntN(9000))
			candidate := reach.Candidate{ID: fmt.Sprint(j), SameZone: j < 8, Slots: 20, PrefillTokensPerSec: 46000, TieBreak: random.Float64(), Load: load}
			known := candidate
			known.Speed = speed
			without.Models["m"], with.Models["m"] = append(without.Models["m"], &candidate), append(with.Models["m"], &known)
		}
		request := reach.Request{Model: "m", Now: now, Deadline: now.Add(400 * time.Millisecond), PromptTokens: 1000, SampleSize: 3 * (i % 2), Random: random.Float64()}
		want, _ := reach.Choose(reach.DefaultPolicy(), without, request).(reach.Send)
		got, _ := reach.Choose(reach.DefaultPolicy(), with, request).(reach.Send)
		if want.Candidate == nil || got.Candidate == nil {
			assert.Assert(t, want.Candidate == nil && got.Candidate == nil)
			continue
		}
		assert.Equal(t, got.Candidate.ID, want.Candidate.ID, "request %d", i)
	}
}
