package buffer

import (
	"sync"
	"time"
)

// Owner is whose bytes are held: a sealed sum of Endpoint, Team and Source.
type Owner interface{ owner() }

// Endpoint is the endpoint, or the other node, that answers.
type Endpoint struct{ ID string }

// Team is the team whose caller sends a body; its name is empty for callers without one.
type Team struct{ Name string }

// Source is the client's address from which a connection comes.
type Source struct{ Address string }

func (Endpoint) owner() {}
func (Team) owner()     {}
func (Source) owner()   {}

// Policy holds the limits, in bytes.
type Policy struct {
	Limit         int64 // of all claims together
	EndpointShare int64 // of one endpoint's
	TeamShare     int64 // of one team's
	SourceShare   int64 // of the connections of one client's address
}

// The limits as parts of a node's memory. What is held takes up to about two and a half times
// its size while it grows, until the garbage collector has run.
const (
	limitFraction  = 0.2
	teamFraction   = 0.5     // of the limit
	sourceFraction = 0.5     // of the limit; all callers may come through one load balancer
	largestAnswer  = 1 << 24 // bytes that a sound endpoint may need
)

// stallStep is the time without growth by which claims are told apart. Below it, a claim moves.
const stallStep = 500 * time.Millisecond

// PolicyFor returns the limits for a node with some bytes of memory.
func PolicyFor(memory int64) Policy {
	limit := int64(limitFraction * float64(memory))
	return Policy{Limit: limit, EndpointShare: min(largestAnswer, limit/2), TeamShare: int64(teamFraction * float64(limit)), SourceShare: int64(sourceFraction * float64(limit))}
}

// Ledger counts the bytes that a node holds. All request goroutines share it.
type Ledger struct {
	policy  Policy
	mutex   sync.Mutex
	held    int64
	byOwner map[Owner]int64
	claims  map[*Claim]bool
	ended   int64 // claims that were ended for want of room
}

// Claim is the bytes that are held for one answer or one body.
type Claim struct {
	ledger   *Ledger
	owner    Owner
	answer   bool   // it is an answer or a request as far as the node can tell
	end      func() // ends what holds the bytes
	bytes    int64
	grewAt   time.Time
	whole    bool // it grows no more and is about to be passed on
	released bool
}

// NewLedger returns an empty ledger.
func NewLedger(policy Policy) *Ledger {
	return &Ledger{policy: policy, byOwner: map[Owner]int64{}, claims: map[*Claim]bool{}}
}

// Begin begins a claim of no bytes. The function end is called if the ledger ends the claim;
// answer tells bytes that may be an answer, or a request, from those that are certainly none.
func (ledger *Ledger) Begin(owner Owner, answer bool, now time.Time, end func()) *Claim {
	claim := &Claim{ledger: ledger, owner: owner, answer: answer, end: end, grewAt: now}
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.claims[claim] = true
	return claim
}

// Grow sets the bytes of a claim, and reports whether it may hold them. If a limit is reached,
// other claims are ended first where they weigh less.
func (claim *Claim) Grow(bytes int64, now time.Time) bool {
	victims := claim.grow(bytes, now)
	allowed := true
	for _, victim := range victims {
		if victim == claim {
			allowed = false
			continue
		}
		victim.end()
	}
	return allowed && !claim.isReleased()
}

// grow returns the claims that have to end.
func (claim *Claim) grow(bytes int64, now time.Time) (victims []*Claim) {
	ledger := claim.ledger
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if claim.released {
		return nil
	}
	ledger.add(claim, bytes-claim.bytes)
	claim.grewAt = now
	for ledger.byOwner[claim.owner] > ledger.policy.share(claim.owner) && !claim.released {
		victims = append(victims, ledger.evict(claim, claim.owner, now))
	}
	for ledger.held > ledger.policy.Limit && !claim.released {
		victims = append(victims, ledger.evict(claim, nil, now))
	}
	return victims
}

// evict releases the claim that weighs least, among those of one owner if that is not nil. It is
// the growing one if no other weighs less. The mutex must be held.
func (ledger *Ledger) evict(growing *Claim, owner Owner, now time.Time) *Claim {
	victim := growing
	for claim := range ledger.claims {
		if !claim.whole && claim.bytes > 0 && (owner == nil || claim.owner == owner) && claim.weighsLessThan(victim, now) {
			victim = claim
		}
	}
	ledger.ended++
	ledger.release(victim)
	return victim
}

// weighsLessThan reports whether a claim is to be ended rather than another one: bytes that are no
// answer first, then those that have not grown for longest, then the larger claim. So what is small and
// grows is not ended for larger ones that grow as well.
func (claim *Claim) weighsLessThan(other *Claim, now time.Time) bool {
	if claim.answer != other.answer {
		return !claim.answer
	}
	if stalled, otherStalled := now.Sub(claim.grewAt)/stallStep, now.Sub(other.grewAt)/stallStep; stalled != otherStalled {
		return stalled > otherStalled
	}
	return claim.bytes > other.bytes
}

// share returns the limit for one owner.
func (policy Policy) share(owner Owner) int64 {
	switch owner.(type) {
	case Endpoint:
		return policy.EndpointShare
	case Team:
		return policy.TeamShare
	case Source:
		return policy.SourceShare
	default:
		return policy.Limit
	}
}

// Complete records that a claim is whole: it is not ended any more for others. It reports
// false if the claim has been ended before.
func (claim *Claim) Complete() bool {
	claim.ledger.mutex.Lock()
	defer claim.ledger.mutex.Unlock()
	claim.whole = true
	return !claim.released
}

// Release ends a claim whose bytes are held no more.
func (claim *Claim) Release() {
	claim.ledger.mutex.Lock()
	defer claim.ledger.mutex.Unlock()
	claim.ledger.release(claim)
}

func (claim *Claim) isReleased() bool {
	claim.ledger.mutex.Lock()
	defer claim.ledger.mutex.Unlock()
	return claim.released
}

// release forgets a claim. The mutex must be held.
func (ledger *Ledger) release(claim *Claim) {
	if claim.released {
		return
	}
	ledger.add(claim, -claim.bytes)
	claim.released = true
	delete(ledger.claims, claim)
}

// add changes the bytes of a claim. The mutex must be held.
func (ledger *Ledger) add(claim *Claim, change int64) {
	claim.bytes += change
	ledger.held += change
	if ledger.byOwner[claim.owner] += change; ledger.byOwner[claim.owner] == 0 {
		delete(ledger.byOwner, claim.owner)
	}
}

// Held returns the bytes of all claims, and how many claims were ended since the start.
func (ledger *Ledger) Held() (bytes, ended int64) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return ledger.held, ledger.ended
}
