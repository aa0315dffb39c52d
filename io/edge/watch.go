package edge

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"hickorybend/core/fleet"
	"hickorybend/io/event"
	"hickorybend/io/gossip"
)

// If every node probed every endpoint that some node finds silent, the probes would grow
// with the product of both, and overloaded nodes would find ever more endpoints silent.
// So, unless the nodes form a mesh, the leader of a zone watches the endpoints of that
// zone for all others: it probes those that any node suspects, and lists in its digest
// those that do not answer. The other nodes take its word. A node probes an endpoint that
// it doesn't watch only if its own requests get no answer there.

const (
	suspicionTTL = time.Second     // how long a node tells the others that it suspects an endpoint
	lostTTL      = 3 * time.Second // after which an endpoint counts as found if the node that watches it no longer reports anything
	neverProbe   = time.Hour       // until the next probe of an endpoint that another node watches
)

// watches reports whether this node probes an endpoint that others suspect. The node that
// places replicas sees for itself before it ends one.
func (control *Control) watches(endpoint fleet.Endpoint, now time.Time) bool {
	return control.placement.active || control.watchesForOthers(endpoint, now)
}

// watchesForOthers reports whether the other nodes take this node's word about an endpoint.
// Where the leader of the endpoint's zone is not heard of, the leaders of the other zones
// stand in.
func (control *Control) watchesForOthers(endpoint fleet.Endpoint, now time.Time) bool {
	peers := control.peers
	switch {
	case peers.role.Mesh, peers.role.IsLeader && endpoint.Zone == control.settings.Zone:
		return true
	case !peers.role.IsLeader:
		return false
	}
	leader := peers.nodes[peers.role.ByZone[endpoint.Zone]]
	return leader == nil || !leader.fresh(now)
}

// suspectEndpoint probes an endpoint that this node watches, and otherwise tells the node
// that does.
func (control *Control) suspectEndpoint(endpoint fleet.Endpoint, now time.Time) {
	if control.watches(endpoint, now) {
		control.probe(endpoint.ID, now)
		return
	}
	control.endpoints.suspectedUntil[endpoint.ID] = now.Add(suspicionTTL)
}

// unresponsiveLists returns the endpoints that do not answer this node, or that it
// suspects, and those that are lost according to this node because it watches them.
func (control *Control) unresponsiveLists(now time.Time) (unresponsive, lost []string) {
	endpoints := &control.endpoints
	for id := range endpoints.unresponsive {
		if _, elsewhere := endpoints.lostElsewhere[id]; elsewhere || !control.cutoff.Ask(id, now) {
			continue
		}
		unresponsive = append(unresponsive, id)
		if !control.peers.role.Mesh && control.watchesForOthers(endpoints.byID[id], now) && control.cutoff.Concludes(id, now) {
			lost = append(lost, id)
		}
	}
	for id := range endpoints.linkChecks {
		if control.cutoff.Ask(id, now) && !control.linkInDoubt(id, now) {
			unresponsive = append(unresponsive, id)
		}
	}
	for id, until := range endpoints.suspectedUntil {
		switch {
		case now.After(until):
			delete(endpoints.suspectedUntil, id)
		case !endpoints.isUnresponsive(id):
			unresponsive = append(unresponsive, id)
		}
	}
	return unresponsive, lost
}

// reconcileUnresponsive probes the endpoints that are unresponsive only to another node, if
// this node watches them or is asked to, and in a mesh those that this zone's leader has stopped reporting
// as unresponsive.
func (control *Control) reconcileUnresponsive(digest gossip.Digest, now time.Time) {
	endpoints := &control.endpoints
	interval := hintProbeInterval
	if !control.peers.role.Mesh {
		interval = reprobeInterval
	}
	for _, id := range digest.Unresponsive {
		endpoint, found := endpoints.byID[id]
		_, known := endpoints.silentElsewhere[id]
		if !known {
			endpoints.silentElsewhere[id] = now
		}
		if found && !endpoints.isUnresponsive(id) && (!known || now.After(endpoints.probedAt[id].Add(interval))) && control.watches(endpoint, now) {
			control.probe(id, now)
		}
	}
	control.answerAsked(digest, now)
	if !control.peers.role.Mesh || digest.Node != control.peers.role.Leader {
		return
	}
	for _, id := range control.peers.leaderUnresponsive {
		if endpoints.isUnresponsive(id) && !slices.Contains(digest.Unresponsive, id) {
			control.probe(id, now)
		}
	}
	control.peers.leaderUnresponsive = digest.Unresponsive
}

// learnLost takes over which endpoints are lost from a node that watches them: from the
// leader of this zone, which passes on what the other leaders report, or, as a leader,
// from another one.
func (control *Control) learnLost(digest gossip.Digest, now time.Time) {
	role, endpoints := control.peers.role, &control.endpoints
	ownLeader := digest.Node == role.Leader && !role.IsLeader
	otherLeader := role.IsLeader && digest.Zone != control.settings.Zone && role.ByZone[digest.Zone] == digest.Node
	if role.Mesh || !ownLeader && !otherLeader {
		return
	}
	listed := map[string]bool{}
	for _, id := range digest.Lost {
		listed[id] = true
		endpoint, found := endpoints.byID[id]
		if found && !control.watches(endpoint, now) && (ownLeader || endpoint.Zone == digest.Zone) {
			control.markLost(endpoint, now)
		}
	}
	for id := range endpoints.lostElsewhere {
		if !listed[id] && (ownLeader || endpoints.byID[id].Zone == digest.Zone) {
			control.markFound(id)
		}
	}
}

// markLost records that another node, which watches an endpoint, gets no answer there.
func (control *Control) markLost(endpoint fleet.Endpoint, now time.Time) {
	endpoints := &control.endpoints
	known := endpoints.isUnresponsive(endpoint.ID)
	endpoints.lostElsewhere[endpoint.ID] = now
	endpoints.unresponsive[endpoint.ID] = now.Add(neverProbe)
	delete(endpoints.suspectedUntil, endpoint.ID)
	if known {
		return
	}
	event.Log(control.log, event.EndpointUnresponsive, zap.String("endpoint", endpoint.ID), zap.String("replica", endpoint.Membership.Replica), zap.String("from", string(fromPeer)))
	control.snapshotStale = true
	if firstHost := control.firstHostOf(endpoint.Membership.Replica); firstHost != "" {
		control.reportLost([]string{firstHost})
	}
}

// markFound records that the node which watches an endpoint gets answers there again.
func (control *Control) markFound(id string) {
	control.endpoints.forgetUnresponsive(id)
	control.snapshotStale = true
	if replica := control.endpoints.byID[id].Membership.Replica; control.allRespond(replica) {
		control.reportFound([]string{control.firstHostOf(replica)})
	}
}

// expireLost takes over the watch of endpoints that this node watches now, and forgets that
// endpoints are lost if no node has reported it for lostTTL.
func (control *Control) expireLost(now time.Time) {
	endpoints := &control.endpoints
	for id, listedAt := range endpoints.lostElsewhere {
		endpoint, found := endpoints.byID[id]
		switch {
		case !found:
			delete(endpoints.lostElsewhere, id)
		case control.watches(endpoint, now):
			delete(endpoints.lostElsewhere, id)
			endpoints.unresponsive[id] = now
		case now.After(listedAt.Add(lostTTL)):
			control.markFound(id)
		}
	}
}
