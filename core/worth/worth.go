package worth

import (
	"time"

	"hickorybend/core/batch"
)

// Model is what the value of a model's replicas depends on.
type Model struct {
	Size int     // hosts of a replica
	Need float64 // hosts that serve the peak of the demand within the objectives
}

const (
	// shortageWeight is how much more the first host of a model is worth than the one
	// that completes its need: with 0.7, 2.4 times as much.
	shortageWeight = 0.7
	// reserveWeight is the value of the first host beyond the need. It is below that of
	// any host within the need, but above zero, since the need is an estimate.
	reserveWeight = 0.4
)

// Value returns the value of a number of replicas of the model, in hosts.
func (model Model) Value(replicas int) float64 {
	hosts := float64(replicas * model.Size)
	switch {
	case model.Need <= 0:
		return 0
	case hosts <= model.Need:
		left := 1 - hosts/model.Need
		return hosts + shortageWeight*model.Need*(1-left*left)
	default:
		return model.Need * (1 + shortageWeight + reserveWeight*(1-model.Need/hosts))
	}
}

// inTimeAim is the fraction of requests that should be on time at the peak.
const inTimeAim = 0.9

// Utilization returns the fraction of the work of a full batch up to which a replica
// serves its requests on time. A model with a stricter objective needs more hosts for
// the same work. It returns the default if the engine's speed, the work or the objective
// is not known.
func Utilization(replica batch.Replica, work batch.Work, objective time.Duration, otherwise float64) float64 {
	if !replica.Known() || work.PromptTokens <= 0 || work.AnswerTokens <= 0 || objective <= 0 {
		return otherwise
	}
	hostTime := replica.Engine.HostTime(replica.Model, work.PromptTokens, work.AnswerTokens).Seconds()
	full := float64(max(1, replica.Model.ReplicaSize)) / hostTime // requests per second of a full batch
	low, high := 0.0, 1.0
	for range 20 {
		middle := (low + high) / 2
		if replica.InTime(middle*full, work, objective, 0) >= inTimeAim {
			low = middle
		} else {
			high = middle
		}
	}
	return max(low, leastUtilization)
}

// leastUtilization bounds the utilization from below. An objective that the replicas
// cannot meet at any rate must not make a model want all hosts.
const leastUtilization = 0.25
