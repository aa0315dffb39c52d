package route

import (
	"math"
	"time"
)

// Request is what routing needs to know of a request; Prefix identifies the
// start of its prompt, Salt is random, and Avoid names replicas that failed it.
type Request struct {
	Now    time.Time
	Prefix uint64
	Salt   uint64
	Avoid  []string
}

// None is the index that Pick gives when no replica may serve.
const None = -1

// Pick gives the index of the replica to use. It allocates nothing.
//
// The cost of a replica is an estimate of the time to the first token: its
// batch, its queue, its distance, less what a warm prefix saves. The two
// replicas that rank highest for the prefix by rendezvous hashing count as
// warm, so every node sends a prompt's start to the same places without a word
// between them. Load is what other nodes have there, smoothed over reports that
// lag, plus what this node has in flight now. Jitter parts the nodes
// that would otherwise all run to one replica that looks idle.
func (table *Table) Pick(request Request) int {
	now := int64(request.Now.Sub(table.Start))
	best, first, second := absent, absent, absent
	for i := range table.Replicas {
		replica := &table.Replicas[i]
		this := candidate{index: i, cost: never, weight: Mix(request.Prefix ^ replica.Hash)}
		if replica.State.until.Load() > now && !avoided(request.Avoid, replica.ID) {
			this.cost = cost(table.cost(replica, request.Salt))
		}
		if this.cost < best.cost {
			best = this
		}
		if replica.Ejected || request.Prefix == 0 {
			continue
		}
		switch {
		case first.index == None || this.weight > first.weight:
			first, second = this, first
		case second.index == None || this.weight > second.weight:
			second = this
		}
	}
	best = cheaper(best, first, table.Policy.WarmPrefix)
	return cheaper(best, second, table.Policy.WarmPrefix/2).index
}

// candidate is a replica with its cost and its rank for a prefix.
type candidate struct {
	index  int
	cost   cost
	weight uint64
}

// cost is an estimate of the time to the first token, less what speaks for a
// replica; it orders replicas and may be negative.
type cost time.Duration

// never is the cost of a replica that may not be used.
const never = cost(math.MaxInt64)

var absent = candidate{index: None, cost: never}

// cheaper gives the cheaper of two candidates when the second has a bonus.
func cheaper(plain, warm candidate, bonus time.Duration) candidate {
	if warm.cost == never {
		return plain
	}
	warm.cost -= cost(bonus)
	if warm.cost < plain.cost || warm.index == plain.index {
		return warm
	}
	return plain
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
	load := Load(replica)
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

// ejectedCost keeps an ejected replica as the last resort.
const ejectedCost = time.Hour

// jitter scales 32 random bits to the policy's jitter without a division.
func (table *Table) jitter(seed uint64) time.Duration {
	scaled := time.Duration(Mix(seed) >> 32 * uint64(table.Policy.Jitter) >> 32)
	return scaled
}

// Load estimates the streams at a replica now.
func Load(replica *Replica) int {
	return replica.OtherStreams + replica.State.InFlight()
}

// Mix spreads the bits of a number evenly, as the finalizer of SplitMix64 does.
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
