package fakes

import (
	"sync"
	"time"
)

// WeightStore stands in for the rate-limited weight store. It starts loads in the
// order of the calls, at least spacing apart.
type WeightStore struct {
	mutex     sync.Mutex
	spacing   time.Duration
	nextStart time.Time
}

// NewWeightStore returns a store that starts one load per spacing.
func NewWeightStore(spacing time.Duration) *WeightStore { return &WeightStore{spacing: spacing} }

// Load schedules a load as soon as the rate allows and returns the time at which it
// is complete.
func (weightstore *WeightStore) Load(now time.Time, loadTime time.Duration) time.Time {
	weightstore.mutex.Lock()
	defer weightstore.mutex.Unlock()
	start := now
	if weightstore.nextStart.After(now) {
		start = weightstore.nextStart
	}
	weightstore.nextStart = start.Add(weightstore.spacing)
	return start.Add(loadTime)
}
