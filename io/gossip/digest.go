package gossip

import (
	"maps"
	"slices"
	"time"
)

// Copy returns a copy whose maps, which are not nil, and lists Unresponsive, Answering,
// Asked, CutOff, Lost, Leaving, Crashes, Limits and Cold are its own, so that Add and Subtract may change them. It shares Versions, Quarantined and Cleared.
func (digest Digest) Copy() Digest {
	digest.InFlight = cloneCounts(digest.InFlight)
	digest.PendingTokens = cloneCounts(digest.PendingTokens)
	digest.HeldTokens = cloneCounts(digest.HeldTokens)
	digest.Demand = maps.Clone(digest.Demand)
	if digest.Demand == nil {
		digest.Demand = map[string]int64{}
	}
	digest.Unresponsive, digest.Lost, digest.Leaving = slices.Clone(digest.Unresponsive), slices.Clone(digest.Lost), slices.Clone(digest.Leaving)
	digest.Crashes, digest.Limits = digest.Crashes.copy(), slices.Clone(digest.Limits)
	digest.Cold = slices.Clone(digest.Cold)
	digest.Answering, digest.Asked, digest.CutOff = slices.Clone(digest.Answering), slices.Clone(digest.Asked), slices.Clone(digest.CutOff)
	digest.AnsweredAt = maps.Clone(digest.AnsweredAt)
	digest.Usable = cloneCounts(digest.Usable)
	digest.Requests = maps.Clone(digest.Requests)
	if digest.Requests == nil {
		digest.Requests = map[string]int64{}
	}
	return digest
}

// cloneCounts copies a map; it returns an empty one for nil.
func cloneCounts(counts map[string]int) map[string]int {
	if counts == nil {
		return map[string]int{}
	}
	return maps.Clone(counts)
}

// AddCounts adds the requests and tokens that digests count. Those of one call count the same
// requests, so the highest of each count is added.
func (digest *Digest) AddCounts(others ...Digest) {
	inFlight, pendingTokens, heldTokens, requests := map[string]int{}, map[string]int{}, map[string]int{}, map[string]int64{}
	for _, other := range others {
		Raise(inFlight, other.InFlight)
		Raise(pendingTokens, other.PendingTokens)
		Raise(heldTokens, other.HeldTokens)
		for service, count := range other.Requests {
			requests[service] = max(requests[service], count)
		}
	}
	for id, count := range inFlight {
		digest.InFlight[id] += count
	}
	for id, tokens := range pendingTokens {
		digest.PendingTokens[id] += tokens
	}
	for id, tokens := range heldTokens {
		digest.HeldTokens[id] += tokens
	}
	for service, count := range requests {
		digest.Requests[service] += count
	}
}

// AddReports adds what another node's digest reports, whatever it counts. The placement state
// is taken from the newer of the two. Asked stays: it is for the nodes that get the digest
// themselves.
func (digest *Digest) AddReports(other Digest) {
	digest.Unresponsive = addIDs(digest.Unresponsive, other.Unresponsive)
	digest.Lost = addIDs(digest.Lost, other.Lost)
	digest.Answering = addIDs(digest.Answering, other.Answering)
	digest.AnsweredAt = addAnswers(digest.AnsweredAt, other.AnsweredAt)
	digest.CutOff = addIDs(digest.CutOff, other.CutOff)
	for _, leaving := range other.Leaving {
		if !slices.Contains(digest.Leaving, leaving) {
			digest.Leaving = append(digest.Leaving, leaving)
		}
	}
	Raise(digest.Usable, other.Usable)
	digest.Late = digest.Late && other.Late
	digest.Crashes.add(other.Crashes)
	digest.Limits = addLimits(digest.Limits, other.Limits)
	digest.Cold = addCold(digest.Cold, other.Cold)
	digest.HadRequests = digest.HadRequests || other.HadRequests
	if other.NewerThan(digest.Fence, digest.PlanCount) {
		digest.Fence, digest.PlanCount, digest.Quarantined, digest.Cleared = other.Fence, other.PlanCount, other.Quarantined, other.Cleared
	}
}

// Raise raises counts to those of others, where these are higher.
func Raise(counts, others map[string]int) {
	for key, count := range others {
		counts[key] = max(counts[key], count)
	}
}

// addIDs adds the IDs that a list lacks.
func addIDs(ids, others []string) []string {
	for _, id := range others {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// NewerThan reports whether the digest's placement state is newer than one with the
// given fencing number and plan count.
func (digest Digest) NewerThan(fence, planCount int64) bool {
	return digest.Fence > fence || digest.Fence == fence && digest.PlanCount > planCount
}

// Subtract removes one node's requests in flight and pending tokens from a sum.
func (digest *Digest) Subtract(other Digest) {
	subtractCounts(digest.InFlight, other.InFlight)
	subtractCounts(digest.PendingTokens, other.PendingTokens)
	subtractCounts(digest.HeldTokens, other.HeldTokens)
}

// subtractCounts subtracts the counts from a sum, but never goes below zero: the
// sum may be older than the counts.
func subtractCounts(sum, counts map[string]int) {
	for id, count := range counts {
		sum[id] -= count
		if sum[id] <= 0 {
			delete(sum, id)
		}
	}
}

// WithAges returns the digest with its ages as of now. A digest is sent up to one
// round after it was built, or later if the node's control loop stands still.
func (digest Digest) WithAges(now time.Time) Digest {
	digest.Ages = make([]int64, len(digest.ConfirmedAt))
	for table, confirmedAt := range digest.ConfirmedAt {
		digest.Ages[table] = -1
		if !confirmedAt.IsZero() {
			digest.Ages[table] = int64(now.Sub(confirmedAt))
		}
	}
	digest.Crashes, digest.Limits, digest.AnswerAges = digest.Crashes.withAges(now), limitsWithAges(digest.Limits, now), answerAges(digest.AnsweredAt, now)
	digest.Evacuations, digest.Cold = EvacuationsOf(digest.Evacuated, now), coldWithAges(digest.Cold, now)
	return digest
}

// ConfirmedBy returns the time up to which the sender's copy of a table was
// complete, on the clock of a node that asked for the digest at askedAt. It
// reports false if the sender does not know. The sender built its reply after
// askedAt, so its copy was at most this old then.
func (digest Digest) ConfirmedBy(table int, askedAt time.Time) (time.Time, bool) {
	if len(digest.Ages) <= table || digest.Ages[table] < 0 || askedAt.IsZero() {
		return time.Time{}, false
	}
	return askedAt.Add(-time.Duration(digest.Ages[table])), true
}
