package spill

import (
	"math"
	"time"

	"hickorybend/core/batch"
)

// Policy holds the thresholds and the damping.
type Policy struct {
	Comfort        float64 // fraction of the time left within which the first event has to come here for a request to stay
	Damping        float64 // fraction that is sent away where the advantage is all of the time left
	BytesPerSecond float64 // bytes between zones that weigh as much as a second of delay
}

// DefaultPolicy suits figures that are up to a second old.
func DefaultPolicy() Policy {
	return Policy{Comfort: 0.5, Damping: 1, BytesPerSecond: 10 << 20}
}

// Replica is a replica as a node, or the leader of a zone, knows it.
type Replica struct {
	Speed    batch.Replica
	InFlight int           // requests there, those that wait for a slot included
	Pending  int           // tokens of their prompts that are not prefilled yet
	Delay    time.Duration // one way; 0 in this zone
}

// Request is what is to be served.
type Request struct {
	PromptTokens int
	TimeLeft     time.Duration // until its first event is due
	Bytes        int           // of its body and its answer, if they go to another zone
}

// FirstEvent estimates when the first event of a request would arrive here from a replica. It is
// 0 if the engine's speed is not known.
func (replica Replica) FirstEvent(request Request) time.Duration {
	if !replica.Speed.Known() {
		return 0
	}
	engine := replica.Speed.Engine
	running := min(replica.InFlight, engine.Slots-1)
	load := batch.Load{Running: running, PendingTokens: replica.Pending, ContextTokens: running * (engine.UsualPromptTokens + engine.UsualAnswerTokens/2)}
	first := replica.Speed.FirstEvent(load, request.PromptTokens) + 2*replica.Delay
	if waiting := replica.InFlight + 1 - engine.Slots; waiting > 0 {
		// Each slot becomes free after the steps of an answer, one slot after the other.
		answer := float64(max(1, engine.UsualAnswerTokens)) * float64(replica.Speed.StepTime(load))
		first += time.Duration(float64(waiting) / float64(engine.Slots) * answer)
	}
	return first
}

// Share returns the fraction of requests that are sent to a replica of another zone, given when
// the best one here and that one would serve them.
func Share(policy Policy, here, there time.Duration, request Request) float64 {
	left := max(request.TimeLeft, time.Millisecond)
	if float64(here) <= policy.Comfort*float64(left) {
		return 0
	}
	if policy.BytesPerSecond > 0 {
		there += time.Duration(float64(request.Bytes) / policy.BytesPerSecond * float64(time.Second))
	}
	if there >= left {
		return 0 // late there too
	}
	advantage := float64(here-there) / float64(left)
	return min(1, policy.Damping*math.Max(0, advantage))
}
