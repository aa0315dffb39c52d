package edge

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"hickorybend/core/fleet"
	"hickorybend/core/reach"
	"hickorybend/core/site"
	"hickorybend/io/event"
)

func (control *Control) service(name string) (*site.Service, bool) {
	if control.config.index == nil {
		return nil, false
	}
	return control.config.index.Service(name)
}

// publish builds the snapshot for request handling and publishes it.
func (control *Control) publish(now time.Time) {
	snapshot := &reach.Snapshot{Services: map[string]*reach.ServicePool{}, Nodes: control.peers.count(), Blocked: control.crashes.blockedInputs(), Suspected: control.crashes.suspected}
	if control.evacuationsKnown(now) {
		snapshot.Index = control.config.index // without it, requests are rejected
	}
	control.refreshCold(now) // before a cold endpoint becomes a candidate
	control.snapshotStale = false
	if snapshot.Index != nil {
		for i := range snapshot.Index.Config.Services {
			service := &snapshot.Index.Config.Services[i]
			snapshot.Services[service.Name] = control.newServicePool(service, snapshot.Nodes)
		}
		control.updateBudgets(snapshot.Nodes, now)
	}
	control.snapshot.Store(snapshot)
	control.logReplicas(snapshot)
}

// logReplicas logs the number of serving replicas of each model when it changes.
func (control *Control) logReplicas(snapshot *reach.Snapshot) {
	for _, servicepool := range snapshot.Services {
		for model, candidates := range servicepool.Models {
			if control.loggedServing[model] == len(candidates) {
				continue
			}
			control.loggedServing[model] = len(candidates)
			control.meter.Gauge("replicas_serving_"+model, float64(len(candidates)))
			event.Log(control.log, event.ReplicasServing, zap.String("service", servicepool.Service), zap.String("model", model), zap.Int("replicas", len(candidates)))
		}
	}
}

// newServicePool returns the endpoints of a service that take requests: the first
// hosts of serving replicas by model or, for a service without an engine, all
// endpoints that are not draining.
func (control *Control) newServicePool(service *site.Service, nodes int) *reach.ServicePool {
	servicepool := &reach.ServicePool{Service: service.Name, Engine: service.Engine, Models: map[string][]*reach.Candidate{}}
	endpoints := control.endpoints.ofService(service.Name)
	if service.Engine == nil {
		for _, endpoint := range endpoints {
			if !endpoint.Draining && !control.evacuations.inForce.Has(endpoint.Zone) {
				servicepool.Plain = append(servicepool.Plain, control.newCandidate(service, endpoint, nodes))
			}
		}
		return servicepool
	}
	for _, model := range service.Engine.Models {
		servicepool.Models[model.Name] = nil
	}
	for _, replica := range fleet.ServingReplicas(service.Engine, endpoints, control.endpoints.isUnresponsive) {
		if control.evacuations.inForce.Has(replica.FirstHost.Zone) {
			continue
		}
		candidate := control.newCandidate(service, replica.FirstHost, nodes)
		candidate.Slots = service.Engine.Slots
		if model, found := service.Engine.Model(replica.Model); found && model.TimeFactor > 0 {
			candidate.PrefillTokensPerSec = service.Engine.PrefillTokensPerSec / model.TimeFactor
		}
		candidate.MemoryTokens = service.Engine.MemoryTokens
		candidate.Speed = control.speedOf(service.Engine, replica)
		servicepool.Models[replica.Model] = append(servicepool.Models[replica.Model], candidate)
	}
	return servicepool
}

func (endpoints *endpoints) isUnresponsive(id string) bool {
	_, found := endpoints.unresponsive[id]
	return found
}

// newCandidate describes an endpoint for routing.
func (control *Control) newCandidate(service *site.Service, endpoint fleet.Endpoint, nodes int) *reach.Candidate {
	return &reach.Candidate{
		ID: endpoint.ID, Address: endpoint.Address, StartedAt: endpoint.StartedAt, SameZone: endpoint.Zone == control.settings.Zone,
		Slots: endpoint.Slots, MaxInFlight: control.connectionsTo(service, endpoint, nodes).Requests, Load: control.endpoints.load(endpoint.ID),
		TieBreak: tieBreak(control.settings.Node, endpoint.ID), Owners: control.ownersOf(endpoint.ID, service.ColdPerSecond),
		Region: control.settings.regions().RegionOf(endpoint.Zone),
	}
}

// tieBreak returns a constant of a node and another one, or an endpoint: the upper 53 bits of
// their rank as a number in [0,1).
func tieBreak(node, id string) float64 { return float64(rank(node, id)>>11) / (1 << 53) }

// rank orders the nodes for an endpoint, differently for each.
func rank(node, id string) uint64 { return xxhash.Sum64String(node + "/" + id) }
