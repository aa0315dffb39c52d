package batch

import (
	"math"
	"time"

	"hickorybend/core/site"
)

// Replica is the speed of one replica of a model.
type Replica struct {
	Engine *site.Engine
	Model  site.Model
}

// Load is what a replica works on.
type Load struct {
	Running       int // requests in the batch
	PendingTokens int // tokens of prompts that are not prefilled yet
	ContextTokens int // tokens of prompts and answers in the batch
}

// Work is what a request asks of a replica.
type Work struct {
	PromptTokens int
	AnswerTokens int
}

// quietShare is the fraction of its slots up to which a replica is quiet.
const quietShare = 0.3

// Waiting estimates how many prompts are pending at a replica, given their tokens together. Nodes
// report no number of prompts, so each is assumed to be as long as promptTokens.
func Waiting(pendingTokens, promptTokens int) int {
	if pendingTokens <= 0 {
		return 0
	}
	return 1 + pendingTokens/max(1, promptTokens)
}

// Quiet reports whether a late request at a replica keeps no other from being on time: no prompt
// is pending there, and few requests are in flight.
func Quiet(inFlight, pendingTokens, slots int) bool {
	return pendingTokens <= 0 && float64(inFlight) < quietShare*float64(slots)
}

// Known reports whether the configuration states the engine's speed.
func (replica Replica) Known() bool {
	engine := replica.Engine
	return engine != nil && engine.PrefillTokensPerSec > 0 && engine.StepTime > 0 && engine.Slots > 0
}

// factor returns the model's factor on all times.
func (replica Replica) factor() float64 {
	if replica.Model.TimeFactor <= 0 {
		return 1
	}
	return replica.Model.TimeFactor
}

// passSteps returns the number of decode steps of a pass.
func (replica Replica) passSteps() float64 { return float64(max(1, replica.Engine.PassSteps)) }

// passTokens returns the number of prompt tokens that a pass prefills, or infinity if the
// configuration does not limit them.
func (replica Replica) passTokens() float64 {
	if replica.Engine.PassTokens <= 0 {
		return math.Inf(1)
	}
	return float64(replica.Engine.PassTokens)
}

// StepTime returns the time of one decode step.
func (replica Replica) StepTime(load Load) time.Duration {
	if !replica.Known() {
		return 0
	}
	engine := replica.Engine
	step := float64(engine.StepTime) + float64(load.Running)*float64(engine.StepPerSlot) + float64(load.ContextTokens)/1000*float64(engine.ContextTime)
	return time.Duration(step * replica.factor())
}

// PrefillTime returns the time that the prefill of a prompt takes by itself.
func (replica Replica) PrefillTime(promptTokens int) time.Duration {
	if !replica.Known() || promptTokens <= 0 {
		return 0
	}
	tokens := float64(promptTokens)
	read := tokens / replica.Engine.PrefillTokensPerSec * float64(time.Second)
	pairs := tokens * tokens / 2 / 1e6 * float64(replica.Engine.PairTime)
	return time.Duration((read + pairs) * replica.factor())
}

// decodeTime returns the time that a pass spends on decoding.
func (replica Replica) decodeTime(load Load) time.Duration {
	if load.Running == 0 {
		return 0
	}
	return time.Duration(replica.passSteps() * float64(replica.StepTime(load)))
}

// FirstEvent estimates the time until the first event of a further request: the rest of the
// present pass, the chunks of the prompts before it and of its own with the decoding between
// them, and the pass that makes the event.
func (replica Replica) FirstEvent(load Load, promptTokens int) time.Duration {
	if !replica.Known() {
		return 0
	}
	decode := replica.decodeTime(load)
	with := load
	with.Running++
	prefill := replica.PrefillTime(promptTokens) + time.Duration(float64(load.PendingTokens)/replica.Engine.PrefillTokensPerSec*float64(time.Second)*replica.factor())
	chunks := math.Ceil(float64(load.PendingTokens+promptTokens) / replica.passTokens())
	return decode/2 + prefill + time.Duration(max(0, chunks-1)*float64(decode)) + replica.decodeTime(with)
}

// Pause estimates the longest pause between two events while prompts are prefilled: the
// decoding of a pass and one chunk.
func (replica Replica) Pause(load Load) time.Duration {
	if !replica.Known() {
		return 0
	}
	chunk := min(float64(load.PendingTokens), replica.passTokens())
	return replica.decodeTime(load) + time.Duration(chunk/replica.Engine.PrefillTokensPerSec*float64(time.Second)*replica.factor())
}

// Running estimates how many requests are in the batch while they come at a rate, in
// requests a second. It returns infinity if the replica cannot keep up.
func (replica Replica) Running(rate float64, work Work) float64 {
	if !replica.Known() || rate <= 0 {
		return 0
	}
	prefill := rate * replica.PrefillTime(work.PromptTokens).Seconds()
	tokens := rate * float64(work.AnswerTokens) * replica.factor()
	step, perRequest := replica.Engine.StepTime.Seconds(), replica.Engine.StepPerSlot.Seconds()
	perRequest += float64(work.PromptTokens+work.AnswerTokens/2) / 1000 * replica.Engine.ContextTime.Seconds()
	left := 1 - prefill - tokens*perRequest
	if left <= 0 {
		return math.Inf(1)
	}
	return tokens * step / left
}

// InTime estimates the fraction of requests whose first event comes within an objective and
// whose pauses stay within another (0 for none), while requests come at random at a rate, in
// requests a second. Prompts wait as in a queue with one server and a fixed service time
// (M/D/1), whose waiting time has an exponential tail; the service time is what a prompt
// takes of the passes.
func (replica Replica) InTime(rate float64, work Work, objective, pause time.Duration) float64 {
	if !replica.Known() {
		return 1
	}
	running := replica.Running(rate, work)
	slots := float64(replica.Engine.Slots)
	if math.IsInf(running, 1) {
		return 0
	}
	load := Load{Running: int(math.Ceil(min(running, slots)))}
	load.ContextTokens = load.Running * (work.PromptTokens + work.AnswerTokens/2)
	decode := replica.decodeTime(load).Seconds()
	prefill := replica.PrefillTime(work.PromptTokens).Seconds()
	service := prefill + decode*float64(work.PromptTokens)/replica.passTokens()
	utilization := max(rate*service, running/slots)
	if utilization >= 1 || pause > 0 && replica.Pause(Load{Running: load.Running, ContextTokens: load.ContextTokens, PendingTokens: work.PromptTokens}) > pause {
		return 0
	}
	slack := (objective - replica.FirstEvent(load, work.PromptTokens)).Seconds()
	if slack <= 0 || service <= 0 {
		return 0
	}
	return 1 - utilization*math.Exp(-2*(1-utilization)/utilization*slack/service)
}
