package route

import (
	"math"
	"time"
)

// Request is what routing needs to know of a request.
type Request struct {
	Now        time.Time
	PrefixHash uint64   // hash of the start of its prompt; 0 for none
	Salt       uint64   // random, for the jitter
	Avoid      []string // IDs of replicas that failed it before
}

// None is the index that Pick returns when no replica is usable.
const None = -1

// Pick returns the index of the replica to use, or None. It allocates nothing.
//
// The cost of a replica estimates the time to the first token: its batch, its
// queue and its distance, less the prefill time that a cached prefix saves. The
// two replicas that rank highest for the prefix by rendezvous hashing are
// assumed to have it cached, the second for half of the saving, so that every
// node sends prompts with the same start to the same replicas without
// coordination. Load is the streams of other nodes there, smoothed over reports
// that lag, plus the requests of this node in flight now. Jitter keeps the
// nodes from all choosing the one replica that looks idle.
func (table *Table) Pick(request Request) int {
	now := int64(request.Now.Sub(table.Start))
	best, first, second := noCandidate, noCandidate, noCandidate
	for i := range table.Replicas {
		replica := &table.Replicas[i]
		current := candidate{index: i, cost: unusable, weight: Mix(request.PrefixHash ^ replica.Hash)}
		if replica.State.completeUntil.Load() > now && !avoided(request.Avoid, replica.ID) {
			current.cost = cost(table.cost(replica, request.Salt))
		}
		if current.cost < best.cost {
			best = current
		}
		if replica.Ejected || request.PrefixHash == 0 {
			continue
		}
		switch {
		case first.index == None || current.weight > first.weight:
			first, second = current, first
		case second.index == None || current.weight > second.weight:
			second = current
		}
	}
	best = cheaper(best, first, table.Policy.WarmPrefix)
	return cheaper(best, second, table.Policy.WarmPrefix/2).index
}

// candidate is a replica with its cost and its rank for the prefix.
type candidate struct {
	index  int
	cost   cost
	weight uint64 // rendezvous hash of the replica and the prefix
}

// cost estimates the time to the first token, less the saving of a cached prefix. It
// may be negative.
type cost time.Duration

// unusable is the cost of a replica that must not be used.
const unusable = cost(math.MaxInt64)

var noCandidate = candidate{index: None, cost: unusable}

// cheaper returns the cheaper of two candidates after the bonus for a cached prefix
// is subtracted from the cost of warm.
func cheaper(best, warm candidate, bonus time.Duration) candidate {
	if warm.cost == unusable {
		return best
	}
	warm.cost -= cost(bonus)
	if warm.cost < best.cost || warm.index == best.index {
		return warm
	}
	return best
}

func avoided(avoid []string, id string) bool {
	for _, name := range avoid {
		if name == id {
			return true
		}
	}
	return false
}

func (table *Table) cost(replica *Replica, salt uint64) time.Duration {
	load := EstimatedStreams(replica)
	streams := max(replica.MaxStreams, 1)
	cost := table.Policy.FullBatch
	if load < streams {
		cost = time.Duration(float64(cost) * float64(load) / float64(streams))
	}
	if load > streams {
		cost += table.Policy.QueuedStream * time.Duration(load-streams)
	}
	switch replica.Distance {
	case SameRegion:
		cost += table.Policy.OtherZone
	case OtherRegion:
		cost += table.Policy.OtherZone + table.Policy.OtherRegion
	}
	if replica.Ejected {
		cost += ejectedCost
	}
	return cost + table.jitter(salt^replica.Hash)
}

// ejectedCost makes an ejected replica the last resort.
const ejectedCost = time.Hour

// jitter scales 32 random bits to a duration from 0 up to the policy's Jitter,
// without a division.
func (table *Table) jitter(seed uint64) time.Duration {
	scaled := time.Duration(Mix(seed) >> 32 * uint64(table.Policy.Jitter) >> 32)
	return scaled
}

// EstimatedStreams estimates the number of streams at a replica now.
func EstimatedStreams(replica *Replica) int {
	return replica.OtherStreams + replica.State.InFlight()
}

// Mix spreads the bits of a number evenly; it is the mixing function of SplitMix64.
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
