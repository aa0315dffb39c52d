package edge

import (
	"time"

	"go.uber.org/zap"

	"hickorybend/core/cutoff"
	"hickorybend/core/fleet"
	"hickorybend/io/event"
	"hickorybend/io/gossip"
)

const (
	answeringFor    = 2 * time.Second // for which an answer shows that an endpoint answers this node
	heardFor        = 5 * time.Second // for which a first host that has answered counts among those that this node has to do with
	maxLinkProbes   = 64              // that a node sends when it begins to suspect its links
	maxAnswerProbes = 8               // that a node which is cut off sends each second
)

// judgeLinks decides whether this node is cut off from the endpoints that do not answer it.
// When it begins to suspect that, it asks those that it has not heard from, so that
// requests do not find out one after the other.
func (control *Control) judgeLinks(now time.Time) {
	wasCutOff := control.cutoff.CutOff()
	if control.cutoff.Update(control.linkView(now), now) {
		control.probeLinks(now)
	}
	control.verifyClaims(now)
	control.lookForAnswer(now)
	if cutOff := control.cutoff.CutOff(); cutOff != wasCutOff {
		event.Log(control.log, event.CutOffChanged, zap.Bool("cut-off", cutOff), zap.Int("unresponsive", len(control.endpoints.unresponsive)), zap.Int("nodes", len(control.Peers().List)),
			zap.Strings("unreached", control.cutoff.Unreached()), zap.Duration("silent-for", control.cutoff.SilentFor(now)))
	}
}

// linkView returns what this node sees of the endpoints, and what the others say of those
// that do not answer it.
func (control *Control) linkView(now time.Time) cutoff.View {
	endpoints := &control.endpoints
	view := cutoff.View{Silent: map[string]bool{}, FailedAt: endpoints.failedAt, Alone: control.peers.count() == 1}
	if control.cutoff.CutOff() {
		for id := range endpoints.byID {
			if answeredAt := control.answeredAt(id); answeredAt.After(view.AnsweredAt) {
				view.AnsweredAt = answeredAt
			}
		}
	}
	for id := range endpoints.unresponsive {
		if _, elsewhere := endpoints.lostElsewhere[id]; !elsewhere {
			view.Silent[id] = servesReplica(endpoints.byID[id])
		}
	}
	for id := range endpoints.linkChecks {
		if !control.linkInDoubt(id, now) {
			view.Silent[id] = false
		}
	}
	if len(view.Silent) == 0 {
		return view
	}
	for id, endpoint := range endpoints.byID {
		_, silent := view.Silent[id]
		if !silent && now.Sub(control.answeredAt(id)) >= heardFor {
			continue
		}
		view.Endpoints++
		if servesReplica(endpoint) {
			view.FirstHosts++
		}
	}
	view.Indirect, view.SilentTo, view.OthersSilent = !control.peers.role.Mesh, map[string]int{}, -1
	view.Lost, view.Answering = map[string]bool{}, map[string]time.Time{}
	nodes := 0
	for name, peer := range control.peers.nodes {
		if !peer.fresh(now) {
			continue
		}
		for id, at := range peer.digest.AnsweredAt {
			if at.After(view.Answering[id]) {
				view.Answering[id] = at
			}
		}
		for _, id := range peer.digest.Lost {
			view.Lost[id] = true
		}
		if control.echoes(name) {
			continue
		}
		nodes++
		for _, id := range peer.digest.Unresponsive {
			view.SilentTo[id]++
		}
		if count := len(peer.digest.Unresponsive); view.OthersSilent < 0 || count < view.OthersSilent {
			view.OthersSilent = count
		}
	}
	view.OthersSilent, view.Quorum = max(0, view.OthersSilent), nodes/2+1
	return view
}

// verifyClaims asks the silent endpoints of which others say that they answer.
func (control *Control) verifyClaims(now time.Time) {
	unverified := control.cutoff.Unverified()
	for _, id := range unverified[:min(len(unverified), maxLinkProbes)] {
		delete(control.endpoints.probedAt, id) // what others say is worth a probe at once
		control.probe(id, now)
	}
}

// lookForAnswer has a node that is cut off ask some endpoints from time to time, also those that it
// does not hold for silent, so that it finds out when it reaches them again.
func (control *Control) lookForAnswer(now time.Time) {
	if !control.cutoff.CutOff() || now.Before(control.nextLinkProbeAt) {
		return
	}
	control.nextLinkProbeAt = now.Add(reprobeInterval)
	probes := 0
	for id := range control.endpoints.byID {
		if probes == maxAnswerProbes {
			return
		}
		if !control.isPlain(id) {
			control.probe(id, now)
			probes++
		}
	}
}

// echoes reports whether the digests of another node repeat what this one has told it.
func (control *Control) echoes(name string) bool {
	role := control.peers.role
	return !role.Mesh && !role.IsLeader && name == role.Leader
}

// Where the nodes form no mesh, the node that watches an endpoint and finds it silent asks
// others before it says that the endpoint is lost: nodes of its zone, and the leader of
// another one, which may still reach it if the whole zone is cut off.
const (
	askedMembers = 2
	maxAsked     = 24 // endpoints at a time; the first hosts come first
)

// asked returns the endpoints that others are to probe.
func (control *Control) asked(now time.Time) []string {
	var asked, members []string
	if control.peers.role.Mesh {
		return nil
	}
	for id := range control.endpoints.unresponsive {
		endpoint := control.endpoints.byID[id]
		switch {
		case !control.watchesForOthers(endpoint, now), control.cutoff.Concludes(id, now), !control.cutoff.Ask(id, now):
		case servesReplica(endpoint):
			asked = append(asked, id)
		default:
			members = append(members, id)
		}
	}
	asked = append(asked, members...)
	return asked[:min(len(asked), maxAsked)]
}

// answerAsked probes the endpoints that another node asks this one about.
func (control *Control) answerAsked(digest gossip.Digest, now time.Time) {
	endpoints := &control.endpoints
	for _, id := range digest.Asked {
		_, found := endpoints.byID[id]
		if found && !endpoints.isUnresponsive(id) && now.After(endpoints.probedAt[id].Add(hintProbeInterval)) && control.isAsked(id, digest.Node, now) {
			control.probe(id, now)
		}
	}
}

// isAsked reports whether this node is one of those that another node asks about an
// endpoint. They differ from endpoint to endpoint.
func (control *Control) isAsked(id, by string, now time.Time) bool {
	peers := control.peers
	var others []string
	count := 1
	if peers.role.IsLeader {
		others = peers.role.Leaders
	} else {
		count = askedMembers
		for name, peer := range peers.nodes {
			if peer.zone == peers.zone {
				others = append(others, name)
			}
		}
	}
	cutOff, own := control.cutOffNodes(now), rank(peers.self, id)
	for _, name := range others {
		if name != by && name != peers.self && !cutOff[name] && rank(name, id) < own {
			count--
		}
	}
	return count > 0
}

// servesReplica reports whether an endpoint is the first host of an open replica.
func servesReplica(endpoint fleet.Endpoint) bool {
	return endpoint.Membership.Replica != "" && endpoint.Membership.Rank == 0 && endpoint.Membership.Phase == fleet.PhaseOpen
}

// answering returns the endpoints that other nodes report as unresponsive, and that have
// answered this node since, and when they did.
func (control *Control) answering(now time.Time) map[string]time.Time {
	endpoints := &control.endpoints
	since := map[string]time.Time{}
	for _, peer := range control.peers.nodes {
		if !peer.fresh(now) {
			continue
		}
		for _, id := range peer.digest.Unresponsive {
			if since[id] = endpoints.silentElsewhere[id]; since[id].IsZero() {
				since[id] = now
			}
		}
	}
	endpoints.silentElsewhere = since
	answering := map[string]time.Time{}
	for id, since := range since {
		if answeredAt := control.answeredAt(id); !endpoints.isUnresponsive(id) && !answeredAt.Before(since) && now.Sub(answeredAt) < answeringFor {
			answering[id] = answeredAt
		}
	}
	return answering
}

// answeredAt returns when an endpoint is last known to have answered a probe or a request of
// this node.
func (control *Control) answeredAt(id string) time.Time {
	probed := control.endpoints.answeredAt[id]
	load := control.endpoints.loads[id]
	if load == nil {
		return probed
	}
	if requested := load.LastAnswerAt().Add(-tickInterval); requested.After(probed) { // the answer may have been on its way for a while
		return requested
	}
	return probed
}

// cutOffNodes returns the nodes that endpoints do not answer, though they answer others.
func (control *Control) cutOffNodes(now time.Time) map[string]bool {
	cutOff := map[string]bool{}
	for _, peer := range control.peers.nodes {
		if !peer.fresh(now) {
			continue
		}
		for _, name := range peer.digest.CutOff {
			cutOff[name] = true
		}
	}
	return cutOff
}

// probeLinks probes the endpoints that callers' requests may be sent to.
func (control *Control) probeLinks(now time.Time) {
	probes := 0
	for id, endpoint := range control.endpoints.byID {
		switch {
		case probes == maxLinkProbes:
			return
		case control.isPlain(id):
			control.handleUnreachable(endpointUnreachable{endpoint: id}, now)
			probes++
		case servesReplica(endpoint) && !control.endpoints.isUnresponsive(id):
			control.probe(id, now)
			probes++
		}
	}
}
