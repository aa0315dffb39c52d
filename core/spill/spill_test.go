package spill_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/batch"
	"hickorybend/core/site"
	"hickorybend/core/spill"
)

var engine = &site.Engine{
	Slots: 20, StepTime: 6070 * time.Microsecond, StepPerSlot: 241 * time.Microsecond, PrefillTokensPerSec: 46000, PassSteps: 5, PassTokens: 2048, UsualPromptTokens: 1460, UsualAnswerTokens: 116,
}

// newReplica returns a replica with requests in flight, and prompts of 1,000 tokens among them
// that are not prefilled.
func newReplica(inFlight, prompts int, delay time.Duration) spill.Replica {
	return spill.Replica{Speed: batch.Replica{Engine: engine, Model: site.Model{TimeFactor: 1}}, InFlight: inFlight, Pending: prompts * 1000, Delay: delay}
}

// TestChoose checks that requests stay where they are served well on time, and that none leaves for a
// replica that is full, far away or no sooner.
func TestChoose(t *testing.T) {
	const far = 3 * time.Millisecond
	for _, test := range []struct {
		name        string
		here, there []spill.Replica
		bytes       int
		least, most float64 // fraction that leaves the zone
	}{
		{"idle here", []spill.Replica{newReplica(2, 0, 0)}, []spill.Replica{newReplica(0, 0, far)}, 0, 0, 0},
		{"one of two idle here", []spill.Replica{newReplica(18, 8, 0), newReplica(3, 0, 0)}, []spill.Replica{newReplica(0, 0, far)}, 0, 0, 0},
		{"full here, idle there", []spill.Replica{newReplica(20, 8, 0)}, []spill.Replica{newReplica(0, 0, far)}, 0, 0.5, 1},
		{"busy here, idle there", []spill.Replica{newReplica(16, 4, 0)}, []spill.Replica{newReplica(1, 0, far)}, 0, 0.1, 0.8},
		{"busy here, idle and far away", []spill.Replica{newReplica(16, 4, 0)}, []spill.Replica{newReplica(1, 0, 200*time.Millisecond)}, 0, 0, 0},
		{"busy here, idle there, many bytes", []spill.Replica{newReplica(16, 4, 0)}, []spill.Replica{newReplica(1, 0, far)}, 4 << 20, 0, 0},
		{"all full", []spill.Replica{newReplica(30, 10, 0)}, []spill.Replica{newReplica(30, 10, far)}, 0, 0, 0},
		{"late here and there", []spill.Replica{newReplica(40, 20, 0)}, []spill.Replica{newReplica(25, 10, far)}, 0, 0, 0},
		{"none here", nil, []spill.Replica{newReplica(30, 10, far)}, 0, 1, 1},
		{"none there", []spill.Replica{newReplica(30, 10, 0)}, nil, 0, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			left, draws := 0, 100
			for draw := range draws {
				isHere, index := choose(spill.DefaultPolicy(), test.here, test.there, spill.Request{PromptTokens: 1000, TimeLeft: 500 * time.Millisecond, Bytes: test.bytes}, float64(draw)/float64(draws))
				assert.Assert(t, index >= 0)
				if !isHere {
					left++
				}
			}
			got := float64(left) / float64(draws)
			assert.Check(t, got >= test.least && got <= test.most, "%g leave", got)
		})
	}
	_, index := choose(spill.DefaultPolicy(), nil, nil, spill.Request{}, 0)
	assert.Equal(t, index, -1)
}

// TestFirstEventGrowsWithQueue guards against an estimate that sees no queue beyond the slots.
func TestFirstEventGrowsWithQueue(t *testing.T) {
	before := time.Duration(0)
	for inFlight := range 60 {
		first := newReplica(inFlight, 1, 0).FirstEvent(spill.Request{PromptTokens: 1000})
		assert.Check(t, first >= before, "%s at %d, %s at one less", first, inFlight, before)
		before = first
	}
	assert.Equal(t, spill.Replica{Speed: batch.Replica{Engine: &site.Engine{Slots: 4}}}.FirstEvent(spill.Request{}), time.Duration(0))
}

// choose returns the index of the replica that a request is sent to among those of this zone (here true) or
// of the others, and -1 if there is none. random is a number in [0,1).
func choose(policy spill.Policy, here, there []spill.Replica, request spill.Request, random float64) (isHere bool, index int) {
	home, homeTime := soonest(here, request)
	away, awayTime := soonest(there, request)
	switch {
	case away < 0:
		return true, home
	case home < 0 || random < spill.Share(policy, homeTime, awayTime, request):
		return false, away
	default:
		return true, home
	}
}

// soonest returns the replica that would serve a request the soonest, or -1.
func soonest(replicas []spill.Replica, request spill.Request) (best int, at time.Duration) {
	best = -1
	for i, replica := range replicas {
		if first := replica.FirstEvent(request); best < 0 || first < at {
			best, at = i, first
		}
	}
	return best, at
}
