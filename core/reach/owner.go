package reach

import "slices"

// ChooseOwner returns another node that may send requests to a cold endpoint, if all
// endpoints that this node reaches are cold and it may send to none of them now; otherwise
// nil. That node may have used its turns up, and then rejects the request. It skips nodes
// that the request was sent to before, and nodes outside its home regions.
//
// For example, after a zone has restarted, all 4 endpoints of a small service are cold, and
// 13 of 79 nodes own the quota of each. About half of the nodes own none of the four.
func ChooseOwner(policy Policy, peers *Peers, servicepool *ServicePool, request Request) *Candidate {
	if peers == nil || servicepool == nil {
		return nil
	}
	owners := map[string]bool{}
	for _, candidate := range servicepool.candidatesFor(request) {
		if candidate.Load.Unreachable(request.Now) || slices.Contains(request.Tried, candidate.ID) {
			continue
		}
		if len(candidate.Owners) == 0 || !candidate.Load.Limited(request.Now) {
			return nil
		}
		for _, owner := range candidate.Owners {
			owners[owner] = true
		}
	}
	var candidates []*Candidate
	for _, peer := range peers.List {
		if owners[peer.Candidate.ID] && request.Allows(peer.Candidate) {
			candidates = append(candidates, peer.Candidate)
		}
	}
	best, _ := pick(policy, candidates, request)
	return best
}

// withColdTurns adds the cold endpoints to a sample for which this node has a turn. Few nodes may
// use them at all, and a sample seldom has one: of 70 endpoints a cold one got 2 requests a
// second of the 11 that it could take. The turns keep the nodes from all choosing it at once.
func withColdTurns(sample, candidates []*Candidate, request Request) []*Candidate {
	if len(sample) == len(candidates) {
		return sample
	}
	for _, candidate := range candidates {
		if len(candidate.Owners) > 0 && !candidate.Load.Limited(request.Now) && !slices.Contains(sample, candidate) {
			sample = append(sample, candidate)
		}
	}
	return sample
}
