package quota

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"hickorybend/core/intent"
)

// Request is what a request wants admitted; Load is the service's streams over the
// streams that it can batch, and Nodes is how many nodes share the limits.
type Request struct {
	Team     intent.Team
	Priority intent.Priority
	Tokens   int
	Load     float64
	Nodes    int
	Now      time.Time
}

// Decision is Admitted or Shed.
type Decision interface {
	verdict()
}

// Admitted lets a request pass; its Place is given back when it ends.
type Admitted struct {
	Permit *Permit
}

// Rejected turns a request away before anything ran.
type Rejected struct {
	Reason  Reason
	RetryAt time.Time
}

func (Admitted) verdict() {}
func (Rejected) verdict() {}

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

// Admission holds this node's counts of what each team uses.
type Admission struct {
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

// Permit is an admitted request's place among its team's.
type Permit struct {
	gate    *Admission
	account *account
	once    sync.Once
}

// NewAdmission makes a gate that has admitted nothing.
func NewAdmission(policy Policy) *Admission {
	return &Admission{policy: policy, teams: map[string]*account{}}
}

// Admit decides on a request and counts it if it passes.
func (admission *Admission) Admit(request Request) Decision {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	account := admission.account(request)
	if reason, shed := admission.overload(request, account); shed {
		return Rejected{Reason: reason, RetryAt: request.Now.Add(admission.policy.RetryAfter)}
	}
	if account.inFlight >= account.concurrent {
		return Rejected{Reason: ReasonConcurrent, RetryAt: request.Now.Add(admission.policy.RetryAfter)}
	}
	tokens := min(request.Tokens, account.tokens.Burst())
	if account.tokens.TokensAt(request.Now) < float64(tokens) {
		return Rejected{Reason: ReasonTokens, RetryAt: tokensAt(account.tokens, tokens, request.Now)}
	}
	if !account.requests.AllowN(request.Now, 1) {
		return Rejected{Reason: ReasonRate, RetryAt: tokensAt(account.requests, 1, request.Now)}
	}
	account.tokens.AllowN(request.Now, tokens)
	account.inFlight++
	admission.total++
	return Admitted{Permit: &Permit{gate: admission, account: account}}
}

// Release gives the place back.
func (permit *Permit) Release() {
	permit.once.Do(func() {
		permit.gate.mutex.Lock()
		defer permit.gate.mutex.Unlock()
		permit.account.inFlight--
		permit.gate.total--
	})
}

// overload applies the rules of a loaded service. While it is loaded, a team
// that uses more than an even part of this node is turned away first, so that
// a large team cannot starve a small one; live answers are spared that.
func (admission *Admission) overload(request Request, account *account) (Reason, bool) {
	if request.Load >= admission.limit(request.Priority) {
		return ReasonLoad, true
	}
	loaded := request.Load >= admission.policy.FairShareMinLoad && request.Priority != intent.PriorityLive
	if loaded && account.inFlight > admission.evenPart() {
		return ReasonFairness, true
	}
	return "", false
}

func (admission *Admission) evenPart() int {
	busy := 0
	for _, account := range admission.teams {
		if account.inFlight > 0 {
			busy++
		}
	}
	return admission.total / max(busy, 1)
}

func (admission *Admission) limit(priority intent.Priority) float64 {
	switch priority {
	case intent.PriorityLive:
		return admission.policy.LiveMaxLoad
	case intent.PriorityStandard:
		return admission.policy.StandardMaxLoad
	default:
		return admission.policy.BatchMaxLoad
	}
}

func (admission *Admission) account(request Request) *account {
	share := 1 / float64(max(request.Nodes, 1))
	requests, tokens := request.Team.RequestsPerSecond*share, request.Team.TokensPerSecond*share
	found, known := admission.teams[request.Team.Name]
	if !known {
		found = &account{requests: limiterOf(requests), tokens: limiterOf(tokens)}
		admission.teams[request.Team.Name] = found
	}
	found.concurrent = max(int(float64(request.Team.Concurrent)*share), 1)
	adjust(found.requests, requests, request.Now)
	adjust(found.tokens, tokens, request.Now)
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
