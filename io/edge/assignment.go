package edge

import (
	"time"

	"go.uber.org/zap"

	"hickorybend/core/queue"
	"hickorybend/core/reach"
	"hickorybend/core/topo"
	"hickorybend/io/assign"
	"hickorybend/io/event"
	"hickorybend/io/gossip"
)

// assignment is this node's part in the assignment of requests to replicas; see package assign.
type assignment struct {
	server *assign.Server // answers while this node leads its zone
	client *assign.Client // asks the leader of its zone
	asked  string         // the name of that, or empty
}

func newAssignment(settings Settings) assignment {
	policy := queue.DefaultPolicy()
	policy.RejectLate = settings.RejectLate
	return assignment{server: assign.NewServer(policy), client: assign.NewClient(settings.Node, settings.PeerKey)}
}

// routingPolicy returns the weights by which this node chooses where no leader decides.
func routingPolicy(settings Settings) reach.Policy {
	policy := reach.DefaultPolicy()
	if settings.RejectLate {
		policy.LateMargin = reach.LateMargin
	}
	return policy
}

// updateAssignment sets whom this node asks, and what it knows as a leader. In a mesh nodes know
// each other's requests soon enough, and ask nobody. groups are those of peers.sources.
func (control *Control) updateAssignment(groups [][]topo.Source, now time.Time) {
	peers, assignment := control.peers, &control.assignment
	active := control.settings.Assignment && !peers.role.Mesh
	leads := active && peers.role.IsLeader && !control.draining && !control.cutoff.CutOff()
	view := assign.View{Leading: leads}
	if leads {
		view.Pools, view.Others, view.Nodes = control.replicaPools(), map[string]queue.Counts{}, control.zoneCounts(groups)
		addCounts(view.Others, control.otherZones(groups))
	}
	assignment.server.Update(view, now)
	asked := ""
	switch leader := peers.nodes[peers.role.Leader]; {
	case leads:
		asked = peers.self
		assignment.client.SetLeader(asked, "", assignment.server)
	case active && leader != nil:
		asked = peers.role.Leader
		assignment.client.SetLeader(asked, leader.address, nil)
	default:
		assignment.client.SetLeader("", "", nil)
	}
	if asked != assignment.asked {
		assignment.asked = asked
		event.Log(control.log, event.AssignerChanged, zap.String("assigner", asked))
	}
}

// replicaPools returns the replicas that take requests and whose speed is configured, by
// reach.PoolKey.
func (control *Control) replicaPools() map[string][]queue.Replica {
	pools := map[string][]queue.Replica{}
	for name, servicepool := range control.snapshot.Load().Services {
		if servicepool.Engine == nil {
			continue
		}
		for model, candidates := range servicepool.Models {
			for _, candidate := range candidates {
				if !candidate.Speed.Replica.Known() {
					continue
				}
				key := reach.PoolKey(name, model)
				pools[key] = append(pools[key], queue.Replica{ID: candidate.ID, Speed: candidate.Speed.Replica, Slots: candidate.Slots, SameZone: candidate.SameZone})
			}
		}
	}
	return pools
}

// zoneCounts returns the requests of the other nodes of this zone by node and replica, as of
// their digests.
func (control *Control) zoneCounts(groups [][]topo.Source) map[string]map[string]queue.Counts {
	nodes := map[string]map[string]queue.Counts{}
	for _, group := range groups {
		if group[0].Zone != control.settings.Zone {
			continue
		}
		for _, source := range group {
			counts := map[string]queue.Counts{}
			addCounts(counts, control.peers.nodes[source.Node].digest)
			nodes[source.Node] = counts
		}
	}
	return nodes
}

// otherZones returns a digest that counts the requests of the nodes of other zones.
func (control *Control) otherZones(groups [][]topo.Source) gossip.Digest {
	var others gossip.Digest
	others = others.Copy()
	for _, group := range groups {
		if group[0].Zone != control.settings.Zone {
			others.AddCounts(control.peers.digestsOf(group)...)
		}
	}
	return others
}

// addCounts adds the requests that a digest counts.
func addCounts(counts map[string]queue.Counts, digest gossip.Digest) {
	for id, inFlight := range digest.InFlight {
		counts[id] = queue.Counts{InFlight: counts[id].InFlight + inFlight, PendingTokens: counts[id].PendingTokens + digest.PendingTokens[id]}
	}
}

// countExactly sets a leader's sum over its zone to the requests at replicas that the nodes have
// reported to it. The digests of these nodes are up to 0.3 s old, so that leaders of other zones
// would send requests where those of this zone already wait. Nodes that report nothing count by
// their digests.
func (control *Control) countExactly(zoneDigest *gossip.Digest, groups [][]topo.Source) {
	exact, reporters := control.assignment.server.InFlight()
	if len(reporters) == 0 {
		return
	}
	nodes := control.zoneCounts(groups)
	nodes[control.peers.self] = map[string]queue.Counts{}
	addCounts(nodes[control.peers.self], *control.digest.Load())
	for id, counts := range exact {
		for node, digest := range nodes {
			if !reporters[node] {
				counts.InFlight += digest[id].InFlight
				counts.PendingTokens += digest[id].PendingTokens
			}
		}
		setCount(zoneDigest.InFlight, id, counts.InFlight)
		setCount(zoneDigest.PendingTokens, id, counts.PendingTokens)
	}
}

// setCount sets the count of an endpoint, which is left out if it is 0.
func setCount(counts map[string]int, id string, count int) {
	delete(counts, id)
	if count > 0 {
		counts[id] = count
	}
}
