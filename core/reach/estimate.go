package reach

import "hickorybend/core/batch"

// load returns what the candidate works on. Nodes tell the tokens of the prompts that are
// pending there, not their number, so these are taken for as long as the request's own.
func (candidate *Candidate) load(request Request) batch.Load {
	pendingTokens := max(0, candidate.Load.PendingTokens())
	waiting := 0
	if pendingTokens > 0 {
		waiting = 1 + pendingTokens/max(1, request.PromptTokens)
	}
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

// quietShare is the fraction of its slots up to which a replica serves late requests if no prompt
// waits there.
const quietShare = 0.3

// quiet reports whether a late request keeps no other from being on time.
func (candidate *Candidate) quiet() bool {
	return candidate.Load.PendingTokens() <= 0 && float64(candidate.Load.InFlight()) < quietShare*float64(candidate.Slots)
}
