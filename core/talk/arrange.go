package talk

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MostMesh is the number of nodes up to which each talks to every other: with
// 12, a node makes or takes 11 exchanges in each round.
const MostMesh = 12

// Node is a node as another one sees it.
type Node struct {
	Name string
	Zone string
	Down bool // it did not answer lately
}

// Part is what one node does among the others.
type Part struct {
	Mesh    bool     // all nodes talk to all
	Leads   bool     // it reads the platform's tables for its zone, and sums its zone up
	Leader  string   // of its zone
	Leaders []string // of all zones
	Calls   []string // the nodes that it calls in each round
	Size    int      // nodes of its zone, itself included
}

// Arrange gives a node's part. In every zone the first node that is not down,
// in an order that all nodes work out alike, leads.
//
// Few nodes form a mesh; of two, the one with the smaller name calls, since the
// answer brings the other's state. Of many, each calls the leader of its zone,
// whose answer sums up all others; leaders call one another. For example, 390
// nodes in 17 zones make 373 calls to leaders and 136 between them in a round,
// where a mesh would make 76,000.
func Arrange(self Node, others []Node) Part {
	part := Part{Mesh: len(others) < MostMesh, Size: 1}
	leaders := leadersOf(self, others)
	part.Leader = leaders[self.Zone]
	part.Leaders = slices.Sorted(maps.Values(leaders))
	part.Leads = part.Leader == self.Name
	for _, other := range others {
		if other.Zone == self.Zone {
			part.Size++
		}
		if calls(part, self, other, leaders) {
			part.Calls = append(part.Calls, other.Name)
		}
	}
	slices.Sort(part.Calls)
	return part
}

func calls(part Part, self, other Node, leaders map[string]string) bool {
	switch {
	case part.Mesh:
		return self.Name < other.Name || other.Down
	case part.Leads && other.Zone != self.Zone:
		leader := leaders[other.Zone]
		return leader == other.Name && self.Name < other.Name || other.Down && before(other, Node{Name: leader})
	case part.Leads:
		return other.Down && before(other, self) // whether the one that should lead is back
	default:
		return other.Zone == self.Zone && (leaders[self.Zone] == other.Name || other.Down && before(other, self))
	}
}

func leadersOf(self Node, others []Node) map[string]string {
	leaders := map[string]Node{self.Zone: self}
	for _, other := range others {
		first, found := leaders[other.Zone]
		if !other.Down && (!found || before(other, first)) {
			leaders[other.Zone] = other
		}
	}
	names := map[string]string{}
	for zone, node := range leaders {
		names[zone] = node.Name
	}
	return names
}

// before orders the nodes of a zone by a hash, so that the zone's first node
// says nothing about its host.
func before(a, b Node) bool {
	hashA, hashB := xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)
	if hashA != hashB {
		return hashA < hashB
	}
	return a.Name < b.Name
}
