package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Observation is what an endpoint said of its limit in an answer.
type Observation struct {
	StartedAt time.Time // of the incarnation that said so
	Limited   bool      // it has stated a limit
	PerSecond float64   // the limit, for all nodes together
	At        time.Time // when the answer came
}

// NewerThan reports whether the observation replaces another one of the same endpoint.
func (observation Observation) NewerThan(other Observation) bool {
	if !observation.StartedAt.Equal(other.StartedAt) {
		return observation.StartedAt.After(other.StartedAt)
	}
	return observation.At.After(other.At)
}

// SaysTheSame reports whether both observations state the same of the same incarnation.
func (observation Observation) SaysTheSame(other Observation) bool {
	return observation.StartedAt.Equal(other.StartedAt) && observation.Limited == other.Limited && observation.PerSecond == other.PerSecond
}

// Node is a node that sends requests to a service.
type Node struct {
	Name string
	Rate float64 // requests a second that it has lately received for the service
}

const (
	minPerSecond = 0.1 // a lower limit counts as this, so that a node learns of its end
	minWeight    = 0.2 // of a node without requests, as a fraction of the mean
	baseNodes    = 4   // nodes that may use an endpoint whose limit is 0
)

// Share returns how many requests a second the first of the nodes may send to an
// endpoint that takes perSecond from all of them. It is 0 if others use the endpoint.
//
// Each node gets a share by the requests that it receives. A node that spaces its
// requests evenly sends at most one more in a window than its share of it, and so do
// all the others: with a limit of 0.5 a second, 390 nodes would send 390 requests at
// once. So only as many nodes use an endpoint as the limit can bear, those that come
// first by a hash of their names and the endpoint's. For example, with a limit of
// 1.2 a second 5 of 6 nodes use the endpoint, for 4.8 + 5 requests in 4 s at most.
// Every node computes the same from the same list of nodes. Where the lists differ for
// a moment, the sum of the shares does too, by as much.
func Share(endpoint string, perSecond float64, nodes []Node) float64 {
	perSecond = max(perSecond, minPerSecond)
	self, users := nodes[0].Name, nodes
	if most := baseNodes + int(perSecond); len(users) > most {
		if users = firstByRank(endpoint, nodes, most); users == nil {
			return 0
		}
	}
	sum := 0.0
	for _, user := range users {
		sum += user.Rate
	}
	mean := sum / float64(len(users))
	weights, own := 0.0, 0.0
	for _, user := range users {
		weight := max(user.Rate, minWeight*mean)
		if sum == 0 {
			weight = 1
		}
		weights += weight
		if user.Name == self {
			own = weight
		}
	}
	return perSecond * own / weights
}

// ranked is a node with its rank at an endpoint.
type ranked struct {
	node Node
	rank uint64
}

func (ranked ranked) compare(other ranked) int {
	return cmp.Or(cmp.Compare(ranked.rank, other.rank), cmp.Compare(ranked.node.Name, other.node.Name))
}

// firstByRank returns the nodes that come first, most of them, or nil if the first of the
// list is not among them. That is so for nearly all of many nodes, so it is decided
// before anything is sorted.
func firstByRank(endpoint string, nodes []Node, most int) []Node {
	var buffer [rankBufferBytes]byte
	prefix := append(append(buffer[:0], endpoint...), '/')
	self := ranked{node: nodes[0], rank: rank(prefix, nodes[0].Name)}
	before := 0
	for _, node := range nodes[1:] {
		if (ranked{node: node, rank: rank(prefix, node.Name)}).compare(self) < 0 {
			before++
		}
		if before == most {
			return nil
		}
	}
	ordered := make([]ranked, 0, len(nodes))
	for _, node := range nodes {
		ordered = append(ordered, ranked{node: node, rank: rank(prefix, node.Name)})
	}
	slices.SortFunc(ordered, ranked.compare)
	first := make([]Node, 0, most)
	for _, ranked := range ordered[:most] {
		first = append(first, ranked.node)
	}
	return first
}

const rankBufferBytes = 128 // for names of the usual length; longer ones need an allocation

// rank hashes the names of an endpoint, with a slash behind it, and a node.
func rank(prefix []byte, node string) uint64 { return xxhash.Sum64(append(prefix, node...)) }
