package site

import "time"

// HostTime estimates the host time that a request to a model takes, summed over
// the hosts of a replica. Its prefill runs alone, and its decoding takes an
// equal share of each step of a full batch. For example, with 17 slots, steps
// of 9.4 ms and 46 prompt tokens prefilled in a millisecond, 1,400 prompt
// tokens and 170 answer tokens take 30 + 94 ms of a replica, times its hosts.
// HostTime returns 0 if the engine's speed or slots are not configured.
func (engine *Engine) HostTime(model Model, promptTokens, answerTokens int) time.Duration {
	if engine.PrefillTokensPerSec <= 0 || engine.Slots <= 0 {
		return 0
	}
	prefill := float64(promptTokens) / engine.PrefillTokensPerSec * float64(time.Second)
	stepTime := float64(engine.StepTime) + float64(engine.Slots)*float64(engine.StepPerSlot)
	decode := float64(answerTokens) * stepTime / float64(engine.Slots)
	hostTime := time.Duration((prefill + decode) * model.TimeFactor * float64(model.ReplicaSize))
	return hostTime
}

// ServiceTime estimates how long a replica with a full batch takes for a
// request, or returns 0 if the engine's speed is not configured. Prefills of
// other requests, which run between the steps, are not included.
func (engine *Engine) ServiceTime(model Model, promptTokens, answerTokens int) time.Duration {
	if engine.PrefillTokensPerSec <= 0 {
		return 0
	}
	prefill := float64(promptTokens) / engine.PrefillTokensPerSec * float64(time.Second)
	stepTime := float64(engine.StepTime) + float64(engine.Slots)*float64(engine.StepPerSlot)
	serviceTime := time.Duration((prefill + float64(answerTokens)*stepTime) * model.TimeFactor)
	return serviceTime
}
