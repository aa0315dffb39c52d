package edge

import (
	"maps"
	"time"

	"hickorybend/core/reach"
	"hickorybend/io/gossip"
)

// nodeSlots is the number of requests at another node that weighs as much as all slots of
// an endpoint when nodes are compared.
const nodeSlots = 100

// routesInterval is the time between two updates of the routes where the nodes form no mesh,
// and there can be hundreds of them.
const routesInterval = time.Second

// Peers returns the other nodes that may send requests on, for request handling.
func (control *Control) Peers() *reach.Peers { return control.peers.routes.Load() }

// updateRoutes publishes which nodes may send requests on, and how many endpoints they
// use. In a mesh, each node says so itself. Otherwise a node knows only how many
// endpoints any node uses, and one that turns out to have no room rejects the request.
func (control *Control) updateRoutes(now time.Time) {
	peers := control.peers
	peers.nextRoutesAt = now.Add(routesInterval)
	anyNode := map[string]int{}
	for _, peer := range peers.nodes {
		if peer.fresh(now) {
			gossip.Raise(anyNode, peer.digest.Usable)
		}
	}
	routes, cutOff := &reach.Peers{Preferred: control.cutoff.Doubtful()}, control.cutOffNodes(now)
	for name, peer := range peers.nodes {
		usable := anyNode
		if peers.role.Mesh {
			usable = peer.digest.Usable
		}
		if peer.lastExchangeFailed || cutOff[name] || peers.role.Mesh && !peer.fresh(now) {
			continue
		}
		if peer.load == nil {
			peer.load = &reach.Load{}
		}
		routes.List = append(routes.List, reach.Peer{Usable: usable, Candidate: &reach.Candidate{
			ID: name, IsPeer: true, Address: peer.address, SameZone: peer.zone == control.settings.Zone, Slots: nodeSlots, TieBreak: tieBreak(control.settings.Node, name), Load: peer.load,
			Region: control.regionOfPeer(peer),
		}})
	}
	peers.routes.Store(routes)
}

// usable returns how many endpoints of each pool this node sends requests to. A draining
// node takes none from others.
func (control *Control) usable(now time.Time) map[string]int {
	if control.draining {
		return nil
	}
	counts := control.snapshot.Load().CountUsable(now)
	maps.DeleteFunc(counts, func(_ string, count int) bool { return count == 0 })
	return counts
}
