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
func Choose(policy Policy, pool *Pool, wish Wish) Decision {
	if pool == nil {
		return Refuse{Reason: ReasonNoService, ReturnAt: wish.Now.Add(policy.RetryLeast)}
	}
	candidates := pool.Plain
	if pool.Engine != nil {
		candidates = pool.Models[wish.Model]
	}
	limit := limitOf(policy, pool, wish)
	best, score := pick(policy, sample(policy, candidates, wish), wish)
	if best == nil || score.taken > limit {
		best, score = pick(policy, candidates, wish)
	}
	if best == nil {
		return Refuse{Reason: ReasonNoEndpoint, ReturnAt: wish.Now.Add(pauseOf(policy, candidates, wish))}
	}
	if score.taken > limit {
		return Refuse{Reason: ReasonFull, ReturnAt: wish.Now.Add(pauseOf(policy, candidates, wish))}
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
func sample(policy Policy, candidates []*Candidate, wish Wish) []*Candidate {
	if wish.Sample <= 0 || wish.Sample >= len(candidates) {
		return candidates
	}
	random := rand.New(rand.NewPCG(math.Float64bits(wish.Point), uint64(len(candidates))))
	order := random.Perm(len(candidates))
	drawn := make([]*Candidate, 0, wish.Sample+policy.SampleFar)
	near, far := wish.Sample, policy.SampleFar
	uniform := countNear(candidates) < policy.SampleZone
	for _, i := range order {
		candidate := candidates[i]
		switch {
		case uniform:
			if len(drawn) < wish.Sample {
				drawn = append(drawn, candidate)
			}
		case candidate.Near && near > 0:
			near--
			drawn = append(drawn, candidate)
		case !candidate.Near && far > 0:
			far--
			drawn = append(drawn, candidate)
		}
	}
	return drawn
}

func countNear(candidates []*Candidate) int {
	count := 0
	for _, candidate := range candidates {
		if candidate.Near {
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

func pick(policy Policy, candidates []*Candidate, wish Wish) (*Candidate, rating) {
	var best *Candidate
	score := rating{total: math.Inf(1)}
	usual := usualTime(candidates)
	for _, candidate := range candidates {
		if slices.Contains(wish.Tried, candidate.ID) || candidate.Load.Avoided(wish.Now) {
			continue
		}
		if candidate.Most > 0 && candidate.Load.Own() >= candidate.Most {
			continue
		}
		rated := rate(policy, candidate, wish, usual)
		if rated.total < score.total {
			best, score = candidate, rated
		}
	}
	return best, score
}

func rate(policy Policy, candidate *Candidate, wish Wish, usual time.Duration) rating {
	taken := float64(candidate.Load.InFlight()+1) / float64(max(candidate.Slots, 1))
	total := taken + policy.FailPenalty*candidate.Load.Failure(wish.Now) + policy.TieWidth*candidate.Offset
	if candidate.Read > 0 {
		left := max(wish.DueBy.Sub(wish.Now), policy.LeastDue)
		total += policy.PromptWeight * float64(candidate.Load.Unread()) / candidate.Read / left.Seconds()
	}
	if !candidate.Near {
		total += policy.FarPenalty
	}
	if took := candidate.Load.Took(); usual > 0 && took > usual {
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
		if took := candidate.Load.Took(); took > 0 {
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

func limitOf(policy Policy, pool *Pool, wish Wish) float64 {
	if pool.Engine == nil {
		return 1 + policy.PlainWaiting
	}
	limit := 1 + policy.Waiting
	if wish.Back || wish.Resumed {
		limit = 1 + policy.BackWaiting
	}
	return limit + policy.UrgentExtra*float64(max(0, usualPriority-wish.Priority))
}

// pauseOf tells when room is expected: after as much of a usual answer's time
// as the requests over the slots take to end, spread so that not all return at
// once.
func pauseOf(policy Policy, candidates []*Candidate, wish Wish) time.Duration {
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
	pause := time.Duration(over * float64(usual) * (0.7 + 0.6*wish.Point))
	return min(max(pause, policy.RetryLeast), policy.RetryMost)
}
