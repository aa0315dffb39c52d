package reach

import "time"

// Peers are the other nodes that may send a request on to endpoints which this node does
// not reach.
//
// For example, this node reaches 3 of 24 replicas, and all of them are full. A node in its
// zone uses all 24, so it gets the request. Were the 3 all that any node uses, the request
// would be rejected: another node has no more room.
type Peers struct {
	List      []Peer
	Preferred bool // this node has reason to doubt its own links to the endpoints
}

// Peer is another node.
type Peer struct {
	Candidate *Candidate     // with its address for requests between nodes
	Usable    map[string]int // endpoints that it sends requests to, by pool; see PoolKey
}

// PoolKey names the endpoints of a service, or its replicas with a model.
func PoolKey(service, model string) string {
	if model == "" {
		return service
	}
	return service + "/" + model
}

// CountUsable returns how many endpoints of each pool this node reaches and sends
// requests to, and where the configuration has home regions, also those in each region.
func (snapshot *Snapshot) CountUsable(now time.Time) map[string]int {
	counts := map[string]int{}
	for name, servicepool := range snapshot.Services {
		if servicepool.Engine == nil {
			snapshot.count(counts, PoolKey(name, ""), servicepool.Plain, now)
			continue
		}
		for model, candidates := range servicepool.Models {
			snapshot.count(counts, PoolKey(name, model), candidates, now)
		}
	}
	return counts
}

func countReachable(candidates []*Candidate, now time.Time) int {
	count := 0
	for _, candidate := range candidates {
		if !candidate.Load.Unreachable(now) {
			count++
		}
	}
	return count
}

// ChoosePeer returns the node that a request is sent to because it uses more endpoints for
// it than this node reaches, or nil if there is none. It skips nodes that the request
// was sent to before.
func ChoosePeer(policy Policy, peers *Peers, servicepool *ServicePool, request Request) *Candidate {
	if peers == nil || servicepool == nil {
		return nil
	}
	key, reached := PoolKey(servicepool.Service, ""), countReachable(servicepool.candidates(request.Model), request.Now)
	if request.Homes.Restricted() {
		reached = countReachable(servicepool.candidatesFor(request), request.Now)
	}
	if servicepool.Engine != nil {
		key = PoolKey(servicepool.Service, request.Model)
	}
	var candidates []*Candidate
	for _, peer := range peers.List {
		if peer.countUsable(key, request.Homes) > reached && request.Allows(peer.Candidate) {
			candidates = append(candidates, peer.Candidate)
		}
	}
	best, _ := pick(policy, sample(policy, candidates, request), request)
	if best == nil {
		best, _ = pick(policy, candidates, request)
	}
	return best
}
