package fleet

import (
	"cmp"
	"slices"

	"hickorybend/core/site"
)

// Problem is a part of a deployment that cannot be placed, or repaired, as well as
// its configuration seems to ask for. All other parts are placed as usual.
type Problem struct {
	Model  string // "" if the problem is one of a domain
	Domain string // "" if the problem is one of a model
	Reason string
}

// The reasons of problems.
const (
	reasonNoSize      = "the model has no replica size"
	reasonTooLarge    = "a replica of the model has more hosts than any domain"
	reasonNoShare     = "the model has no initial share; it gets replicas once requests for it arrive"
	reasonOnlyModel   = "the service has one model only, so its replicas are repaired from idle hosts alone"
	reasonSmallDomain = "the domain has too few hosts for a replica of any model"
)

// Problems lists the problems of the deployment that it has not listed before. It
// lists none while endpoints are still appearing.
func (planner *Planner) Problems(input Input) []Problem {
	if input.Engine == nil || len(input.Endpoints) == 0 || input.Now.Before(planner.lastNewEndpointAt.Add(2*planner.policy.Debounce)) {
		return nil
	}
	pass := newPass(planner, input)
	var listed []Problem
	for _, problem := range append(pass.modelProblems(), pass.domainProblems()...) {
		if !planner.listedProblems[problem] {
			planner.listedProblems[problem] = true
			listed = append(listed, problem)
		}
	}
	return listed
}

// modelProblems lists the problems of the models in their order.
func (pass *pass) modelProblems() []Problem {
	largest := pass.largestDomain()
	var problems []Problem
	add := func(model site.Model, found bool, reason string) {
		if found {
			problems = append(problems, Problem{Model: model.Name, Reason: reason})
		}
	}
	for _, model := range pass.Engine.Models {
		add(model, model.ReplicaSize <= 0, reasonNoSize)
		add(model, model.ReplicaSize > largest, reasonTooLarge)
		add(model, model.InitialShare <= 0, reasonNoShare)
		add(model, len(pass.Engine.Models) == 1, reasonOnlyModel)
	}
	return problems
}

// domainProblems lists the domains that are too small, by name.
func (pass *pass) domainProblems() []Problem {
	smallest := 0
	for _, model := range pass.Engine.Models {
		if model.ReplicaSize > 0 && (smallest == 0 || model.ReplicaSize < smallest) {
			smallest = model.ReplicaSize
		}
	}
	var problems []Problem
	for domain, hosts := range pass.domainSizes {
		if hosts < smallest {
			problems = append(problems, Problem{Domain: domain, Reason: reasonSmallDomain})
		}
	}
	slices.SortFunc(problems, func(a, b Problem) int { return cmp.Compare(a.Domain, b.Domain) })
	return problems
}

// largestDomain returns the number of endpoints of the domain with most.
func (pass *pass) largestDomain() int {
	largest := 0
	for _, hosts := range pass.domainSizes {
		largest = max(largest, hosts)
	}
	return largest
}

// placeable lists the models of which a domain can hold a replica. If there is none,
// it lists all, since their hosts are of no use to another model.
func (pass *pass) placeable() []site.Model {
	largest := pass.largestDomain()
	var models []site.Model
	for _, model := range pass.Engine.Models {
		if model.ReplicaSize > 0 && model.ReplicaSize <= largest {
			models = append(models, model)
		}
	}
	if len(models) == 0 {
		return pass.Engine.Models
	}
	return models
}
