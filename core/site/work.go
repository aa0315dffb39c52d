package site

import "time"

// HostTime estimates how much of hosts' time a request asks of a model: its prompt
// is read alone, its answer shares each step with a full batch. For example,
// with 17 slots, steps of 9.4 ms and 46 tokens read in a millisecond, 1,400
// tokens in and 170 out take 30 + 94 ms of a replica, times its hosts.
func (engine *Engine) HostTime(model Model, prompt, answer int) time.Duration {
	if engine.PrefillTokensPerSec <= 0 || engine.Slots <= 0 {
		return 0
	}
	read := float64(prompt) / engine.PrefillTokensPerSec * float64(time.Second)
	step := float64(engine.StepTime) + float64(engine.Slots)*float64(engine.StepPerSlot)
	write := float64(answer) * step / float64(engine.Slots)
	work := time.Duration((read + write) * model.TimeFactor * float64(model.ReplicaSize))
	return work
}

// ServiceTime estimates how long a replica with a full batch takes for a request;
// prompts of others, read between its steps, come on top.
func (engine *Engine) ServiceTime(model Model, prompt, answer int) time.Duration {
	if engine.PrefillTokensPerSec <= 0 {
		return 0
	}
	read := float64(prompt) / engine.PrefillTokensPerSec * float64(time.Second)
	step := float64(engine.StepTime) + float64(engine.Slots)*float64(engine.StepPerSlot)
	length := time.Duration((read + float64(answer)*step) * model.TimeFactor)
	return length
}
