package fleet

import (
	"cmp"
	"slices"
	"time"

	"hickorybend/core/site"
)

// reservation keeps a domain's free endpoints for a model until the replicas that
// give hosts to it, its donors, have ended.
type reservation struct {
	model string
	until time.Time
}

// convert ends replicas (donors) to give their hosts to a model that lacks replicas
// more than the donors' models do, where that completes a replica of it. For
// example, a replica of four broke and left three hosts, and its domain has no
// spare. A replica of two there whose hosts have the weights of both models ends,
// and one of its hosts completes the four. Before the first request nothing is
// converted: the replicas are those of the best packing.
func (pass *pass) convert() {
	if pass.NoRequestsYet {
		return
	}
	if pass.hasTarget() {
		pass.convertToTarget()
		return
	}
	for domain, reservation := range pass.planner.reservations {
		if pass.Now.After(reservation.until) {
			delete(pass.planner.reservations, domain)
		}
	}
	needs := pass.needs()
	domains := pass.free()
	for i := range needs {
		for needs[i].score() >= 1 && pass.mayConvert(needs[i]) && pass.convertTo(needs[i], needs, domains) {
			needs[i].replicas++
		}
	}
}

// mayConvert limits the hosts that change to another model at once: a closed
// replica serves nothing for some seconds, and the need may change meanwhile. One
// conversion is always allowed.
func (pass *pass) mayConvert(to need) bool {
	hosts := to.model.ReplicaSize
	for _, reservation := range pass.planner.reservations {
		model, _ := pass.Engine.Model(reservation.model)
		hosts += model.ReplicaSize
	}
	return len(pass.planner.reservations) == 0 || float64(hosts) <= pass.planner.policy.ConvertFraction*float64(len(pass.Endpoints))
}

// convertTo closes the donors of one domain, the domain where the fewest donors
// complete a replica of the model. It returns false if there is no such domain.
func (pass *pass) convertTo(to need, needs []need, domains map[string][]string) bool {
	var best []*replica
	bestDomain := ""
	for domain := range pass.domains() {
		if _, reserved := pass.planner.reservations[domain]; reserved {
			continue
		}
		donors := pass.selectDonors(to, needs, domain, pass.countPrepared(domains[domain], to.model))
		if donors != nil && (best == nil || len(donors) < len(best) || len(donors) == len(best) && domain < bestDomain) {
			best, bestDomain = donors, domain
		}
	}
	if best == nil {
		return false
	}
	for _, replica := range best {
		countOneFewer(needs, replica.model.Name)
		replica.state = stateRetiring
		replica.closing = true
		replica.retireDeadline = pass.Now.Add(pass.planner.policy.ConvertTimeout)
	}
	until := pass.Now.Add(pass.planner.policy.ConvertTimeout + pass.planner.policy.CommandRetry)
	pass.planner.reservations[bestDomain] = reservation{model: to.model.Name, until: until}
	return true
}

// countOneFewer subtracts one replica of a model from the needs, so that they are
// right for the next conversion.
func countOneFewer(needs []need, model string) {
	for i := range needs {
		if needs[i].model.Name == model {
			needs[i].replicas--
		}
	}
}

// domains returns the set of all domains that have an endpoint.
func (pass *pass) domains() map[string]bool {
	domains := map[string]bool{}
	for _, endpoint := range pass.Endpoints {
		domains[endpoint.Domain] = true
	}
	return domains
}

// countPrepared counts the endpoints that could join a replica of the model without
// loading its weights.
func (pass *pass) countPrepared(ids []string, model site.Model) int {
	count := 0
	for _, id := range ids {
		if pass.readinessOf(id, model.Name) <= readyWarm {
			count++
		}
	}
	return count
}

// selectDonors picks the replicas of a domain that together give enough hosts to
// complete a replica of the model, in the order of donors. It returns nil if the
// domain has no such donors, if they are too many, or if ending them costs more
// than the new replica gains.
//
// Normally some hosts of the domain have to be prepared and free already, and no
// more donors may end than the new replica may lack hosts. If the need is urgent,
// the new replica may be made of donors' hosts alone.
//
// A donor that its model cannot spare costs that model's score without the donor,
// times the donor's hosts. The gain is the score of the new replica's model times
// the prepared hosts.
func (pass *pass) selectDonors(to need, needs []need, domain string, prepared int) []*replica {
	lacking := to.model.ReplicaSize - prepared
	maxDonors := max(1, pass.maxMissing(to.model))
	urgent := to.score() >= urgentScore || to.score() >= urgentScoreAtLowUtilization && othersAtLowUtilization(needs, to)
	if urgent {
		maxDonors = max(maxDonors, pass.donorsForAll(to.model))
	}
	if lacking <= 0 || prepared == 0 && !urgent {
		return nil
	}
	var chosen []*replica
	lostScore := 0.0
	for _, candidate := range pass.donors(needs, to, domain) {
		if lacking <= 0 {
			break
		}
		from := needOf(needs, candidate.model.Name)
		if !pass.canSpare(from, to) {
			lostScore += from.scoreIfOneFewer() * float64(candidate.model.ReplicaSize)
		}
		chosen = append(chosen, candidate)
		lacking -= pass.countPrepared(candidate.members, to.model)
	}
	if lacking > 0 || len(chosen) > maxDonors || lostScore*gainRatio > to.score()*float64(prepared) {
		return nil
	}
	return chosen
}

const (
	urgentScore                 = 2.2 // score from which on a replica may be made of donors' hosts alone
	urgentScoreAtLowUtilization = 1.3 // the same while the utilization of all other models is low
	lowUtilization              = 0.5 // utilization up to which it counts as low
	gainRatio                   = 1.3 // how many times more the hosts that begin to serve have to be needed than those that stop
)

// donorsForAll returns how many of the smallest replicas of other models have as many
// hosts as a replica of the model.
func (pass *pass) donorsForAll(model site.Model) int {
	smallest := 0
	for _, other := range pass.models {
		if other.Name != model.Name && other.ReplicaSize > 0 && (smallest == 0 || other.ReplicaSize < smallest) {
			smallest = other.ReplicaSize
		}
	}
	if smallest == 0 {
		return 0
	}
	return (model.ReplicaSize + smallest - 1) / smallest
}

// othersAtLowUtilization reports whether the utilization of all other models is
// low.
func othersAtLowUtilization(needs []need, to need) bool {
	for _, need := range needs {
		if need.model.Name != to.model.Name && need.utilization > lowUtilization {
			return false
		}
	}
	return true
}

// donors lists a domain's serving replicas of other models that have at least one
// host with the model's weights. Replicas of models that can spare one come first,
// and among them those with fewer requests in flight.
func (pass *pass) donors(needs []need, to need, domain string) []*replica {
	var donors []*replica
	for _, replica := range pass.planner.sortedReplicas() {
		if replica.state != stateServing || replica.model.Name == to.model.Name || pass.known[replica.firstHost()].Domain != domain {
			continue
		}
		if pass.countPrepared(replica.members, to.model) > 0 {
			donors = append(donors, replica)
		}
	}
	tier := func(replica *replica) int {
		if pass.canSpare(needOf(needs, replica.model.Name), to) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(donors, func(a, b *replica) int {
		return cmp.Or(tier(a)-tier(b), pass.InFlight[a.firstHost()]-pass.InFlight[b.firstHost()])
	})
	return donors
}

// canSpare reports whether one model can give up a replica for another: it has
// enough of them, or the other one lacks far more. Where both lack hosts, closing
// a replica that serves helps only because it puts idle hosts to use: a broken
// replica of eight leaves seven hosts idle, and one host of a replica of two in
// their domain completes it.
func (pass *pass) canSpare(from, to need) bool {
	fewer := from.scoreIfOneFewer()
	if fewer <= sufficientScore {
		return to.score() >= pass.planner.policy.ConvertRatio*fewer
	}
	return to.score() >= shortageRatio*fewer
}

const (
	sufficientScore = 1.1 // a model whose score without the replica is at most this has enough replicas
	shortageRatio   = 1.6 // how many times higher the other model's score has to be if the donor's model lacks replicas too
)

// needOf returns a model's need, or the zero need if there is none.
func needOf(needs []need, model string) need {
	for _, need := range needs {
		if need.model.Name == model {
			return need
		}
	}
	return need{}
}
