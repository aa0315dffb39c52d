package edge

import (
	"time"

	"go.uber.org/zap"

	"hickorybend/core/member"
	"hickorybend/io/event"
	"hickorybend/io/gossip"
)

// startupTime is the time for which a node that has just started, and that hears no leader of its
// zone, tries the zone's nodes beside one another: the rows of many that are gone may
// precede those of the living.
const startupTime = 10 * time.Second

const memberReportInterval = time.Second // between two updates of the gauges

// judgeMembers decides which other nodes are gone, tries those that do not answer, and has
// the node that places remove a row.
func (control *Control) judgeMembers(now time.Time) {
	peers := control.peers
	watched := func(name string) bool { return control.watchesNode(name, now) }
	var told func(name string) member.Word
	if len(peers.gone) > 0 || peers.saySomeGone() {
		told = func(name string) member.Word { return control.toldOf(name, now) }
	}
	peers.members.Update(watched, told, now)
	control.applyMembership(now)
	control.reportMembers(now)
	if peers.role.Mesh || peers.role.IsLeader || control.starting(now) {
		control.tryMembers(watched, now)
	}
	control.dropLostRows(now)
	control.removeGoneRow(now)
}

// dropLostRows drops the rows of nodes that are gone which the store has lost, since it came back from
// an older copy. A node that lives writes its row again.
func (control *Control) dropLostRows(now time.Time) {
	peers := control.peers
	for name := range peers.gone {
		if entry := peers.rows[name]; entry.Version.Era() < peers.version.Era() {
			control.dropNodeRow(name, entry.Version, now)
		}
	}
}

// reportMembers updates the gauges of members by state, once a second.
func (control *Control) reportMembers(now time.Time) {
	if now.Before(control.peers.nextReportAt) {
		return
	}
	control.peers.nextReportAt = now.Add(memberReportInterval)
	for _, state := range []member.State{member.StateAlive, member.StateSuspected, member.StateGone} {
		control.meter.Gauge("members_"+string(state), float64(control.peers.members.Count(state)))
	}
}

// tryMembers starts exchanges with watched nodes that do not answer.
func (control *Control) tryMembers(watched func(name string) bool, now time.Time) {
	for _, name := range control.peers.members.Due(watched, now) {
		if peer := control.peers.peer(name); !peer.exchanging {
			control.startExchange(name, peer, now.Add(gossipInterval))
		}
	}
}

// starting reports whether this node has just started.
func (control *Control) starting(now time.Time) bool { return now.Sub(control.startedAt) < startupTime }

// saySomeGone reports whether any node says that others are gone.
func (peers *peers) saySomeGone() bool {
	for _, peer := range peers.nodes {
		if len(peer.saysGone) > 0 {
			return true
		}
	}
	return false
}

// watchesNode reports whether this node itself exchanges digests with another one, or would if
// that answered: in a mesh with all, as a leader with those of its zone and of zones whose
// leader is not heard of.
func (control *Control) watchesNode(name string, now time.Time) bool {
	peers, role := control.peers, control.peers.role
	peer := peers.peer(name)
	switch {
	case peer == nil:
		return false
	case role.Mesh:
		return true
	case role.IsLeader:
		leader := peers.nodes[role.ByZone[peer.zone]]
		return peer.zone == peers.zone || leader == nil || !leader.fresh(now)
	}
	leader := peers.nodes[role.Leader]
	return peer.zone == peers.zone && control.starting(now) && (leader == nil || !leader.fresh(now))
}

// toldOf returns what other nodes report of a node: in a mesh any of them, for a leader the leader
// of the other's zone, and otherwise the leader of this zone. A node that has just started
// accepts any report that it is gone.
func (control *Control) toldOf(name string, now time.Time) member.Word {
	peers, role := control.peers, control.peers.role
	if role.Mesh || control.starting(now) {
		for _, peer := range peers.nodes {
			if peer.fresh(now) && peer.saysGone[name] {
				return member.WordGone
			}
		}
	}
	teller := role.Leader
	if peer := peers.peer(name); role.IsLeader && peer != nil {
		teller = role.ByZone[peer.zone]
	}
	peer := peers.nodes[teller]
	switch {
	case peer == nil || !peer.fresh(now):
		return member.WordNone
	case peer.saysGone[name]:
		return member.WordGone
	}
	return member.WordMember
}

// learnGone keeps which nodes another one says are gone. Its digest has no list if this node has
// said the same.
func (peers *peers) learnGone(peer *peer, digest gossip.Digest) {
	if digest.GoneSum != 0 && len(digest.Gone) == 0 {
		if digest.GoneSum == gossip.SumOf(peers.members.Gone()) {
			peer.saysGone = setOf(peers.members.Gone())
		}
		return
	}
	peer.saysGone = setOf(digest.Gone)
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// applyMembership logs the changes of members' states, and keeps those that are gone apart: a
// node that is gone has no role, share or request.
func (control *Control) applyMembership(now time.Time) {
	peers := control.peers
	for _, change := range peers.members.Changes() {
		if change.From != member.StateGone && change.To != member.StateGone {
			continue
		}
		event.Log(control.log, event.MemberChanged, zap.String("node", change.Name), zap.String("from", string(change.From)), zap.String("to", string(change.To)),
			zap.String("evidence", string(change.Evidence)), zap.Duration("age", now.Sub(change.HeardAt)), zap.Int("failures", change.Failures))
		peers.sort(change.Name)
		control.snapshotStale = true
	}
}

// sort keeps a node among those that are members or those that are gone.
func (peers *peers) sort(name string) {
	from, to := peers.gone, peers.nodes
	if peers.members.IsGone(name) {
		from, to = peers.nodes, peers.gone
	}
	if peer, found := from[name]; found {
		delete(from, name)
		to[name] = peer
	}
}

// peer returns another node, also one that is gone, or nil if its row is not known.
func (peers *peers) peer(name string) *peer {
	if peer, found := peers.nodes[name]; found {
		return peer
	}
	return peers.gone[name]
}

// forget drops a node whose row was removed.
func (peers *peers) forget(name string) {
	peers.members.Drop(name)
	delete(peers.nodes, name)
	delete(peers.gone, name)
}

// removeGoneRow has the node that places replicas, of which there is one, remove the row of a
// node that has been gone for long.
func (control *Control) removeGoneRow(now time.Time) {
	peers := control.peers
	if !control.placement.active || control.storeUnreachable.Load() || now.Sub(control.storeRepliedAt) > maxServedStoreReplyAge {
		peers.settledSince = now
		return
	}
	name, found := peers.members.Removal(peers.settledSince, now)
	entry, known := peers.rows[name]
	if !found || !known {
		return
	}
	go func() {
		outcome := control.store.Remove(control.ctx, tableNames[tableNodes], entry)
		event.Log(control.log, event.NodeRowRemoved, zap.String("node", name), zap.String("outcome", describeOutcome(outcome)))
	}()
}
