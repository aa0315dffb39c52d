package fakes

import (
	"sync"
	"time"
)

// WeightStore stands in for the rate-limited weight store: loads beyond its rate
// wait for those before them.
type WeightStore struct {
	mutex  sync.Mutex
	spaced time.Duration
	freeAt time.Time
}

// NewWeightStore makes a store that begins one load per spacing.
func NewWeightStore(spaced time.Duration) *WeightStore { return &WeightStore{spaced: spaced} }

// Load gives the moment at which a load that is asked for now is finished.
func (weightstore *WeightStore) Load(now time.Time, takes time.Duration) time.Time {
	weightstore.mutex.Lock()
	defer weightstore.mutex.Unlock()
	begins := now
	if weightstore.freeAt.After(now) {
		begins = weightstore.freeAt
	}
	weightstore.freeAt = begins.Add(weightstore.spaced)
	return begins.Add(takes)
}
