package gossip

import (
	"maps"
	"slices"
)

// Copy gives a digest that shares nothing with this one.
func (digest Digest) Copy() Digest {
	digest.InFlight = copyOf(digest.InFlight)
	digest.PromptTokens = copyOf(digest.PromptTokens)
	digest.Demand = maps.Clone(digest.Demand)
	if digest.Demand == nil {
		digest.Demand = map[string]int64{}
	}
	digest.Unresponsive = slices.Clone(digest.Unresponsive)
	return digest
}

func copyOf(counts map[string]int) map[string]int {
	if counts == nil {
		return map[string]int{}
	}
	return maps.Clone(counts)
}

// Add sums another node's state up with this one.
func (digest *Digest) Add(other Digest) {
	for id, count := range other.InFlight {
		digest.InFlight[id] += count
	}
	for id, tokens := range other.PromptTokens {
		digest.PromptTokens[id] += tokens
	}
	for model, work := range other.Demand {
		digest.Demand[model] += work
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

// NewerThan tells whether a digest has newer word of who places than that of a
// fencing number and turn.
func (digest Digest) NewerThan(fence, turn int64) bool {
	return digest.Fence > fence || digest.Fence == fence && digest.PlanCount > turn
}

// Subtract takes one node's requests out of a sum.
func (digest *Digest) Subtract(other Digest) {
	take(digest.InFlight, other.InFlight)
	take(digest.PromptTokens, other.PromptTokens)
}

// take never goes below nothing: the sum may be older than what is taken.
func take(sum, part map[string]int) {
	for id, count := range part {
		sum[id] -= count
		if sum[id] <= 0 {
			delete(sum, id)
		}
	}
}
