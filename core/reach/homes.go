package reach

import (
	"slices"
	"time"

	"hickorybend/core/homes"
)

// candidatesFor returns the endpoints that may take a request: those of its model, or of the plain
// service, in its home regions.
func (servicepool *ServicePool) candidatesFor(request Request) []*Candidate {
	candidates := servicepool.candidates(request.Model)
	if !request.Homes.Restricted() {
		return candidates
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(candidate *Candidate) bool { return !request.Allows(candidate) })
}

// Allows reports whether the home regions of the request let a candidate get it.
func (request Request) Allows(candidate *Candidate) bool {
	if candidate.IsPeer {
		return request.Homes.AllowsNode(candidate.Region, request.CallersRegion)
	}
	return request.Homes.AllowsEndpoint(candidate.Region)
}

// regionKey names those endpoints of a pool that are in a region.
func regionKey(poolKey, region string) string { return poolKey + "@" + region }

// count counts the endpoints of a pool that this node reaches, for CountUsable.
func (snapshot *Snapshot) count(counts map[string]int, poolKey string, candidates []*Candidate, now time.Time) {
	counts[poolKey] = countReachable(candidates, now)
	if snapshot.Index == nil || !snapshot.Index.HasHomeRegions() {
		return
	}
	for _, candidate := range candidates {
		if candidate.Region != "" && !candidate.Load.Unreachable(now) {
			counts[regionKey(poolKey, candidate.Region)]++
		}
	}
}

// countUsable returns how many endpoints of a pool a node uses that are in home regions.
func (peer Peer) countUsable(poolKey string, homeRegions homes.Homes) int {
	if !homeRegions.Restricted() {
		return peer.Usable[poolKey]
	}
	count := 0
	for _, region := range homeRegions.Regions() {
		count += peer.Usable[regionKey(poolKey, region)]
	}
	return count
}
