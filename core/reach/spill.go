package reach

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"hickorybend/core/batch"
	"hickorybend/core/spill"
)

// Speed is what the configuration states of a replica's engine and of the way there.
type Speed struct {
	Replica    batch.Replica
	Delay      time.Duration // one way, from this node's zone
	DelayKnown bool          // of a replica in another zone
}

// crossing is what another zone costs a request, as pick compares candidates.
type crossing struct {
	known   bool          // the speed of this zone's candidates is known
	home    time.Duration // until the first event at the best of them
	request spill.Request
	random  float64
}

// newCrossing looks at the candidates of this zone that take the request.
func newCrossing(candidates []*Candidate, request Request, timeLeft float64) crossing {
	crossing := crossing{
		request: spill.Request{PromptTokens: request.PromptTokens, TimeLeft: time.Duration(timeLeft * float64(time.Second)), Bytes: request.Bytes},
		random:  rand.New(rand.NewPCG(math.Float64bits(request.Random), 1)).Float64(), // the sample is drawn by Random itself
	}
	for _, candidate := range candidates {
		if !candidate.SameZone || !candidate.Speed.Replica.Known() || slices.Contains(request.Tried, candidate.ID) || !candidate.takesRequests(request.Now) {
			continue
		}
		if first := candidate.spillReplica().FirstEvent(crossing.request); !crossing.known || first < crossing.home {
			crossing.known, crossing.home = true, first
		}
	}
	return crossing
}

// penalty returns what is added to the score of a candidate in another zone.
func (crossing crossing) penalty(policy Policy, candidate *Candidate) float64 {
	if !crossing.known || !candidate.Speed.DelayKnown || !candidate.Speed.Replica.Known() {
		return policy.CrossZonePenalty
	}
	if crossing.random < spill.Share(policy.Spill, crossing.home, candidate.spillReplica().FirstEvent(crossing.request), crossing.request) {
		return 0
	}
	return policy.StayPenalty
}

func (candidate *Candidate) spillReplica() spill.Replica {
	return spill.Replica{Speed: candidate.Speed.Replica, InFlight: candidate.Load.InFlight(), Pending: candidate.Load.PendingTokens(), Delay: candidate.Speed.Delay}
}
