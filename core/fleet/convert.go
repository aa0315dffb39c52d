package fleet

import (
	"cmp"
	"slices"
	"time"

	"hickorybend/core/site"
)

// promise keeps a domain's free endpoints for a model until hosts of another
// model's replica there are free as well.
type promise struct {
	model string
	until time.Time
}

// convert gives the hosts of a replica to another model that lacks replicas
// more, where that completes one. For example, a broken replica of four left
// three hosts, and nothing is to spare in the domain; of a replica of two
// there, whose hosts have the other weights too, one completes the four.
func (turn *turn) convert() {
	for domain, promise := range turn.planner.promised {
		if turn.Now.After(promise.until) {
			delete(turn.planner.promised, domain)
		}
	}
	needs := turn.needs()
	domains := turn.free()
	for i := range needs {
		for needs[i].score() >= 1 && turn.mayConvert(needs[i]) && turn.convertTo(needs[i], needs, domains) {
			needs[i].replicas++
		}
	}
}

// mayConvert bounds the hosts that are between two models at once: what is
// closed serves nobody for some seconds, and the need may change meanwhile.
func (turn *turn) mayConvert(to need) bool {
	hosts := to.model.ReplicaSize
	for _, promise := range turn.planner.promised {
		model, _ := turn.Engine.Model(promise.model)
		hosts += model.ReplicaSize
	}
	return len(turn.planner.promised) == 0 || float64(hosts) <= turn.planner.policy.ConvertFraction*float64(len(turn.Endpoints))
}

// convertTo closes the replicas of one domain that complete one of the model,
// if there is such a domain.
func (turn *turn) convertTo(to need, needs []need, domains map[string][]string) bool {
	var best []*replica
	bestDomain := ""
	for domain := range turn.domains() {
		if _, promised := turn.planner.promised[domain]; promised {
			continue
		}
		given := turn.giving(to, needs, domain, turn.preparedIn(domains[domain], to.model))
		if given != nil && (best == nil || len(given) < len(best) || len(given) == len(best) && domain < bestDomain) {
			best, bestDomain = given, domain
		}
	}
	if best == nil {
		return false
	}
	for _, replica := range best {
		lessen(needs, replica.model.Name)
		replica.stage = stageRetiring
		replica.closing = true
		replica.retireBy = turn.Now.Add(turn.planner.policy.ConvertTimeout)
	}
	until := turn.Now.Add(turn.planner.policy.ConvertTimeout + turn.planner.policy.CommandRetry)
	turn.planner.promised[bestDomain] = promise{model: to.model.Name, until: until}
	return true
}

// lessen counts a replica less, so that needs are right for the next one.
func lessen(needs []need, model string) {
	for i := range needs {
		if needs[i].model.Name == model {
			needs[i].replicas--
		}
	}
}

func (turn *turn) domains() map[string]bool {
	domains := map[string]bool{}
	for _, endpoint := range turn.Endpoints {
		domains[endpoint.Domain] = true
	}
	return domains
}

func (turn *turn) preparedIn(ids []string, model site.Model) int {
	count := 0
	for _, id := range ids {
		if turn.readinessOf(id, model.Name) <= readyWarm {
			count++
		}
	}
	return count
}

// giving lists the replicas of a domain that would give enough hosts, the ones
// with the least work first; nil where there are none that can be spared.
func (turn *turn) giving(to need, needs []need, domain string, free int) []*replica {
	lacking := to.model.ReplicaSize - free
	most := max(1, to.model.ReplicaSize/hostsPerGiving)
	dire := to.score() >= direNeed || to.score() >= easyNeed && calm(needs, to)
	if dire {
		most = to.model.ReplicaSize / smallSize
	}
	if lacking <= 0 || free == 0 && !dire {
		return nil
	}
	var given []*replica
	lost := 0.0
	for _, candidate := range turn.donors(needs, to, domain) {
		if lacking <= 0 {
			break
		}
		from := needOf(needs, candidate.model.Name)
		if !turn.spares(from, to) {
			lost += from.left() * float64(candidate.model.ReplicaSize)
		}
		given = append(given, candidate)
		lacking -= turn.preparedIn(candidate.members, to.model)
	}
	if lacking > 0 || len(given) > most || lost*gainRatio > to.score()*float64(free) {
		return nil
	}
	return given
}

const (
	hostsPerGiving = 4   // hosts of a replica for which one other may end
	direNeed       = 2.2 // need from which on a replica may be made of others alone
	easyNeed       = 1.3 // the same while the others have little to do
	calmLoad       = 0.5 // part of a model's slots up to which it has little to do
	gainRatio      = 1.3 // how much more the hosts that begin to serve are needed than those that stop
)

// calm tells whether the other models have little to do.
func calm(needs []need, to need) bool {
	for _, need := range needs {
		if need.model.Name != to.model.Name && need.load > calmLoad {
			return false
		}
	}
	return true
}

// donors lists a domain's replicas of other models of whose hosts one at least
// has the weights, those of models that can spare them first.
func (turn *turn) donors(needs []need, to need, domain string) []*replica {
	var donors []*replica
	for _, replica := range turn.planner.sorted() {
		if replica.stage != stageServing || replica.model.Name == to.model.Name || turn.known[replica.head()].Domain != domain {
			continue
		}
		if turn.preparedIn(replica.members, to.model) > 0 {
			donors = append(donors, replica)
		}
	}
	spared := func(replica *replica) int {
		if turn.spares(needOf(needs, replica.model.Name), to) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(donors, func(a, b *replica) int {
		return cmp.Or(spared(a)-spared(b), turn.InFlight[a.head()]-turn.InFlight[b.head()])
	})
	return donors
}

// spares tells whether a model can better do without a replica than another
// one: it has enough of them, or the other lacks far more. When both lack
// hosts, closing what serves gains only by the hosts that idle for want of one:
// of a broken replica of eight, seven wait, and one of two in their domain
// completes them.
func (turn *turn) spares(from, to need) bool {
	left := from.left()
	if left <= enoughNeed {
		return to.score() >= turn.planner.policy.ConvertRatio*left
	}
	return to.score() >= lackRatio*left
}

const (
	enoughNeed = 1.1 // need of a model that has enough replicas
	lackRatio  = 1.6 // how much more another one lacks before one that lacks some gives
)

func needOf(needs []need, model string) need {
	for _, need := range needs {
		if need.model.Name == model {
			return need
		}
	}
	return need{}
}
