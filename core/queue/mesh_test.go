package queue_test

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/batch"
	"hickorybend/core/reach"
)

// byMesh chooses as the nodes of a mesh do: the best of all by figures that are 0.1 s old.
type byMesh struct {
	byStale
}

// newMesh returns a chooser whose nodes reject what would be late by a margin; 0 for none.
func newMesh(lateMargin float64) func(world *world) chooser {
	return func(world *world) chooser {
		mesh := &byMesh{byStale: byStale{world: world, policy: reach.DefaultPolicy()}}
		mesh.policy.LateMargin = lateMargin
		for node := range world.load.nodes {
			pool := &reach.ServicePool{Service: "s", Engine: engine, Models: map[string][]*reach.Candidate{}}
			for _, sim := range world.sims {
				candidate := &reach.Candidate{
					ID: sim.id, SameZone: sim.zone == node*zones/world.load.nodes, Slots: engine.Slots, PrefillTokensPerSec: engine.PrefillTokensPerSec / world.load.factor, TieBreak: world.choice.Float64(), Speed: reach.Speed{Replica: sim.speed}, Load: &reach.Load{}}
				pool.Models["m"] = append(pool.Models["m"], candidate)
			}
			mesh.pools = append(mesh.pools, pool)
		}
		world.at(world.start, mesh.exchange)
		return mesh
	}
}

// exchange has all nodes learn what the others have.
func (mesh *byMesh) exchange(now time.Time) {
	if now.Sub(mesh.world.start).Seconds() > mesh.world.load.seconds+answerSpan {
		return
	}
	for i := range mesh.world.sims {
		inFlight, pending := 0, 0
		for node := range mesh.pools {
			load := mesh.pools[node].Models["m"][i].Load
			inFlight, pending = inFlight+load.OwnInFlight(), pending+load.OwnPendingTokens()
		}
		for node := range mesh.pools {
			load := mesh.pools[node].Models["m"][i].Load
			otherInFlight, otherPending := inFlight-load.OwnInFlight(), pending-load.OwnPendingTokens()
			mesh.world.at(now.Add(50*time.Millisecond), func(time.Time) { load.SetPeerLoad(otherInFlight, otherPending) })
		}
	}
	mesh.world.at(now.Add(100*time.Millisecond), mesh.exchange)
}

func (mesh *byMesh) arrive(call *call, now time.Time) {
	decision := reach.Choose(mesh.policy, mesh.pools[call.node], reach.Request{
		Model: "m", Now: now, Deadline: call.arrivedAt.Add(call.kind.objective), Priority: call.kind.priority, Retried: call.retried, Random: mesh.world.choice.Float64(), PromptTokens: call.work.PromptTokens})
	mesh.world.follow(decision, call, mesh.load, now)
}

// meshLoad returns two kinds of requests at six nodes of a mesh, at a multiple of what their replicas serve.
func meshLoad(scale float64) load {
	load := largeModel(scale, 2, 2, 2)
	load.nodes, load.seconds = 6, 39
	load.kinds = []kind{
		{name: "long", work: batch.Work{PromptTokens: 1460, AnswerTokens: 116}, perSecond: 30, objective: 400 * time.Millisecond, priority: 2},
		{name: "brief", work: batch.Work{PromptTokens: 2000, AnswerTokens: 23}, perSecond: 15, objective: 300 * time.Millisecond, priority: 2},
	}
	return load
}

// TestKindIsStarvedAtTwiceTheCapacity guards against a kind of requests that is served on time less than
// a third as often as the other where nodes of a mesh reject what would be late everywhere.
func TestKindIsStarvedAtTwiceTheCapacity(t *testing.T) {
	expectShares(t, replay(meshLoad(2), 1, newMesh(reach.LateMargin)))
}

// TestMesh checks that nodes of a mesh, which know each other's requests soon, serve no less if they
// reject what would be late everywhere, and more when capacity is short.
func TestMesh(t *testing.T) {
	for _, test := range []struct {
		name string
		load load
		gain float64 // in value
		fair bool    // no kind is served on time less than a third as often as the other; 2.0: TestKindIsStarvedAtTwiceTheCapacity
	}{{"0.5", meshLoad(0.5), -0.005, true}, {"0.8", meshLoad(0.8), -0.005, true}, {"1.0", meshLoad(1), 0, true}, {"1.3", meshLoad(1.3), 0.1, true}, {"2.0", meshLoad(2), 0.2, false}} {
		t.Run(test.name, func(t *testing.T) {
			slots, estimate := replay(test.load, 1, newMesh(0)), replay(test.load, 1, newMesh(reach.LateMargin))
			if os.Getenv("REPLAY") != "" {
				for name := range slots {
					t.Logf("%s: slots %+v, estimate %+v", name, *slots[name], *estimate[name])
				}
			}
			t.Logf("value: slots %.3f, estimate %.3f", value(slots), value(estimate))
			assert.Assert(t, value(estimate) > value(slots)+test.gain)
			if test.fair {
				expectShares(t, estimate)
			}
		})
	}
}
