package fleet

import (
	"math"
	"time"

	"hickorybend/core/site"
)

// Demand is the recent demand for each model: the host time that requests take,
// with exponential decay, and its peak.
type Demand struct {
	recent map[string]float64 // host-seconds by model
	at     time.Time          // of the last decay
	peak   peakRecord
}

// demandHalfLife is the time in which past demand loses half of its weight.
const demandHalfLife = 4 * time.Second

// NewDemand returns a Demand of zero for all models.
func NewDemand() *Demand { return &Demand{recent: map[string]float64{}} }

// Add adds the demand since the last call, in host-seconds by model.
func (demand *Demand) Add(now time.Time, added map[string]float64) {
	decay := math.Exp2(-float64(now.Sub(demand.at)) / float64(demandHalfLife))
	demand.at = now
	for model := range demand.recent {
		demand.recent[model] *= decay
	}
	for model, work := range added {
		demand.recent[model] += work
	}
	demand.peak.add(now, added)
}

// Peak returns the demand at the peak of the load.
func (demand *Demand) Peak(now time.Time) Peak { return demand.peak.peak(now) }

// Recent returns the decayed demand of each model in host-seconds.
func (demand *Demand) Recent() map[string]float64 { return demand.recent }

// shareOf returns the fraction of the hosts that a model needs. The configured
// shares are a prior that weighs as much as the work of all hosts in priorTime, a
// few seconds, so that the first requests do not decide alone. For example, with
// 216 hosts and a priorTime of 4 s, 20 host-seconds in the first second that all
// happen to be for one model move its share from 0.50 to 0.51.
func shareOf(model site.Model, hosts int, priorTime time.Duration, recent map[string]float64) float64 {
	priorWork := float64(hosts) * priorTime.Seconds()
	total := priorWork
	for _, work := range recent {
		total += work
	}
	if total == 0 {
		return model.InitialShare
	}
	return (priorWork*model.InitialShare + recent[model.Name]) / total
}
