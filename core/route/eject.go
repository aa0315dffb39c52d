package route

import (
	"slices"
	"time"
)

// Ejection is a straggling replica's absence from routing.
type Ejection struct {
	ID    string
	Until time.Time
}

// minimumAnswers is how many answers a replica's history needs to count.
const minimumAnswers = 8

// Eject names the replicas that straggle, by their own history against their
// peers' median; those ejected before stay until they are clearly better or
// their time is over, and never more than a share is out.
func Eject(policy Policy, replicas []Replica, before []Ejection, now time.Time) []Ejection {
	median := medianFirst(replicas)
	if median == 0 {
		return nil
	}
	most := int(policy.MaxEjectedShare * float64(len(replicas)))
	var out []Ejection
	for i := range replicas {
		if len(out) == most {
			break
		}
		if ejection, slow := judge(policy, &replicas[i], median, before, now); slow {
			out = append(out, ejection)
		}
	}
	return out
}

func judge(policy Policy, replica *Replica, median time.Duration, before []Ejection, now time.Time) (Ejection, bool) {
	took, answers := replica.State.FirstTokenLatency()
	ratio := float64(took) / float64(median)
	place := slices.IndexFunc(before, func(e Ejection) bool { return e.ID == replica.ID })
	if place >= 0 {
		if !now.Before(before[place].Until) {
			replica.State.ResetHistory()
			return Ejection{}, false
		}
		return before[place], ratio > policy.ReturnRatio
	}
	ejection := Ejection{ID: replica.ID, Until: now.Add(policy.MaxEjectionTime)}
	return ejection, answers >= minimumAnswers && ratio > policy.EjectRatio
}

// ResetHistory forgets the replica's history, so that it is judged anew.
func (replicastate *ReplicaState) ResetHistory() {
	replicastate.firstTime.Store(0)
	replicastate.answers.Store(0)
}

func medianFirst(replicas []Replica) time.Duration {
	var times []time.Duration
	for i := range replicas {
		if took, answers := replicas[i].State.FirstTokenLatency(); answers >= minimumAnswers {
			times = append(times, took)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}
