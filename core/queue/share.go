package queue

import (
	"math"
	"math/bits"
	"time"
)

// kind is requests that have the same claim to be served.
type kind struct {
	team     string
	priority int
	size     int // of the prompt: 0 up to 511 tokens, 1 up to 1,023, 2 up to 2,047, and so on
}

// share is how many requests of a kind came and were assigned of late; older ones count less.
type share struct {
	offered  float64
	assigned float64
	at       time.Time // as of when
}

// smallestSize is the number of tokens from which on each doubling is another size of prompts.
const smallestSize = 512

func kindOf(request Request) kind {
	return kind{team: request.Team, priority: request.Priority, size: bits.Len(uint(max(0, request.Work.PromptTokens) / smallestSize))}
}

// decay reduces a share to what it counts now.
func (share *share) decay(policy Policy, now time.Time) {
	factor := math.Exp2(-max(0, float64(now.Sub(share.at))) / float64(policy.ShareHalfLife))
	share.offered, share.assigned, share.at = share.offered*factor, share.assigned*factor, now
}

// countOffer counts a request of a kind, and whether it is assigned.
func (queue *Queue) countOffer(kind kind, assigned bool, now time.Time) {
	known := queue.shares[kind]
	if known == nil {
		known = &share{at: now}
		queue.shares[kind] = known
	}
	known.decay(queue.policy, now)
	known.offered++
	if assigned {
		known.assigned++
	}
}

// forgetShares forgets the kinds of which nothing has come for long.
func (queue *Queue) forgetShares(now time.Time) {
	for kind, share := range queue.shares {
		if now.Sub(share.at) > forgetAfter*queue.policy.ShareHalfLife {
			delete(queue.shares, kind)
		}
	}
}

const (
	forgetAfter   = 7  // half-lives, in which a share sinks below a hundredth
	minShareCount = 10 // requests of late, below which the share of a kind says nothing
)

// assignedShare returns the fraction of the requests of a kind that were assigned of late, or 1 if
// too few came to tell.
func (share *share) assignedShare() float64 {
	if share.offered < minShareCount {
		return 1
	}
	return share.assigned / share.offered
}

// favor returns the factor on the margin of a kind: below 1 if it is assigned less than
// FairShare times as often as the kind that is assigned most often. Otherwise capacity that is
// short would go to short prompts alone, which have the earlier first events.
func (queue *Queue) favor(kind kind) float64 {
	own := queue.shares[kind]
	if own == nil {
		return 1
	}
	best := 0.0
	for _, share := range queue.shares {
		if share.offered >= minShareCount {
			best = max(best, share.assignedShare())
		}
	}
	fair := queue.policy.FairShare * best
	if fair <= 0 || own.assignedShare() >= fair {
		return 1
	}
	return max(queue.policy.MostFavor, own.assignedShare()/fair)
}
