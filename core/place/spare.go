package place

import (
	"math"
	"time"
)

// maxSpares bounds the spares of one fabric domain.
const maxSpares = 4

// spares gives how many idle hosts a domain with so many replicas should keep.
//
// A spare costs one stranded host all the time. It saves, at each failure that
// finds it idle, the time from a loaded spare to the host's return: for the
// replica as downtime, which counts for each of its hosts, and for its other
// hosts as stranded. The n-th spare is worth its cost while that saving, times
// the chance that it is still idle, exceeds the cost. For example two replicas
// of 4 hosts that each fail 0.014 times a day have 0.112 failures a day, each
// saving 37 minutes, 0.0257 of a day. With weights 3 (downtime) and 1 (stranded)
// that is 0.112 x 0.0257 x (3 x 4 + 1 x 3) = 0.043 of a host: no spare. Hosts
// that fail once a day and are away for 4 hours have 8 failures a day, each
// saving 0.16 of a day: 8 x 0.16 x 15 = 19, so the first spare is worth having.
func (planner *planner) spares(domain string, replicas int) int {
	policy, objective := planner.input.Policy, planner.input.Objective
	if replicas == 0 {
		return 0
	}
	size := float64(planner.input.Service.HostsPerReplica)
	perDay := policy.FailuresPerHostDay * size * float64(replicas)
	saved := max(policy.HostReturn-policy.LoadTime, 0)
	worth := objective.DowntimeWeight*size + objective.StrandedWeight*(size-1)
	away := perDay * days(policy.HostReturn)
	spares := 0
	for spares < maxSpares {
		gain := perDay * atLeast(spares, away) * days(saved) * worth
		if gain <= objective.StrandedWeight {
			return spares
		}
		spares++
	}
	return spares
}

func days(duration time.Duration) float64 { return duration.Hours() / 24 }

// atLeast is the chance that n or more of something that happens with a mean
// of so many at once are there.
func atLeast(n int, mean float64) float64 {
	below := 0.0
	term := math.Exp(-mean)
	for i := range n {
		below += term
		term *= mean / float64(i+1)
	}
	return 1 - below
}
