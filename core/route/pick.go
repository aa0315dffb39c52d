package route

import "time"

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
// between them. Load is what was last reported, less this node's own part in
// that report, plus what this node has in flight now. Jitter parts the nodes
// that would otherwise all run to one replica that looks idle.
func (table *Table) Pick(request Request) int {
	first, second := table.warm(request.Prefix)
	best, lowest := None, time.Duration(0)
	for i := range table.Replicas {
		if !table.eligible(i, request) {
			continue
		}
		cost := table.cost(i, request.Salt)
		switch i {
		case first:
			cost -= table.Policy.WarmPrefix
		case second:
			cost -= table.Policy.WarmPrefix / 2
		}
		if best == None || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

func (table *Table) eligible(index int, request Request) bool {
	replica := &table.Replicas[index]
	if !replica.Cell.Whole(table.Start, request.Now) {
		return false
	}
	for _, avoided := range request.Avoid {
		if avoided == replica.ID {
			return false
		}
	}
	return true
}

func (table *Table) warm(prefix uint64) (int, int) {
	if prefix == 0 {
		return None, None
	}
	first, second := None, None
	var high, next uint64
	for i := range table.Replicas {
		if table.Replicas[i].Ejected {
			continue
		}
		weight := Mix(prefix ^ table.Replicas[i].Hash)
		switch {
		case first == None || weight > high:
			second, next = first, high
			first, high = i, weight
		case second == None || weight > next:
			second, next = i, weight
		}
	}
	return first, second
}

func (table *Table) cost(index int, salt uint64) time.Duration {
	replica := &table.Replicas[index]
	load := Load(replica)
	streams := max(replica.Streams, 1)
	cost := table.Policy.FullBatch * time.Duration(min(load, streams)) / time.Duration(streams)
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

func (table *Table) jitter(seed uint64) time.Duration {
	if table.Policy.Jitter <= 0 {
		return 0
	}
	jitter := time.Duration(Mix(seed) % uint64(table.Policy.Jitter))
	return jitter
}

// Load estimates the streams at a replica now.
func Load(replica *Replica) int {
	others := max(replica.Reported-replica.OwnAtReport, 0)
	return others + replica.Cell.InFlight()
}

// Mix spreads the bits of a number evenly, as the finalizer of SplitMix64 does.
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
