package cutoff

import (
	"maps"
	"slices"
	"time"
)

// Policy holds the limits by which a node takes itself for cut off.
type Policy struct {
	DoubtFrom    int           // silent first hosts from which other nodes are preferred, if the hosts are not silent to these
	MinEndpoints int           // that fall silent together before the node suspects its own links
	SuspectShare float64       // the same as a share of the first hosts of replicas
	SuspectFor   time.Duration // for which a doubt or a suspicion holds unless another node gets answers
	CutOffShare  float64       // of the first hosts, which answer others but not this node, from which it counts as cut off
	RefutedFor   time.Duration // for which another node's word holds that an endpoint answers
	ConfirmAfter time.Duration // from when the silence of an endpoint counts by itself: by then another node would have said that it answers

	// ConfirmIndirectAfter is the same where nodes receive each other's reports through leaders.
	ConfirmIndirectAfter time.Duration
}

// DefaultPolicy suits nodes that tell each other several times a second which endpoints
// answer.
func DefaultPolicy() Policy {
	return Policy{
		DoubtFrom: 2, MinEndpoints: 3, SuspectShare: 0.25, SuspectFor: 1500 * time.Millisecond, CutOffShare: 0.5, RefutedFor: 3 * time.Second,
		ConfirmAfter: 600 * time.Millisecond, ConfirmIndirectAfter: 1100 * time.Millisecond,
	}
}

// View is what a node knows at one time.
type View struct {
	FirstHosts   int                  // of open replicas, those that have answered the node of late or do not now
	Endpoints    int                  // that have answered the node of late or do not now, first hosts and others
	Silent       map[string]bool      // endpoints that do not answer this node; the value says whether it is a first host
	Answering    map[string]time.Time // endpoints that have just answered other nodes, and when
	Alone        bool                 // there is no other node
	Indirect     bool                 // nodes receive each other's reports through leaders
	SilentTo     map[string]int       // how many other nodes each endpoint does not answer, where all ask it
	Quorum       int                  // of them whose word makes the silence count
	Lost         map[string]bool      // endpoints that the nodes which watch them report as lost
	OthersSilent int                  // endpoints that do not answer the other node with the fewest such; 0 if that is not known

	FailedAt   map[string]time.Time // when the latest probe was sent that a silent endpoint has not answered
	AnsweredAt time.Time            // when an endpoint last answered this node; zero if that is not known
}

// Tracker holds what a node has concluded about its own links. It belongs to one
// goroutine.
type Tracker struct {
	policy       Policy
	suspectSince time.Time // zero if there is no reason to suspect this node's links
	doubtSince   time.Time // the same of a reason to doubt them
	doubtful     bool
	suspect      bool
	cutOff       bool
	cutOffSince  time.Time // when it last counted as cut off by what others said
	view         View
	silentSince  map[string]time.Time
	claimedAt    map[string]time.Time // silent endpoints that have answered others since, and when; see verified
	refutedUntil map[string]time.Time // of silent endpoints that others say answer them

	unreachedUntil map[string]time.Time // those of them that answer others but not this node
}

// NewTracker returns a tracker of a node that is not cut off.
func NewTracker(policy Policy) *Tracker {
	return &Tracker{policy: policy, silentSince: map[string]time.Time{}, claimedAt: map[string]time.Time{}, refutedUntil: map[string]time.Time{}, unreachedUntil: map[string]time.Time{}}
}

// Update applies a view. It reports whether the node has just begun to suspect its links.
func (tracker *Tracker) Update(view View, now time.Time) (began bool) {
	tracker.view = view
	tracker.updateSilent(now)
	tracker.updateRefuted(now)
	tracker.updateUnreached(now)
	silent, unreached := tracker.countFirstHosts()
	most := tracker.reaches(len(tracker.unreachedUntil), tracker.policy.CutOffShare, view.Endpoints)
	tracker.updateDoubt(silent >= tracker.policy.DoubtFrom && 2*view.OthersSilent < silent, now)
	began = tracker.updateSuspicion(view, silent, now)
	tracker.updateCutOff(most || tracker.reaches(unreached, tracker.policy.CutOffShare, view.FirstHosts), now)
	return began
}

// updateCutOff applies whether most replicas, or most endpoints, answer other nodes but not this
// one. It does not end because replicas have failed meanwhile, or others have stopped
// saying so: an endpoint has to answer this node.
func (tracker *Tracker) updateCutOff(reason bool, now time.Time) {
	switch {
	case reason:
		tracker.cutOff, tracker.cutOffSince = true, now
	case tracker.view.Alone, tracker.view.AnsweredAt.After(tracker.cutOffSince):
		tracker.cutOff = false
	}
}

// updateSilent records since when endpoints have been silent.
func (tracker *Tracker) updateSilent(now time.Time) {
	since := make(map[string]time.Time, len(tracker.view.Silent))
	for id := range tracker.view.Silent {
		if since[id] = tracker.silentSince[id]; since[id].IsZero() {
			since[id] = now
		}
	}
	tracker.silentSince = since
}

// updateRefuted applies what the other nodes say of the silent endpoints.
func (tracker *Tracker) updateRefuted(now time.Time) {
	view := tracker.view
	for id := range view.Answering {
		if _, silent := view.Silent[id]; silent {
			tracker.refutedUntil[id] = now.Add(tracker.policy.RefutedFor)
		}
	}
	for id, until := range tracker.refutedUntil {
		if _, silent := view.Silent[id]; !silent || !now.Before(until) {
			delete(tracker.refutedUntil, id)
		}
	}
}

// updateUnreached applies which endpoints answer others but not this node. One may have answered
// others before it failed, or have come back since this node asked it. So an answer to another
// node shows that only between two of this node's probes that were not answered.
func (tracker *Tracker) updateUnreached(now time.Time) {
	view := tracker.view
	for id, at := range view.Answering {
		since, silent := tracker.silentSince[id]
		if claimed, found := tracker.claimedAt[id]; silent && !at.Before(since) && (!found || at.After(claimed) && tracker.verified(id)) {
			tracker.claimedAt[id] = at
		}
	}
	for id, at := range tracker.claimedAt {
		_, silent := view.Silent[id]
		switch {
		case !silent, now.Sub(at) >= tracker.policy.RefutedFor:
			delete(tracker.claimedAt, id)
		case tracker.verified(id):
			tracker.unreachedUntil[id] = at.Add(tracker.policy.RefutedFor)
		}
	}
	for id, until := range tracker.unreachedUntil {
		if _, silent := view.Silent[id]; !silent || !now.Before(until) {
			delete(tracker.unreachedUntil, id)
		}
	}
}

// verified reports whether an endpoint has not answered a probe that was sent after its answer to
// another node.
func (tracker *Tracker) verified(id string) bool {
	return !tracker.view.FailedAt[id].Before(tracker.claimedAt[id])
}

// countFirstHosts returns how many first hosts are silent, and how many of these answer
// others.
func (tracker *Tracker) countFirstHosts() (silent, unreached int) {
	for id, isFirstHost := range tracker.view.Silent {
		if !isFirstHost {
			continue
		}
		silent++
		if _, found := tracker.unreachedUntil[id]; found {
			unreached++
		}
	}
	return silent, unreached
}

// updateDoubt applies whether there is a reason for doubt. It ends by itself: a node that is
// cut off from some endpoints only uses the others.
func (tracker *Tracker) updateDoubt(reason bool, now time.Time) {
	switch {
	case !reason:
		tracker.doubtSince = time.Time{}
	case tracker.doubtSince.IsZero():
		tracker.doubtSince = now
	}
	tracker.doubtful = reason && now.Sub(tracker.doubtSince) < tracker.policy.SuspectFor
}

// updateSuspicion applies the number of silent first hosts.
func (tracker *Tracker) updateSuspicion(view View, silent int, now time.Time) (began bool) {
	if !tracker.reaches(silent, tracker.policy.SuspectShare, view.FirstHosts) || 2*view.OthersSilent >= silent {
		tracker.suspectSince, tracker.suspect = time.Time{}, false
		return false
	}
	if tracker.suspectSince.IsZero() {
		tracker.suspectSince, began = now, true
	}
	tracker.suspect = now.Sub(tracker.suspectSince) < tracker.policy.SuspectFor
	return began
}

func (tracker *Tracker) reaches(count int, share float64, all int) bool {
	return count >= tracker.policy.MinEndpoints && float64(count) >= share*float64(all)
}

// Concludes reports whether the node may conclude from the silence of an endpoint that it is
// gone. Most other nodes say so too, if all ask it, or the node that watches it does, or it
// has been silent for long enough for another node to say that it answers, and none has.
func (tracker *Tracker) Concludes(id string, now time.Time) bool {
	since, silent := tracker.silentSince[id]
	if !silent || tracker.suspect || tracker.Refuted(id) {
		return false
	}
	confirmAfter := tracker.policy.ConfirmAfter
	if tracker.view.Indirect {
		confirmAfter = tracker.policy.ConfirmIndirectAfter
	}
	confirmed := !tracker.view.Indirect && tracker.view.SilentTo[id] >= tracker.view.Quorum
	return tracker.view.Alone || confirmed || tracker.view.Lost[id] || now.Sub(since) >= confirmAfter
}

// Suspect reports whether the node may be cut off, so that it should not yet conclude
// anything from the silence of endpoints.
func (tracker *Tracker) Suspect() bool { return tracker.suspect }

// Doubtful reports whether requests should rather go through another node: several first
// hosts have fallen silent, and there is a node to which they have not.
func (tracker *Tracker) Doubtful() bool { return tracker.doubtful || tracker.cutOff }

// Refuted reports whether an endpoint that does not answer this node answers others.
func (tracker *Tracker) Refuted(id string) bool {
	_, refuted := tracker.refutedUntil[id]
	return refuted
}

// Unverified returns the silent endpoints that have answered others since, and that this node has
// not asked after that.
func (tracker *Tracker) Unverified() []string {
	var unverified []string
	for id := range tracker.claimedAt {
		if !tracker.verified(id) {
			unverified = append(unverified, id)
		}
	}
	return unverified
}

// Ask reports whether to list an endpoint as unresponsive to the other nodes, which then
// probe it. A refuted one is listed again when half of RefutedFor has passed.
func (tracker *Tracker) Ask(id string, now time.Time) bool {
	until, refuted := tracker.refutedUntil[id]
	return !refuted || until.Sub(now) < tracker.policy.RefutedFor/2
}

// CutOff reports whether most replicas answer other nodes, but not this one.
func (tracker *Tracker) CutOff() bool { return tracker.cutOff }

// Unreached returns the endpoints that answer others but not this node.
func (tracker *Tracker) Unreached() []string {
	return slices.Sorted(maps.Keys(tracker.unreachedUntil))
}

// SilentFor returns for how long one of the silent endpoints has been so, the longest.
func (tracker *Tracker) SilentFor(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, since := range tracker.silentSince {
		longest = max(longest, now.Sub(since))
	}
	return longest
}
