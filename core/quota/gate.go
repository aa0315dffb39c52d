package quota

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"hickorybend/core/intent"
)

// Ask is what a request wants admitted; Load is the service's streams over the
// streams that it can batch, and Nodes is how many nodes share the limits.
type Ask struct {
	Team     intent.Team
	Priority intent.Priority
	Tokens   int
	Load     float64
	Nodes    int
	Now      time.Time
}

// Verdict is Admitted or Shed.
type Verdict interface {
	verdict()
}

// Admitted lets a request pass; its Place is given back when it ends.
type Admitted struct {
	Place *Place
}

// Shed turns a request away before anything ran.
type Shed struct {
	Reason  Reason
	RetryAt time.Time
}

func (Admitted) verdict() {}
func (Shed) verdict()     {}

// Reason says which rule turned a request away.
type Reason string

// The reasons.
const (
	ReasonRate       Reason = "request-rate"
	ReasonTokens     Reason = "token-rate"
	ReasonConcurrent Reason = "concurrency"
	ReasonLoad       Reason = "load"
	ReasonFairness   Reason = "fair-share"
)

// Gate holds this node's counts of what each team uses.
type Gate struct {
	policy Policy
	mutex  sync.Mutex
	teams  map[string]*account
	total  int
}

type account struct {
	requests   *rate.Limiter
	tokens     *rate.Limiter
	inFlight   int
	concurrent int
}

// Place is an admitted request's place among its team's.
type Place struct {
	gate    *Gate
	account *account
	once    sync.Once
}

// NewGate makes a gate that has admitted nothing.
func NewGate(policy Policy) *Gate {
	return &Gate{policy: policy, teams: map[string]*account{}}
}

// Admit decides on a request and counts it if it passes.
func (gate *Gate) Admit(ask Ask) Verdict {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	account := gate.account(ask)
	if reason, shed := gate.overload(ask, account); shed {
		return Shed{Reason: reason, RetryAt: ask.Now.Add(gate.policy.RetryAfter)}
	}
	if account.inFlight >= account.concurrent {
		return Shed{Reason: ReasonConcurrent, RetryAt: ask.Now.Add(gate.policy.RetryAfter)}
	}
	tokens := min(ask.Tokens, account.tokens.Burst())
	if account.tokens.TokensAt(ask.Now) < float64(tokens) {
		return Shed{Reason: ReasonTokens, RetryAt: tokensAt(account.tokens, tokens, ask.Now)}
	}
	if !account.requests.AllowN(ask.Now, 1) {
		return Shed{Reason: ReasonRate, RetryAt: tokensAt(account.requests, 1, ask.Now)}
	}
	account.tokens.AllowN(ask.Now, tokens)
	account.inFlight++
	gate.total++
	return Admitted{Place: &Place{gate: gate, account: account}}
}

// Done gives the place back.
func (place *Place) Done() {
	place.once.Do(func() {
		place.gate.mutex.Lock()
		defer place.gate.mutex.Unlock()
		place.account.inFlight--
		place.gate.total--
	})
}

// overload applies the rules of a loaded service. While it is loaded, a team
// that uses more than an even part of this node is turned away first, so that
// a large team cannot starve a small one; live answers are spared that.
func (gate *Gate) overload(ask Ask, account *account) (Reason, bool) {
	if ask.Load >= gate.limit(ask.Priority) {
		return ReasonLoad, true
	}
	loaded := ask.Load >= gate.policy.FairFrom && ask.Priority != intent.PriorityLive
	if loaded && account.inFlight > gate.evenPart() {
		return ReasonFairness, true
	}
	return "", false
}

func (gate *Gate) evenPart() int {
	busy := 0
	for _, account := range gate.teams {
		if account.inFlight > 0 {
			busy++
		}
	}
	return gate.total / max(busy, 1)
}

func (gate *Gate) limit(priority intent.Priority) float64 {
	switch priority {
	case intent.PriorityLive:
		return gate.policy.LiveUntil
	case intent.PriorityStandard:
		return gate.policy.StandardUntil
	default:
		return gate.policy.BatchUntil
	}
}

func (gate *Gate) account(ask Ask) *account {
	share := 1 / float64(max(ask.Nodes, 1))
	requests, tokens := ask.Team.RequestsPerSecond*share, ask.Team.TokensPerSecond*share
	found, known := gate.teams[ask.Team.Name]
	if !known {
		found = &account{requests: limiterOf(requests), tokens: limiterOf(tokens)}
		gate.teams[ask.Team.Name] = found
	}
	found.concurrent = max(int(float64(ask.Team.Concurrent)*share), 1)
	adjust(found.requests, requests, ask.Now)
	adjust(found.tokens, tokens, ask.Now)
	return found
}

// limiterOf makes a limiter that is full at first.
func limiterOf(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), burstOf(perSecond))
}

// burstOf is one second's worth.
func burstOf(perSecond float64) int { return max(int(perSecond), 1) }

func adjust(limiter *rate.Limiter, perSecond float64, now time.Time) {
	if limiter.Limit() == rate.Limit(perSecond) {
		return
	}
	limiter.SetLimitAt(now, rate.Limit(perSecond))
	limiter.SetBurstAt(now, burstOf(perSecond))
}

// tokensAt gives the moment at which a limiter will have so many tokens.
func tokensAt(limiter *rate.Limiter, tokens int, now time.Time) time.Time {
	missing := float64(tokens) - limiter.TokensAt(now)
	if missing <= 0 || limiter.Limit() <= 0 {
		return now.Add(time.Second)
	}
	wait := missing / float64(limiter.Limit()) * float64(time.Second)
	return now.Add(time.Duration(wait))
}
