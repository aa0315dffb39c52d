package reach

import "hickorybend/core/batch"

// load returns what the candidate works on.
func (candidate *Candidate) load(request Request) batch.Load {
	pendingTokens := max(0, candidate.Load.PendingTokens())
	waiting := batch.Waiting(pendingTokens, request.PromptTokens)
	return batch.Load{Running: min(max(0, candidate.Load.InFlight()-waiting), candidate.Slots), PendingTokens: pendingTokens}
}

// late reports whether none of the candidates would begin the answer to a request within its
// objective, and each has others that the request would make later. The rest of a stream is never
// late, and nothing is if the speed of a candidate is not known.
func (policy Policy) late(candidates []*Candidate, request Request) bool {
	if policy.LateMargin <= 0 || request.Resumed {
		return false
	}
	timeLeft := float64(request.Deadline.Sub(request.Now))
	for _, candidate := range candidates {
		if !candidate.usable(request) {
			continue
		}
		first := candidate.Speed.Replica.FirstEvent(candidate.load(request), request.PromptTokens)
		if !candidate.Speed.Replica.Known() || policy.LateMargin*float64(first) <= timeLeft || candidate.quiet() {
			return false
		}
	}
	return true
}

// quiet reports whether a late request keeps no other from being on time.
func (candidate *Candidate) quiet() bool {
	return batch.Quiet(candidate.Load.InFlight(), candidate.Load.PendingTokens(), candidate.Slots)
}
