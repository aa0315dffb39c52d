package subset

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

const (
	minNodes = 100 // up to which all nodes use all endpoints
	minShare = 4   // connections of a node that uses an endpoint
)

// Node is a node as an endpoint sees it.
type Node struct {
	Name     string
	SameZone bool // in the endpoint's zone
}

// Users returns how many of the nodes use an endpoint that accepts a number of
// connections from all of them. It is 0 if the number is not stated.
func Users(accepted, nodes int) int {
	if nodes < minNodes || accepted <= 0 {
		return nodes
	}
	return min(nodes, max(1, accepted/minShare))
}

// Uses reports whether the first of the nodes is one of the users of an endpoint. These
// are the nodes of its zone, then others, each in the order of a hash of both names, so
// that a node that comes or goes changes no other pair of node and endpoint than its own
// and, for each endpoint of its, the one that is next.
func Uses(endpoint string, nodes []Node, users int) bool {
	if users >= len(nodes) {
		return true
	}
	var buffer [nameBytes]byte
	prefix := append(append(buffer[:0], endpoint...), '/')
	self, before := newRanked(prefix, nodes[0]), 0
	for _, node := range nodes[1:] {
		if newRanked(prefix, node).compare(self) < 0 {
			before++
		}
		if before >= users {
			return false
		}
	}
	return true
}

// nameBytes holds the names of an endpoint and a node of the usual length; longer ones
// need an allocation.
const nameBytes = 128

// ranked is a node with its rank at an endpoint.
type ranked struct {
	node Node
	rank uint64
}

func newRanked(prefix []byte, node Node) ranked {
	return ranked{node: node, rank: xxhash.Sum64(append(prefix, node.Name...))}
}

func (ranked ranked) compare(other ranked) int {
	if ranked.node.SameZone != other.node.SameZone {
		if ranked.node.SameZone {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(ranked.rank, other.rank), cmp.Compare(ranked.node.Name, other.node.Name))
}
