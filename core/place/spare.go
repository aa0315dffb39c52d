package place

import (
	"math"
	"time"
)

const (
	maxReserve = 4 // reserve replicas of a service
	maxSpares  = 4 // spares of a fabric domain
)

// reserveReplicas returns the number of reserve replicas: those that should
// serve beyond what demand needs.
//
// A reserve replica serves, so its hosts are not stranded, but they could be
// handed back: it costs its hosts at the stranded weight. It saves downtime
// whenever more replicas are broken than there are other reserve replicas, in
// whichever fabric domain. The number of broken replicas is taken as Poisson
// distributed. The n-th reserve replica is worth its cost while the downtime
// weight times the probability that n or more replicas are broken exceeds the
// stranded weight. The number of hosts per replica is a factor of both sides
// and cancels out.
//
// For example, 20 replicas of 2 hosts that each fail 0.014 times a day and are
// away for 40 minutes have a mean of 0.016 broken replicas. At least one is
// broken for 1.5 hours in 100, so a downtime weight above 65 times the stranded
// weight keeps one reserve replica.
func (planner *planner) reserveReplicas() int {
	objective := planner.input.Objective
	meanBroken := planner.meanBrokenReplicas()
	count := 0
	for count < maxReserve && objective.DowntimeWeight*poissonAtLeast(count+1, meanBroken) > objective.StrandedWeight {
		count++
	}
	return count
}

// meanBrokenReplicas returns how many of the wanted replicas lack a host on
// average.
func (planner *planner) meanBrokenReplicas() float64 {
	policy := planner.input.Policy
	hosts := float64(planner.input.WantedReplicas * planner.input.Service.HostsPerReplica)
	return hosts * policy.FailuresPerHostDay * days(policy.HostRecovery)
}

// sparesToKeep returns how many spares, idle hosts that do not serve, a domain
// with the given number of replicas should keep.
//
// A spare costs one stranded host all the time. When a host fails and the spare
// is idle, the replica serves again once the spare has loaded, not when the
// host is back. For the time between the two, the spare saves the other hosts
// of the replica from being stranded, and saves the replica's downtime if the
// reserve replicas are used up. The n-th spare is worth its cost while that
// saving, times the rate of failures and the probability that the spare is
// still idle, exceeds the cost.
func (planner *planner) sparesToKeep(replicas int) int {
	policy, objective := planner.input.Policy, planner.input.Objective
	if replicas == 0 {
		return 0
	}
	size := float64(planner.input.Service.HostsPerReplica)
	failuresPerDay := policy.FailuresPerHostDay * size * float64(replicas)
	timeSaved := max(policy.HostRecovery-policy.LoadTime, 0)
	shortageProbability := poissonAtLeast(planner.reserved+1, planner.meanBrokenReplicas())
	outageCost := objective.DowntimeWeight*size*shortageProbability + objective.StrandedWeight*(size-1)
	meanHostsAway := failuresPerDay * days(policy.HostRecovery)
	spares := 0
	for spares < maxSpares {
		gain := failuresPerDay * poissonAtMost(spares, meanHostsAway) * days(timeSaved) * outageCost
		if gain <= objective.StrandedWeight {
			return spares
		}
		spares++
	}
	return spares
}

// poissonAtMost returns the probability that a Poisson variable is n or less.
func poissonAtMost(n int, mean float64) float64 { return 1 - poissonAtLeast(n+1, mean) }

func days(duration time.Duration) float64 { return duration.Hours() / 24 }

// poissonAtLeast returns the probability that a Poisson variable is n or more.
func poissonAtLeast(n int, mean float64) float64 {
	below := 0.0
	term := math.Exp(-mean)
	for i := range n {
		below += term
		term *= mean / float64(i+1)
	}
	return 1 - below
}
