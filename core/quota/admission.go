package quota

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"hickorybend/core/intent"
)

// Request describes a request to be admitted. Tokens is the maximum length of its
// answer. Utilization is that of its service: the number of streams in progress,
// divided by the number that its replicas can batch. Nodes is the number of nodes
// among which the team's limits are divided.
type Request struct {
	Team        intent.Team
	Priority    intent.Priority
	Tokens      int
	Utilization float64
	Nodes       int
	Now         time.Time
}

// Decision is Admitted or Rejected.
type Decision interface {
	decision()
}

// Admitted lets a request proceed. The caller of Admit releases the Permit when the
// request ends.
type Admitted struct {
	Permit *Permit
}

// Rejected means that the request is not admitted; nothing of it has run.
type Rejected struct {
	Reason  Reason
	RetryAt time.Time
}

func (Admitted) decision() {}
func (Rejected) decision() {}

// Reason names the limit that a rejected request exceeds.
type Reason string

// The reasons for a rejection.
const (
	ReasonRate        Reason = "request-rate"
	ReasonTokens      Reason = "token-rate"
	ReasonConcurrency Reason = "concurrency"
	ReasonLoad        Reason = "load"
	ReasonFairness    Reason = "fair-share"
)

// Admission admits or rejects requests, and tracks what each team uses on this
// node.
type Admission struct {
	policy   Policy
	mutex    sync.Mutex
	teams    map[string]*teamState
	inFlight int
}

// teamState is a team's use of this node and the node's share of its limits.
type teamState struct {
	requestLimiter *rate.Limiter
	tokenLimiter   *rate.Limiter
	inFlight       int
	maxInFlight    int
}

// Permit counts an admitted request as in flight until it is released.
type Permit struct {
	admission *Admission
	state     *teamState
	once      sync.Once
}

// NewAdmission returns an Admission without requests in flight.
func NewAdmission(policy Policy) *Admission {
	return &Admission{policy: policy, teams: map[string]*teamState{}}
}

// Admit decides whether a request is admitted, and counts it if it is.
func (admission *Admission) Admit(request Request) Decision {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	teamstate := admission.stateOf(request)
	if reason, rejected := admission.overloadReason(request, teamstate); rejected {
		return Rejected{Reason: reason, RetryAt: request.Now.Add(admission.policy.RetryAfter)}
	}
	if teamstate.inFlight >= teamstate.maxInFlight {
		return Rejected{Reason: ReasonConcurrency, RetryAt: request.Now.Add(admission.policy.RetryAfter)}
	}
	tokens := min(request.Tokens, teamstate.tokenLimiter.Burst())
	if teamstate.tokenLimiter.TokensAt(request.Now) < float64(tokens) {
		return Rejected{Reason: ReasonTokens, RetryAt: availableAt(teamstate.tokenLimiter, tokens, request.Now)}
	}
	if !teamstate.requestLimiter.AllowN(request.Now, 1) {
		return Rejected{Reason: ReasonRate, RetryAt: availableAt(teamstate.requestLimiter, 1, request.Now)}
	}
	teamstate.tokenLimiter.AllowN(request.Now, tokens)
	teamstate.inFlight++
	admission.inFlight++
	return Admitted{Permit: &Permit{admission: admission, state: teamstate}}
}

// Release ends an admitted request. Only the first call has an effect.
func (permit *Permit) Release() {
	permit.once.Do(func() {
		permit.admission.mutex.Lock()
		defer permit.admission.mutex.Unlock()
		permit.state.inFlight--
		permit.admission.inFlight--
	})
}

// overloadReason applies the limits that depend on the service's utilization, and
// returns the reason and true if a request exceeds one. At FairShareMinUtilization
// or more, a team with more than an equal share of this node's requests in flight
// is rejected first, so that a large team cannot starve a small one. Requests of
// priority live are exempt from the fair-share limit.
func (admission *Admission) overloadReason(request Request, teamstate *teamState) (Reason, bool) {
	if request.Utilization >= admission.maxUtilization(request.Priority) {
		return ReasonLoad, true
	}
	loaded := request.Utilization >= admission.policy.FairShareMinUtilization && request.Priority != intent.PriorityLive
	if loaded && teamstate.inFlight > admission.fairShare() {
		return ReasonFairness, true
	}
	return "", false
}

// fairShare divides this node's requests in flight equally among the teams that
// have any.
func (admission *Admission) fairShare() int {
	active := 0
	for _, teamstate := range admission.teams {
		if teamstate.inFlight > 0 {
			active++
		}
	}
	return admission.inFlight / max(active, 1)
}

// maxUtilization returns the utilization from which requests of a priority are
// rejected.
func (admission *Admission) maxUtilization(priority intent.Priority) float64 {
	switch priority {
	case intent.PriorityLive:
		return admission.policy.LiveMaxUtilization
	case intent.PriorityStandard:
		return admission.policy.StandardMaxUtilization
	default:
		return admission.policy.BatchMaxUtilization
	}
}

// stateOf returns the state of a request's team, with its limits adjusted to the
// present number of nodes.
func (admission *Admission) stateOf(request Request) *teamState {
	share := 1 / float64(max(request.Nodes, 1))
	requestRate, tokenRate := request.Team.RequestsPerSecond*share, request.Team.TokensPerSecond*share
	found, known := admission.teams[request.Team.Name]
	if !known {
		found = &teamState{requestLimiter: newLimiter(requestRate), tokenLimiter: newLimiter(tokenRate)}
		admission.teams[request.Team.Name] = found
	}
	found.maxInFlight = max(int(float64(request.Team.MaxConcurrent)*share), 1)
	setRate(found.requestLimiter, requestRate, request.Now)
	setRate(found.tokenLimiter, tokenRate, request.Now)
	return found
}

// newLimiter returns a limiter that starts with a full bucket.
func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), burstOf(perSecond))
}

// burstOf returns the size of a limiter's bucket: what is refilled in one second.
func burstOf(perSecond float64) int { return max(int(perSecond), 1) }

func setRate(limiter *rate.Limiter, perSecond float64, now time.Time) {
	if limiter.Limit() == rate.Limit(perSecond) {
		return
	}
	limiter.SetLimitAt(now, rate.Limit(perSecond))
	limiter.SetBurstAt(now, burstOf(perSecond))
}

// availableAt returns the time at which a limiter will have the given number of
// tokens, or one second from now if it has them already or never refills.
func availableAt(limiter *rate.Limiter, tokens int, now time.Time) time.Time {
	missing := float64(tokens) - limiter.TokensAt(now)
	if missing <= 0 || limiter.Limit() <= 0 {
		return now.Add(time.Second)
	}
	wait := missing / float64(limiter.Limit()) * float64(time.Second)
	return now.Add(time.Duration(wait))
}
