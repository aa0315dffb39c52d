package limit

import (
	"slices"
	"time"
)

// Cold is what a cold endpoint takes. In no second may more than PerSecond x Over + Slack
// requests of all nodes together arrive there.
type Cold struct {
	PerSecond float64
	Over      float64
	Slack     float64
}

// coldSpacing is the time over which a node spreads what it may send in one second. Requests
// that leave a second apart arrive closer together if the first one takes longer.
const coldSpacing = 1150 * time.Millisecond

// most returns how many requests may arrive in any second.
func (cold Cold) most() int { return int(cold.PerSecond*cold.Over + cold.Slack) }

// ownersShare returns how many requests the owners together may send in any second, which is also
// how many owners there are at most. It is 0 for an endpoint that takes none.
func (cold Cold) ownersShare() int {
	if cold.most() < 1 || cold.PerSecond <= 0 {
		return 0
	}
	return max(1, cold.most()/2)
}

// ColdShare returns how many requests a second the node self may send to a cold endpoint.
// It is 0 for all nodes but the owners of the endpoint's quota, which are the members that
// come first by a hash of their names and the endpoint's, and 0 for a node that is not
// among the members: it does not know enough to be sure.
//
// A node that spaces its requests evenly sends at most one more in a second than its share
// of it, so a quota that was divided among all of 79 nodes would let 79 requests through
// at once. The owners together send at most half of what the endpoint takes in any second:
// in a partition the other side may have as many other owners. For example, with 14
// requests a second, and 26 at most in any second, 13 owners send one in 1.15 s each, for
// 11.3 a second. Of 3 nodes each sends 4 in 1.15 s.
//
// The members are the rows of the nodes table, also those of nodes that do not answer: a
// partition changes no row. While rows are removed or added, the nodes that take
// themselves for owners are those of the oldest list in use and those of the newest.
func ColdShare(endpoint, self string, cold Cold, members []string) float64 {
	ownersShare := cold.ownersShare()
	owners := min(len(members), ownersShare)
	if owners == 0 || !ranksWithin(endpoint, self, members, owners) {
		return 0
	}
	share := float64(ownersShare/owners) / coldSpacing.Seconds()
	return min(share, cold.PerSecond/float64(owners))
}

// ranksWithin reports whether a node is one of the first members by rank, and a member.
func ranksWithin(endpoint, self string, members []string, first int) bool {
	var buffer [rankBufferBytes]byte
	prefix := append(append(buffer[:0], endpoint...), '/')
	own := ranked{node: Node{Name: self}, rank: rank(prefix, self)}
	before, member := 0, false
	for _, name := range members {
		if name == self {
			member = true
			continue
		}
		if (ranked{node: Node{Name: name}, rank: rank(prefix, name)}).compare(own) < 0 {
			before++
		}
	}
	return member && before < first
}

// ColdOwners returns the members that may send requests to a cold endpoint; see ColdShare.
func ColdOwners(endpoint string, cold Cold, members []string) []string {
	most := cold.ownersShare()
	if most == 0 {
		return nil
	}
	prefix := append([]byte(endpoint), '/')
	ordered := make([]ranked, 0, len(members))
	for _, name := range members {
		ordered = append(ordered, ranked{node: Node{Name: name}, rank: rank(prefix, name)})
	}
	slices.SortFunc(ordered, ranked.compare)
	owners := []string{}
	for _, ranked := range ordered[:min(len(ordered), most)] {
		owners = append(owners, ranked.node.Name)
	}
	return owners
}
