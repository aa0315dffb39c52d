package fakes

import (
	"sync"
	"time"
)

// Weights stands in for the rate-limited weight store: loads beyond its rate
// wait for those before them.
type Weights struct {
	mutex  sync.Mutex
	spaced time.Duration
	freeAt time.Time
}

// NewWeights makes a store that begins one load per spacing.
func NewWeights(spaced time.Duration) *Weights { return &Weights{spaced: spaced} }

// Load gives the moment at which a load that is asked for now is finished.
func (weights *Weights) Load(now time.Time, takes time.Duration) time.Time {
	weights.mutex.Lock()
	defer weights.mutex.Unlock()
	begins := now
	if weights.freeAt.After(now) {
		begins = weights.freeAt
	}
	weights.freeAt = begins.Add(weights.spaced)
	return begins.Add(takes)
}
