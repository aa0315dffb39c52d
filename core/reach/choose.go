package reach

import (
	"math"
	"math/rand/v2"
	"time"
)

// Choose returns the candidate with the lowest score for a request, or rejects
// the request if that candidate is too full to start it within the latency
// objective.
//
// A candidate's score is its utilization, which is the requests of all nodes in
// flight there over its slots, plus penalties for another zone, failures and
// slowness. For example, with the new request a replica in this zone has 8 of
// 17 slots taken (0.47) and one in another zone has 6 (0.35 + 0.12 = 0.47):
// they score alike, and a tie-break value decides, which is a constant of the
// node and the endpoint, so that nodes with the same stale loads choose
// differently. Prompts whose prefill is pending add the time that their prefill
// will take, as a fraction of the request's time left.
//
// Choose takes this node's turn at the candidate, if that has stated a limit.
//
// A sample of the candidates is compared first, and all of them if the sample
// has no room. Rejecting is cheaper than queueing beyond the objective: a
// request that waits takes its slot late and delays the next ones too.
func Choose(policy Policy, servicepool *ServicePool, request Request) Decision {
	if servicepool == nil {
		return Reject{Reason: ReasonNoService, RetryAt: request.Now.Add(policy.MinRetryDelay)}
	}
	candidates := servicepool.candidatesFor(request)
	if len(candidates) == 0 && request.Homes.Restricted() {
		return Reject{Reason: ReasonNoHome, RetryAt: retryAt(policy, nil, request)}
	}
	limit := maxUtilization(policy, servicepool, request)
	for {
		best, bestScore := pick(policy, withColdTurns(sample(policy, candidates, request), candidates, request), request)
		if best == nil || bestScore.utilization > limit {
			best, bestScore = pick(policy, candidates, request)
		}
		if best == nil && anyMemoryFull(candidates, request) {
			return Reject{Reason: ReasonMemory, RetryAt: retryAt(policy, candidates, request)}
		}
		if best == nil {
			return Reject{Reason: reasonWithout(candidates, request.Now), RetryAt: retryAt(policy, candidates, request)}
		}
		if bestScore.utilization > limit {
			return Reject{Reason: ReasonFull, RetryAt: request.Now.Add(retryDelay(policy, candidates, request))}
		}
		if policy.late(candidates, request) {
			return Reject{Reason: ReasonLate, RetryAt: request.Now.Add(retryDelay(policy, candidates, request))}
		}
		if best.Load.TakeTurn(request.Now) {
			return Send{Candidate: best}
		}
		// Another request has taken the turn, so that the candidate is limited now.
	}
}

// HasRoom reports whether Choose would send the request somewhere. It takes no turn.
func HasRoom(policy Policy, servicepool *ServicePool, request Request) bool {
	if servicepool == nil {
		return false
	}
	best, bestScore := pick(policy, servicepool.candidatesFor(request), request)
	return best != nil && bestScore.utilization <= maxUtilization(policy, servicepool, request)
}

// candidates returns the endpoints that may take a request for a model, or for the
// plain service.
func (servicepool *ServicePool) candidates(model string) []*Candidate {
	if servicepool.Engine != nil {
		return servicepool.Models[model]
	}
	return servicepool.Plain
}

// reasonWithout returns why none of the candidates takes a request.
func reasonWithout(candidates []*Candidate, now time.Time) Reason {
	for _, candidate := range candidates {
		if candidate.Load.Limited(now) {
			return ReasonLimited
		}
	}
	return ReasonNoEndpoint
}

// sample draws random candidates for a request. Where this zone has many, it
// draws some of this zone and a few of the others, else some of all zones
// alike.
//
// Many nodes that all choose the least loaded replica of the same stale
// snapshot overload it before the next snapshot: 35 requests in half a second
// go to one of seven. Taking the better of two drawn at random spreads them
// nearly as well as current loads would. Of 60 replicas in four zones, 3 drawn
// from all zones alike include none of this zone for two fifths of the
// requests; drawing 3 of its 15 and 2 of the others keeps requests in the zone
// while it has room. A model with 12 replicas is sampled from all zones, since
// the load of its 3 replicas here seldom equals that of the others.
func sample(policy Policy, candidates []*Candidate, request Request) []*Candidate {
	if request.SampleSize <= 0 || request.SampleSize >= len(candidates) {
		return candidates
	}
	random := rand.New(rand.NewPCG(math.Float64bits(request.Random), uint64(len(candidates))))
	order := random.Perm(len(candidates))
	drawn := make([]*Candidate, 0, request.SampleSize+policy.SampleOtherZones)
	sameZoneLeft, otherZoneLeft := request.SampleSize, policy.SampleOtherZones
	uniform := countSameZone(candidates) < policy.ZonalSampleMin && !staysHome(policy, candidates, request)
	for _, i := range order {
		candidate := candidates[i]
		switch {
		case uniform:
			if len(drawn) < request.SampleSize {
				drawn = append(drawn, candidate)
			}
		case candidate.SameZone && sameZoneLeft > 0:
			sameZoneLeft--
			drawn = append(drawn, candidate)
		case !candidate.SameZone && otherZoneLeft > 0:
			otherZoneLeft--
			drawn = append(drawn, candidate)
		}
	}
	return drawn
}

func countSameZone(candidates []*Candidate) int {
	count := 0
	for _, candidate := range candidates {
		if candidate.SameZone {
			count++
		}
	}
	return count
}

// score rates a candidate; lower is better.
type score struct {
	utilization float64 // requests in flight, the new one included, over the slots
	total       float64 // utilization plus penalties
}

// pick returns the candidate with the lowest score, or nil if there is none. It
// skips those that are not usable for the request.
func pick(policy Policy, candidates []*Candidate, request Request) (*Candidate, score) {
	var best *Candidate
	bestScore := score{total: math.Inf(1)}
	mean := meanAnswerTime(candidates)
	timeLeft := max(request.Deadline.Sub(request.Now), policy.MinTimeLeft).Seconds()
	var crosszone crosszone
	for _, candidate := range candidates {
		if !candidate.usable(request) {
			continue
		}
		score := scoreOf(policy, candidate, request, mean, timeLeft)
		if !candidate.SameZone {
			if !crosszone.compared {
				crosszone = newCrossZone(candidates, request, timeLeft)
			}
			score.total += crosszone.penalty(&policy, candidate)
		}
		if score.total < bestScore.total {
			best, bestScore = candidate, score
		}
	}
	return best, bestScore
}

// takesRequests reports whether new requests may be sent to the candidate.
func (candidate *Candidate) takesRequests(now time.Time) bool {
	load := candidate.Load
	return !load.Unreachable(now) && !load.Avoided(now) && !load.BackedOff(now) && !load.Leaving(candidate.StartedAt) && !load.Limited(now)
}

// scoreOf rates a candidate, given the mean answer time of all and the seconds until
// the answer should begin. What another zone costs is added to it.
func scoreOf(policy Policy, candidate *Candidate, request Request, mean time.Duration, timeLeft float64) score {
	utilization := float64(candidate.Load.InFlight()+1) / float64(max(candidate.Slots, 1))
	total := utilization + policy.FailPenalty*candidate.Load.FailureRate(request.Now) + policy.TieBreakWeight*candidate.TieBreak
	if candidate.PrefillTokensPerSec > 0 {
		total += policy.PromptWeight * float64(candidate.Load.PendingTokens()) / candidate.PrefillTokensPerSec / timeLeft
	}
	if answerTime := candidate.Load.AnswerTime(); mean > 0 && answerTime > mean {
		total += policy.SlowPenalty * math.Log2(float64(answerTime)/float64(mean))
	}
	return score{utilization: utilization, total: total}
}

// meanAnswerTime returns the mean of the candidates' smoothed answer times, or 0
// before the first sample.
func meanAnswerTime(candidates []*Candidate) time.Duration {
	var sum time.Duration
	count := 0
	for _, candidate := range candidates {
		if answerTime := candidate.Load.AnswerTime(); answerTime > 0 {
			sum += answerTime
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / time.Duration(count)
}

// normalPriority is the most urgent priority that gets no urgent allowance.
const normalPriority = 2

// maxUtilization returns the utilization above which a request is rejected.
func maxUtilization(policy Policy, servicepool *ServicePool, request Request) float64 {
	if servicepool.Engine == nil {
		return 1 + policy.PlainQueueAllowance
	}
	limit := 1 + policy.QueueAllowance
	if request.Retried || request.Resumed {
		limit = 1 + policy.RetryQueueAllowance
	}
	return limit + policy.UrgentQueueAllowance*float64(max(0, normalPriority-request.Priority))
}

// retryAt returns when a caller may retry a request for which there is no candidate.
// If all of them have asked for a backoff or stated limits, that is when the first one
// takes a request again, plus a random part of the time over which callers should
// return, so that they do not all return at once.
func retryAt(policy Policy, candidates []*Candidate, request Request) time.Time {
	earliest := request.Now.Add(retryDelay(policy, candidates, request))
	var earliestEnd time.Time
	var spread time.Duration
	for _, candidate := range candidates {
		if candidate.Load.Leaving(candidate.StartedAt) {
			continue
		}
		until, spreadOver := candidate.Load.pausedUntil(request.Now)
		if !until.After(request.Now) {
			return earliest
		}
		if earliestEnd.IsZero() || until.Before(earliestEnd) {
			earliestEnd, spread = until, spreadOver
		}
	}
	if earliestEnd.IsZero() {
		return earliest
	}
	return earliestEnd.Add(time.Duration(request.Random * float64(spread)))
}

// backoffSpread is the fraction of a backoff over which callers return after it.
const backoffSpread = 0.3

// retryDelay estimates how long it takes until the candidates have room again:
// the mean answer time times the utilization above 0.8, or just the mean answer
// time if the candidates have no slots. The delay is randomly up to 30 % shorter
// or longer, so that callers do not all retry at once.
func retryDelay(policy Policy, candidates []*Candidate, request Request) time.Duration {
	slots, inFlight := 0, 0
	for _, candidate := range candidates {
		slots += candidate.Slots
		inFlight += candidate.Load.InFlight()
	}
	answerTime := meanAnswerTime(candidates)
	if answerTime == 0 {
		answerTime = policy.InitialAnswerTime
	}
	excess := 1.0
	if slots > 0 {
		excess = math.Max(0, float64(inFlight)/float64(slots)-0.8)
	}
	delay := time.Duration(excess * float64(answerTime) * (0.7 + 0.6*request.Random))
	return min(max(delay, policy.MinRetryDelay), policy.MaxRetryDelay)
}
