package topo

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxMeshNodes is the number of nodes up to which every node exchanges digests
// with every other: with 12, a node takes part in 11 exchanges in each round.
const MaxMeshNodes = 12

// Node is what a node knows of itself or of another node.
type Node struct {
	Name         string
	Zone         string
	Unresponsive bool    // it has not replied recently
	WithoutStore bool    // the store does not answer it, but does answer other nodes
	CutOff       bool    // endpoints do not answer it, but do answer other nodes
	Capacity     float64 // of its processor, as a multiple of one core; 0 if not stated
}

// passedOver reports whether a node should not lead its zone now.
func (node Node) passedOver() bool { return node.Unresponsive || node.WithoutStore || node.CutOff }

// Role is a node's part in the exchange of digests.
type Role struct {
	Mesh     bool              // every node exchanges digests with every other
	IsLeader bool              // it reads the platform's tables and aggregates the digests for its zone
	Leader   string            // leader of its zone
	Leaders  []string          // leaders of all zones
	ByZone   map[string]string // the same by zone
	Peers    []string          // nodes with which it starts an exchange in each round
	ZoneSize int               // number of nodes of its zone, itself included
}

// Assign returns the role of the node self. The leader of a zone is its first
// node that is not unresponsive, in an order that is the same at all nodes; nodes
// that the store answers come before all others, and of those the ones that
// endpoints answer.
//
// Up to MaxMeshNodes nodes form a mesh. Of each pair, only the node with the
// smaller name starts an exchange, since the reply brings the other's state. Of
// more nodes, each starts an exchange with the leader of its zone, whose reply
// aggregates all other nodes, and leaders exchange with one another. For
// example, 390 nodes in 17 zones make 373 exchanges with leaders and 136
// between leaders in a round, where a mesh would make 76,000.
func Assign(self Node, others []Node) Role {
	role := Role{Mesh: len(others) < MaxMeshNodes, ZoneSize: 1}
	leaders := leadersOf(self, others)
	role.Leader = leaders[self.Zone].Name
	role.ByZone = map[string]string{}
	for zone, leader := range leaders {
		role.ByZone[zone] = leader.Name
	}
	role.Leaders = slices.Sorted(maps.Values(role.ByZone))
	role.IsLeader = role.Leader == self.Name
	for _, other := range others {
		if other.Zone == self.Zone {
			role.ZoneSize++
		}
		if startsExchange(role, self, other, leaders) {
			role.Peers = append(role.Peers, other.Name)
		}
	}
	slices.Sort(role.Peers)
	return role
}

// startsExchange reports whether self starts an exchange with other in each round.
// A node that is unresponsive starts none itself, so others try to reach it in
// order to notice its return. Those that it would exchange with as a leader also
// ask one that is without the store, in order to notice when it may lead again.
func startsExchange(role Role, self, other Node, leaders map[string]Node) bool {
	switch {
	case role.Mesh:
		return self.Name < other.Name || other.Unresponsive
	case role.IsLeader && other.Zone != self.Zone:
		leader, found := leaders[other.Zone]
		if !found {
			return true // no node of that zone is responsive
		}
		return leader.Name == other.Name && self.Name < other.Name || other.passedOver() && precedes(other, leader)
	case role.IsLeader:
		return other.passedOver() && precedes(other, self) // it should lead once it is back
	default:
		return other.Zone == self.Zone && (leaders[self.Zone].Name == other.Name || other.passedOver() && precedes(other, self))
	}
}

// leadersOf returns the leader of each zone.
func leadersOf(self Node, others []Node) map[string]Node {
	leaders := map[string]Node{self.Zone: self}
	for _, other := range others {
		leader, found := leaders[other.Zone]
		if !other.Unresponsive && (!found || leadsBefore(other, leader)) {
			leaders[other.Zone] = other
		}
	}
	return leaders
}

// leadsBefore reports whether a leads rather than b, if both are responsive.
func leadsBefore(a, b Node) bool {
	if a.WithoutStore != b.WithoutStore {
		return b.WithoutStore
	}
	if a.CutOff != b.CutOff {
		return b.CutOff
	}
	return precedes(a, b)
}

// precedes orders the nodes of a zone: those with the strongest processor first, since
// a leader answers all nodes of its zone, and equal ones by a hash of their names.
func precedes(a, b Node) bool {
	if a.Capacity != b.Capacity {
		return a.Capacity > b.Capacity
	}
	hashA, hashB := xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)
	if hashA != hashB {
		return hashA < hashB
	}
	return a.Name < b.Name
}
