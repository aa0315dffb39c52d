package gossip

import (
	"maps"
	"slices"
)

// Copy gives a digest that shares nothing with this one.
func (digest Digest) Copy() Digest {
	digest.InFlight = copyOf(digest.InFlight)
	digest.Prompts = copyOf(digest.Prompts)
	digest.Asked = maps.Clone(digest.Asked)
	if digest.Asked == nil {
		digest.Asked = map[string]int64{}
	}
	digest.Lost = slices.Clone(digest.Lost)
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
	for id, tokens := range other.Prompts {
		digest.Prompts[id] += tokens
	}
	for model, work := range other.Asked {
		digest.Asked[model] += work
	}
	for _, id := range other.Lost {
		if !slices.Contains(digest.Lost, id) {
			digest.Lost = append(digest.Lost, id)
		}
	}
	digest.Visited = digest.Visited || other.Visited
	if other.Later(digest.Fence, digest.Turn) {
		digest.Fence, digest.Turn, digest.Held = other.Fence, other.Turn, other.Held
	}
}

// Later tells whether a digest has newer word of who places than that of a
// fencing number and turn.
func (digest Digest) Later(fence, turn int64) bool {
	return digest.Fence > fence || digest.Fence == fence && digest.Turn > turn
}

// Take takes one node's requests out of a sum.
func (digest *Digest) Take(other Digest) {
	take(digest.InFlight, other.InFlight)
	take(digest.Prompts, other.Prompts)
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
