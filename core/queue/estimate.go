package queue

import (
	"slices"
	"time"

	"hickorybend/core/batch"
)

// estimate is when a request would get its first event at a replica, and whether it and the
// requests there would be on time.
type estimate struct {
	inTime bool
	cost   time.Duration // by which replicas are compared: the time to the first event and what speaks against the replica
}

// load returns what the replica works on. The requests of others whose prompts are pending
// are not running.
func (replica *replica) load(work batch.Work) batch.Load {
	othersRunning := max(0, replica.others.InFlight-batch.Waiting(replica.others.PendingTokens, work.PromptTokens))
	return batch.Load{
		Running: min(replica.running+othersRunning, max(1, replica.Slots)), PendingTokens: replica.pendingTokens + replica.others.PendingTokens,
		ContextTokens: replica.contextTokens + othersRunning*(work.PromptTokens+work.AnswerTokens/2),
	}
}

// slotWait returns how long a further request waits until it gets a slot: with all slots
// taken, the mean time between two ends for each request before it.
func (replica *replica) slotWait(load batch.Load, work batch.Work) time.Duration {
	over := replica.inFlight + replica.others.InFlight + 1 - replica.Slots
	if over <= 0 || replica.Slots <= 0 {
		return 0
	}
	between := float64(work.AnswerTokens) * float64(replica.Speed.StepTime(load)) / float64(replica.Slots)
	return time.Duration(float64(over) * between)
}

// estimate returns the estimate for a request at a replica. The margin is the factor on the time to the
// first event with which that must be on time.
func (queue *Queue) estimate(replica *replica, request Request, margin float64, now time.Time) estimate {
	load := replica.load(request.Work)
	firstEvent := replica.Speed.FirstEvent(load, request.Work.PromptTokens) + replica.slotWait(load, request.Work)
	cost := firstEvent
	if !replica.SameZone {
		firstEvent += queue.policy.ZoneDelay
		cost = firstEvent + time.Duration(queue.policy.OtherZonePenalty*float64(firstEvent))
	}
	inTime := !now.Add(time.Duration(margin * float64(firstEvent))).After(request.FirstBy)
	if request.Pause > 0 {
		load.Running++
		load.PendingTokens += request.Work.PromptTokens
		inTime = inTime && replica.Speed.Pause(load) <= request.Pause
	}
	return estimate{inTime: inTime, cost: cost}
}

// best returns the replica that serves a request on time the soonest, or without one the
// soonest, or nil if the node can use none.
func (queue *Queue) best(request Request, margin float64, now time.Time) (*replica, estimate) {
	var best *replica
	var bestEstimate estimate
	for _, id := range queue.order {
		replica := queue.replicas[id]
		if slices.Contains(request.Unusable, id) {
			continue
		}
		estimate := queue.estimate(replica, request, margin, now)
		if best == nil || estimate.inTime && !bestEstimate.inTime || estimate.inTime == bestEstimate.inTime && estimate.cost < bestEstimate.cost {
			best, bestEstimate = replica, estimate
		}
	}
	return best, bestEstimate
}

// refuses reports whether a replica takes no request that would be late there.
func (replica *replica) refuses(policy Policy) bool {
	if policy.RejectLate {
		return !replica.quiet()
	}
	return float64(replica.inFlight+replica.others.InFlight+1) > float64(replica.Slots)*(1+policy.QueueAllowance)
}

// promise returns when a caller that is rejected is to return. Those who return come one after
// the other, at the rate of RetryRate for each replica, MaxRetryDelay later at the most. One that
// would have to wait for longer than callers do gives up, and takes no one's turn.
func (queue *Queue) promise(request Request, now time.Time) time.Time {
	earliest, latest := now.Add(queue.policy.RetryDelay), now.Add(queue.policy.MaxRetryDelay)
	gap := time.Duration(float64(time.Second) / queue.policy.RetryRate / float64(max(1, len(queue.replicas))))
	next := queue.promised.Add(gap)
	if next.Before(earliest) {
		next = earliest
	}
	if next.Sub(now) <= request.Deadline.Sub(now)/patience {
		queue.promised = next
	}
	if next.After(latest) {
		return latest
	}
	return next
}

// patience is the part of its remaining time for which a caller waits at most before it returns.
const patience = 3

// quiet reports whether a late request at a replica keeps no other from being on time.
func (replica *replica) quiet() bool {
	return batch.Quiet(replica.inFlight+replica.others.InFlight, replica.pendingTokens+replica.others.PendingTokens, replica.Slots)
}
