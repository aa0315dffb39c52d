package fleet

import (
	"math"
	"time"

	"hickorybend/core/site"
)

// Demand is the hosts' time that callers lately asked of each model. What is
// older counts less.
type Demand struct {
	lately map[string]float64 // hosts' seconds
	at     time.Time
}

// demandHalf is the time in which work asked loses half of its weight.
const demandHalf = 4 * time.Second

// NewDemand makes an empty record.
func NewDemand() *Demand { return &Demand{lately: map[string]float64{}} }

// Add takes in what was asked since the last time, in hosts' seconds.
func (demand *Demand) Add(now time.Time, asked map[string]float64) {
	kept := math.Exp2(-float64(now.Sub(demand.at)) / float64(demandHalf))
	demand.at = now
	for model := range demand.lately {
		demand.lately[model] *= kept
	}
	for model, work := range asked {
		demand.lately[model] += work
	}
}

// Recent gives the hosts' seconds of each model.
func (demand *Demand) Recent() map[string]float64 { return demand.lately }

// shareOf gives the part of the hosts that a model needs. The configured shares
// count like work of a few seconds of all hosts, so that the first requests do
// not decide alone: with 216 hosts and 4 s, the first second's 20 hosts'
// seconds that happen to be all of one model move its share from 0.50 to 0.51.
func shareOf(model site.Model, hosts int, memory time.Duration, lately map[string]float64) float64 {
	prior := float64(hosts) * memory.Seconds()
	total := prior
	for _, work := range lately {
		total += work
	}
	if total == 0 {
		return model.InitialShare
	}
	return (prior*model.InitialShare + lately[model.Name]) / total
}
