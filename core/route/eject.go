package route

import (
	"slices"
	"time"
)

// Ejection is for a replica that is much slower than the others. Until it ends,
// routing uses the replica only as a last resort.
type Ejection struct {
	ID    string
	Until time.Time
}

// minSamples is how many latency samples a replica needs before its latency
// counts.
const minSamples = 8

// Eject returns the replicas to eject: those whose time to first token is far
// above the median of all replicas. A replica that was ejected before stays so
// until it is clearly better or its time is over. At most MaxEjectedShare of
// the replicas are ejected, the first ones in the order of replicas.
func Eject(policy Policy, replicas []Replica, previous []Ejection, now time.Time) []Ejection {
	median := medianLatency(replicas)
	if median == 0 {
		return nil
	}
	maxEjected := int(policy.MaxEjectedShare * float64(len(replicas)))
	var ejections []Ejection
	for i := range replicas {
		if len(ejections) == maxEjected {
			break
		}
		if ejection, ejected := ejectionOf(policy, &replicas[i], median, previous, now); ejected {
			ejections = append(ejections, ejection)
		}
	}
	return ejections
}

// ejectionOf returns a replica's ejection and whether it applies. When the time of
// an ejection is over, the replica returns to routing with an empty history.
func ejectionOf(policy Policy, replica *Replica, median time.Duration, previous []Ejection, now time.Time) (Ejection, bool) {
	latency, samples := replica.State.FirstTokenLatency()
	ratio := float64(latency) / float64(median)
	index := slices.IndexFunc(previous, func(e Ejection) bool { return e.ID == replica.ID })
	if index >= 0 {
		if !now.Before(previous[index].Until) {
			replica.State.ResetHistory()
			return Ejection{}, false
		}
		return previous[index], ratio > policy.ReturnRatio
	}
	ejection := Ejection{ID: replica.ID, Until: now.Add(policy.MaxEjectionTime)}
	return ejection, samples >= minSamples && ratio > policy.EjectRatio
}

// ResetHistory drops the replica's latency samples, so that it is evaluated anew.
func (replicastate *ReplicaState) ResetHistory() {
	replicastate.firstTokenLatency.Store(0)
	replicastate.samples.Store(0)
}

// medianLatency returns the median of the replicas' times to first token, or 0 if
// none has enough samples.
func medianLatency(replicas []Replica) time.Duration {
	var latencies []time.Duration
	for i := range replicas {
		if latency, samples := replicas[i].State.FirstTokenLatency(); samples >= minSamples {
			latencies = append(latencies, latency)
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[(len(latencies)-1)/2]
}
