package reach

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Choose sends a request to the candidate with the least load, or refuses it
// when even that one could not begin it in time.
//
// A candidate's load is the part of its slots that all nodes' requests take,
// plus penalties for distance, failures and slowness. For example, of two
// replicas with 17 slots one has 8 requests in this zone (0.47) and one has 6
// in another (0.35 + 0.12 = 0.47): they are alike, and the node's fixed offset
// to each decides, so that nodes with the same stale knowledge part. Prompts
// that are still to be read count by the part of the objective they will take.
// Refusing is cheaper than waiting beyond the objective: a request that waits
// takes a slot late and makes the next ones late too.
func Choose(policy Policy, pool *Pool, request Request) Decision {
	if pool == nil {
		return Reject{Reason: ReasonNoService, RetryAt: request.Now.Add(policy.MinRetryDelay)}
	}
	candidates := pool.Plain
	if pool.Engine != nil {
		candidates = pool.Models[request.Model]
	}
	limit := limitOf(policy, pool, request)
	best, score := pick(policy, sample(policy, candidates, request), request)
	if best == nil || score.taken > limit {
		best, score = pick(policy, candidates, request)
	}
	if best == nil {
		return Reject{Reason: ReasonNoEndpoint, RetryAt: request.Now.Add(pauseOf(policy, candidates, request))}
	}
	if score.taken > limit {
		return Reject{Reason: ReasonFull, RetryAt: request.Now.Add(pauseOf(policy, candidates, request))}
	}
	return Send{Candidate: best}
}

// sample draws some candidates by the request's random point: of this zone and
// a few others where it has many, else of all.
//
// Many nodes that all send to the least loaded replica of the same stale
// picture overload it before the next picture comes: 35 requests in half a
// second go to one of seven. Two drawn at random, of which the better one is
// taken, spread them nearly as well as fresh knowledge would. Of 60 replicas in
// four zones 3 drawn alike leave out this zone for two fifths of the requests;
// 3 of its 15 and 2 of the others keep at home what it can serve. A model with
// 12 replicas is drawn from all: its 3 here are seldom loaded like the others.
func sample(policy Policy, candidates []*Candidate, request Request) []*Candidate {
	if request.SampleSize <= 0 || request.SampleSize >= len(candidates) {
		return candidates
	}
	random := rand.New(rand.NewPCG(math.Float64bits(request.Random), uint64(len(candidates))))
	order := random.Perm(len(candidates))
	drawn := make([]*Candidate, 0, request.SampleSize+policy.SampleOtherZones)
	near, far := request.SampleSize, policy.SampleOtherZones
	uniform := countNear(candidates) < policy.ZonalSampleMin
	for _, i := range order {
		candidate := candidates[i]
		switch {
		case uniform:
			if len(drawn) < request.SampleSize {
				drawn = append(drawn, candidate)
			}
		case candidate.SameZone && near > 0:
			near--
			drawn = append(drawn, candidate)
		case !candidate.SameZone && far > 0:
			far--
			drawn = append(drawn, candidate)
		}
	}
	return drawn
}

func countNear(candidates []*Candidate) int {
	count := 0
	for _, candidate := range candidates {
		if candidate.SameZone {
			count++
		}
	}
	return count
}

// rating is a candidate's share of slots taken, and that with its penalties.
type rating struct {
	taken float64
	total float64
}

func pick(policy Policy, candidates []*Candidate, request Request) (*Candidate, rating) {
	var best *Candidate
	score := rating{total: math.Inf(1)}
	usual := usualTime(candidates)
	for _, candidate := range candidates {
		if slices.Contains(request.Tried, candidate.ID) || candidate.Load.Avoided(request.Now) {
			continue
		}
		if candidate.MaxInFlight > 0 && candidate.Load.OwnInFlight() >= candidate.MaxInFlight {
			continue
		}
		rated := rate(policy, candidate, request, usual)
		if rated.total < score.total {
			best, score = candidate, rated
		}
	}
	return best, score
}

func rate(policy Policy, candidate *Candidate, request Request, usual time.Duration) rating {
	taken := float64(candidate.Load.InFlight()+1) / float64(max(candidate.Slots, 1))
	total := taken + policy.FailPenalty*candidate.Load.FailureRate(request.Now) + policy.TieBreakWeight*candidate.TieBreak
	if candidate.PrefillTokensPerSec > 0 {
		left := max(request.Deadline.Sub(request.Now), policy.MinTimeLeft)
		total += policy.PromptWeight * float64(candidate.Load.PendingTokens()) / candidate.PrefillTokensPerSec / left.Seconds()
	}
	if !candidate.SameZone {
		total += policy.CrossZonePenalty
	}
	if took := candidate.Load.Latency(); usual > 0 && took > usual {
		total += policy.SlowPenalty * math.Log2(float64(took)/float64(usual))
	}
	return rating{taken: taken, total: total}
}

// usualTime gives the mean smoothed time of the candidates, that others are
// measured by.
func usualTime(candidates []*Candidate) time.Duration {
	var sum time.Duration
	count := 0
	for _, candidate := range candidates {
		if took := candidate.Load.Latency(); took > 0 {
			sum += took
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / time.Duration(count)
}

// usualPriority is the rank that gets no extra room.
const usualPriority = 2

func limitOf(policy Policy, pool *Pool, request Request) float64 {
	if pool.Engine == nil {
		return 1 + policy.PlainQueueAllowance
	}
	limit := 1 + policy.QueueAllowance
	if request.Retried || request.Resumed {
		limit = 1 + policy.RetryQueueAllowance
	}
	return limit + policy.UrgentQueueAllowance*float64(max(0, usualPriority-request.Priority))
}

// pauseOf tells when room is expected: after as much of a usual answer's time
// as the requests over the slots take to end, spread so that not all return at
// once.
func pauseOf(policy Policy, candidates []*Candidate, request Request) time.Duration {
	slots, inFlight := 0, 0
	for _, candidate := range candidates {
		slots += candidate.Slots
		inFlight += candidate.Load.InFlight()
	}
	usual := usualTime(candidates)
	if usual == 0 {
		usual = policy.ServiceTime
	}
	over := 1.0
	if slots > 0 {
		over = math.Max(0, float64(inFlight)/float64(slots)-0.8)
	}
	pause := time.Duration(over * float64(usual) * (0.7 + 0.6*request.Random))
	return min(max(pause, policy.MinRetryDelay), policy.MaxRetryDelay)
}
