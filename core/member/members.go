package member

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// State is what this node holds another one for.
type State string

// The states. A node that is gone is no member: no share, limit, role or request is its.
const (
	StateAlive     State = "alive"
	StateSuspected State = "suspected" // it does not answer, and counts as before
	StateGone      State = "gone"
)

// Evidence is the reason for which a node counts as gone, or is back.
type Evidence string

// The kinds of evidence.
const (
	EvidenceRefused  Evidence = "refused"  // its host refuses connections
	EvidenceUnheard  Evidence = "unheard"  // it has never answered since this node knows its row
	EvidenceSilent   Evidence = "silent"   // it does not answer, and a majority does
	EvidenceLong     Evidence = "long"     // it has not answered for long, and no majority does
	EvidenceTold     Evidence = "told"     // the node that exchanges digests with it says so
	EvidenceAnswered Evidence = "answered" // it answers
	EvidenceWritten  Evidence = "written"  // it has written its row again
	EvidenceUntold   Evidence = "untold"   // no node says any more that it is gone
)

// Member is another node whose row is known.
type Member struct {
	Name  string
	State State
	Since time.Time // since when it has had the state

	knownAt     time.Time
	heardAt     time.Time // of its last answer or digest
	failures    int       // exchanges in a row that failed
	failedSince time.Time // when the first of them did
	refused     bool      // all of them were refused by its host
	nextTryAt   time.Time // when this node may exchange digests with it unasked
}

// Change is a change of a member's state.
type Change struct {
	Name     string
	From, To State
	Evidence Evidence
	HeardAt  time.Time // of the member's last answer or, if it never answered, when its row became known
	Failures int
}

// Members are the nodes whose rows this one knows. They belong to one goroutine.
type Members struct {
	policy   Policy
	byName   map[string]*Member
	changes  []Change
	gone     []string  // those that are, in order; nil if it has to be made again
	removeAt time.Time // when the next row may be removed
}

// New returns no members.
func New(policy Policy) *Members { return &Members{policy: policy, byName: map[string]*Member{}} }

// Put adds the member of a row, or records that it has written its row again. Another process
// under the same name counts as one that has never answered.
func (members *Members) Put(name string, restarted bool, now time.Time) {
	member := members.byName[name]
	if member == nil {
		members.byName[name] = &Member{Name: name, State: StateAlive, Since: now, knownAt: now, refused: true}
		return
	}
	if restarted {
		members.set(member, StateAlive, EvidenceWritten, now)
		*member = Member{Name: name, State: StateAlive, Since: member.Since, knownAt: now, refused: true}
	}
}

// Drop forgets the member of a row that was removed.
func (members *Members) Drop(name string) {
	delete(members.byName, name)
	members.gone = nil
}

// Heard records an answer or a digest of a member.
func (members *Members) Heard(name string, now time.Time) {
	member := members.byName[name]
	if member == nil {
		return
	}
	member.heardAt, member.failures, member.failedSince, member.refused, member.nextTryAt = now, 0, time.Time{}, true, time.Time{}
	members.set(member, StateAlive, EvidenceAnswered, now)
}

// Failed records that a member did not answer an exchange.
func (members *Members) Failed(name string, refused bool, now time.Time) {
	member := members.byName[name]
	if member == nil {
		return
	}
	if member.failures == 0 {
		member.failedSince = now
	}
	member.failures++
	member.refused = member.refused && refused
	member.nextTryAt = now.Add(members.policy.RetryInterval)
	if member.State == StateGone {
		member.nextTryAt = now.Add(members.policy.RetryGone)
	}
}

// Suspend forgets the failures, since this node did not run meanwhile.
func (members *Members) Suspend() {
	for _, member := range members.byName {
		member.failures, member.failedSince, member.refused = 0, time.Time{}, true
	}
}

// Word is what a node reports that exchanges digests with a member.
type Word int

// The values of Word.
const (
	WordNone Word = iota // there is no report
	WordGone
	WordMember
)

// Update applies the evidence. watched reports whether this node exchanges digests with a
// member itself, and told what one says that does; told is nil if nobody says of any that it is gone.
func (members *Members) Update(watched func(name string) bool, told func(name string) Word, now time.Time) {
	quiet := told == nil
	if quiet {
		told = func(string) Word { return WordNone }
	}
	majority := sync.OnceValue(func() bool { return members.hearMajority(watched, now) })
	for name, member := range members.byName {
		if now.Sub(member.heardAt) < members.policy.SuspectAfter || quiet && member.State == StateAlive && member.failures == 0 {
			continue // alive by its answer, or nothing is known against it
		}
		watches := watched(name)
		switch evidence := members.policy.evidence(member, majority, now); {
		case watches && evidence != "":
			members.set(member, StateGone, evidence, now)
		case (!watches || member.heardAt.IsZero()) && told(name) == WordGone:
			members.set(member, StateGone, EvidenceTold, now)
		case member.State == StateGone && !watches && told(name) == WordMember:
			members.set(member, StateAlive, EvidenceUntold, now)
		case member.State == StateAlive && member.failures > 0:
			members.set(member, StateSuspected, "", now)
		}
	}
}

// evidence returns why a member is gone by what this node itself has tried, or "".
func (policy Policy) evidence(member *Member, majority func() bool, now time.Time) Evidence {
	if member.failures == 0 {
		return ""
	}
	failing := now.Sub(member.failedSince)
	known := now.Sub(member.knownAt)
	switch unheard := member.heardAt.IsZero() && known < policy.UnheardUntil; {
	case unheard && known >= policy.UnheardFor:
		return EvidenceUnheard
	case unheard, member.failures < policy.MinFailures:
		return ""
	case member.refused && failing >= policy.RefusedFor:
		return EvidenceRefused
	case failing >= policy.SilentFor && majority():
		return EvidenceSilent
	case failing >= policy.SilentForAnybody:
		return EvidenceLong
	}
	return ""
}

// hearMajority reports whether more than half of the members that have ever answered and are not
// gone, this node included, have answered just now. Where fewer do, this node may be the one that
// lost its links. Members that this node does not watch count only if they have answered.
func (members *Members) hearMajority(watched func(name string) bool, now time.Time) bool {
	heard, known := 1, 1
	for name, member := range members.byName {
		if member.State == StateGone || member.heardAt.IsZero() {
			continue
		}
		switch {
		case now.Sub(member.heardAt) < members.policy.SuspectAfter:
			heard++
			known++
		case watched(name):
			known++
		}
	}
	return 2*heard > known
}

func (members *Members) set(member *Member, state State, evidence Evidence, now time.Time) {
	if member.State == state {
		return
	}
	heardAt := member.heardAt
	if heardAt.IsZero() {
		heardAt = member.knownAt
	}
	members.changes = append(members.changes, Change{Name: member.Name, From: member.State, To: state, Evidence: evidence, HeardAt: heardAt, Failures: member.failures})
	member.State, member.Since, members.gone = state, now, nil
}

// Changes returns the changes of states since the last call.
func (members *Members) Changes() []Change {
	changes := members.changes
	members.changes = nil
	return changes
}

// IsGone reports whether a node is gone. One whose row is not known is.
func (members *Members) IsGone(name string) bool {
	member := members.byName[name]
	return member == nil || member.State == StateGone
}

// Gone returns the names of those that are gone, in order. They are not to be changed.
func (members *Members) Gone() []string {
	if members.gone != nil {
		return members.gone
	}
	members.gone = []string{}
	for name, member := range members.byName {
		if member.State == StateGone {
			members.gone = append(members.gone, name)
		}
	}
	slices.Sort(members.gone)
	return members.gone
}

// Count returns the number of members with a state.
func (members *Members) Count(state State) int {
	count := 0
	for _, member := range members.byName {
		if member.State == state {
			count++
		}
	}
	return count
}

// Due returns watched members that do not answer and that this node is to try now, those first
// that it has tried the longest ago, and not all at once.
func (members *Members) Due(watched func(name string) bool, now time.Time) []string {
	var due []*Member
	for name, member := range members.byName {
		if now.Sub(member.heardAt) >= members.policy.SuspectAfter && !now.Before(member.nextTryAt) && watched(name) {
			due = append(due, member)
		}
	}
	slices.SortFunc(due, func(a, b *Member) int { return cmp.Or(a.nextTryAt.Compare(b.nextTryAt), cmp.Compare(a.Name, b.Name)) })
	names := []string{}
	for _, member := range due[:min(len(due), members.policy.RetriesPerRound)] {
		member.nextTryAt = now.Add(members.policy.RetryInterval)
		names = append(names, member.Name)
	}
	return names
}

// Removal returns the node whose row is to be removed now, if there is one: the one that has been
// gone for longest, if that is long enough. settledSince is when the store last began to
// answer, or went back.
func (members *Members) Removal(settledSince, now time.Time) (name string, found bool) {
	if now.Before(members.removeAt) || now.Sub(settledSince) < members.policy.SettledFor {
		return "", false
	}
	var longest *Member
	for _, member := range members.byName {
		if member.State == StateGone && now.Sub(member.Since) >= members.policy.RemoveAfter && (longest == nil || member.Since.Before(longest.Since)) {
			longest = member
		}
	}
	if longest == nil {
		return "", false
	}
	members.removeAt = now.Add(members.policy.RemoveInterval)
	longest.Since = now // the next try, should this one fail, comes as late
	return longest.Name, true
}
