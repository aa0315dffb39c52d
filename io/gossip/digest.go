package gossip

import (
	"maps"
	"slices"
)

// Copy returns a copy whose maps, which are not nil, and list Unresponsive are its
// own, so that Add and Subtract may change them. It shares Versions and Quarantined.
func (digest Digest) Copy() Digest {
	digest.InFlight = cloneCounts(digest.InFlight)
	digest.PendingTokens = cloneCounts(digest.PendingTokens)
	digest.Demand = maps.Clone(digest.Demand)
	if digest.Demand == nil {
		digest.Demand = map[string]int64{}
	}
	digest.Unresponsive = slices.Clone(digest.Unresponsive)
	return digest
}

// cloneCounts copies a map; it returns an empty one for nil.
func cloneCounts(counts map[string]int) map[string]int {
	if counts == nil {
		return map[string]int{}
	}
	return maps.Clone(counts)
}

// Add adds another node's digest to this one. The placement state is taken from the
// newer of the two.
func (digest *Digest) Add(other Digest) {
	for id, count := range other.InFlight {
		digest.InFlight[id] += count
	}
	for id, tokens := range other.PendingTokens {
		digest.PendingTokens[id] += tokens
	}
	for model, hostTime := range other.Demand {
		digest.Demand[model] += hostTime
	}
	for _, id := range other.Unresponsive {
		if !slices.Contains(digest.Unresponsive, id) {
			digest.Unresponsive = append(digest.Unresponsive, id)
		}
	}
	digest.HadRequests = digest.HadRequests || other.HadRequests
	if other.NewerThan(digest.Fence, digest.PlanCount) {
		digest.Fence, digest.PlanCount, digest.Quarantined = other.Fence, other.PlanCount, other.Quarantined
	}
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
