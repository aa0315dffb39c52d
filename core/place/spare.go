package place

import (
	"math"
	"time"
)

const (
	maxReserve = 4
	maxSpares  = 4
)

// reserve gives how many replicas more than demand needs should serve.
//
// A replica in reserve serves, so it is not stranded, but its hosts could go
// back: it costs its hosts at the stranded weight. It saves downtime whenever
// more replicas are broken than there were reserves before it, whichever fabric
// domain they are in. With so many broken at once on average, the n-th reserve
// is worth its cost while the downtime weight times the chance that n or more
// are broken exceeds the stranded weight; the size counts on both sides. For
// example 20 replicas of 2 hosts that each fail 0.014 times a day and are away
// 40 minutes have 0.016 broken at once. One is broken 1.5 hours in 100, so a
// downtime weight above 65 times the stranded one keeps a reserve.
func (planner *planner) reserve() int {
	objective := planner.input.Objective
	broken := planner.brokenAtOnce()
	count := 0
	for count < maxReserve && objective.DowntimeWeight*atLeast(count+1, broken) > objective.StrandedWeight {
		count++
	}
	return count
}

// brokenAtOnce is how many of the wanted replicas lack a host on average.
func (planner *planner) brokenAtOnce() float64 {
	policy := planner.input.Policy
	hosts := float64(planner.input.WantedReplicas * planner.input.Service.HostsPerReplica)
	return hosts * policy.FailuresPerHostDay * days(policy.HostRecovery)
}

// spares gives how many idle hosts a domain with so many replicas should keep.
//
// A spare costs one stranded host all the time. It saves, at each failure that
// finds it idle, the time from a loaded spare to the host's return: the other
// hosts of the replica are stranded for that long, and the replica is missed if
// the reserve is used up. The n-th spare is worth its cost while that saving,
// times the chance that it is still idle, exceeds the cost.
func (planner *planner) spares(replicas int) int {
	policy, objective := planner.input.Policy, planner.input.Objective
	if replicas == 0 {
		return 0
	}
	size := float64(planner.input.Service.HostsPerReplica)
	perDay := policy.FailuresPerHostDay * size * float64(replicas)
	saved := max(policy.HostRecovery-policy.LoadTime, 0)
	missed := atLeast(planner.reserved+1, planner.brokenAtOnce())
	worth := objective.DowntimeWeight*size*missed + objective.StrandedWeight*(size-1)
	away := perDay * days(policy.HostRecovery)
	spares := 0
	for spares < maxSpares {
		gain := perDay * atMost(spares, away) * days(saved) * worth
		if gain <= objective.StrandedWeight {
			return spares
		}
		spares++
	}
	return spares
}

// atMost is the chance that n or fewer of something with a mean of so many at
// once are there.
func atMost(n int, mean float64) float64 { return 1 - atLeast(n+1, mean) }

func days(duration time.Duration) float64 { return duration.Hours() / 24 }

// atLeast is the chance that n or more of something with a mean of so many at
// once are there.
func atLeast(n int, mean float64) float64 {
	below := 0.0
	term := math.Exp(-mean)
	for i := range n {
		below += term
		term *= mean / float64(i+1)
	}
	return 1 - below
}
