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

// crosszone is what another zone costs a request, as pick compares candidates.
type crosszone struct {
	compared bool          // the candidates of this zone were looked at
	known    bool          // the speed of this zone's candidates is known
	home     time.Duration // until the first event there, on the mean: the best of old figures is no longer it
	request  spill.Request
	random   float64
}

// newCrossZone looks at the candidates of this zone that take the request.
func newCrossZone(candidates []*Candidate, request Request, timeLeft float64) crosszone {
	crosszone := crosszone{
		compared: true,
		request:  spill.Request{PromptTokens: request.PromptTokens, TimeLeft: time.Duration(timeLeft * float64(time.Second)), Bytes: request.Bytes},
	}
	var sum, count time.Duration
	for _, candidate := range candidates {
		if !candidate.SameZone || !candidate.Speed.Replica.Known() || slices.Contains(request.Tried, candidate.ID) || !candidate.takesRequests(request.Now) {
			continue
		}
		sum, count = sum+candidate.spillReplica().FirstEvent(crosszone.request), count+1
	}
	if count > 0 {
		crosszone.known, crosszone.home = true, sum/count
		crosszone.random = rand.New(rand.NewPCG(math.Float64bits(request.Random), 1)).Float64() // the sample is drawn by Random itself
	}
	return crosszone
}

// penalty returns what is added to the score of a candidate in another zone.
func (crosszone *crosszone) penalty(policy *Policy, candidate *Candidate) float64 {
	if !crosszone.known || !candidate.Speed.DelayKnown || !candidate.Speed.Replica.Known() {
		return policy.CrossZonePenalty
	}
	if crosszone.random < spill.Share(policy.Spill, crosszone.home, candidate.spillReplica().FirstEvent(crosszone.request), crosszone.request) {
		return 0
	}
	return policy.StayPenalty
}

func (candidate *Candidate) spillReplica() spill.Replica {
	return spill.Replica{Speed: candidate.Speed.Replica, InFlight: candidate.Load.InFlight(), Pending: candidate.Load.PendingTokens(), Delay: candidate.Speed.Delay}
}

// staysHome reports whether this zone's candidates would serve the request so well on time that
// others need not be compared with them.
func staysHome(policy Policy, candidates []*Candidate, request Request) bool {
	asked := spill.Request{PromptTokens: request.PromptTokens}
	var sum, count time.Duration
	for _, candidate := range candidates {
		switch {
		case !candidate.SameZone && !candidate.Speed.DelayKnown:
			return false // a constant decides what leaves the zone
		case candidate.SameZone && candidate.Speed.Replica.Known() && candidate.takesRequests(request.Now):
			sum, count = sum+candidate.spillReplica().FirstEvent(asked), count+1
		}
	}
	left := max(request.Deadline.Sub(request.Now), policy.MinTimeLeft)
	return count > 0 && float64(sum/count) <= policy.SampleComfort*float64(left)
}
