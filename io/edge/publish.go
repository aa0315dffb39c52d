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
	if control.operators.index == nil {
		return nil, false
	}
	return control.operators.index.Service(name)
}

// publish draws the picture that traffic reads.
func (control *Control) publish(time.Time) {
	snapshot := &reach.Snapshot{Index: control.operators.index, Services: map[string]*reach.Pool{}, Nodes: control.peers.count()}
	if snapshot.Index != nil {
		for i := range snapshot.Index.Config.Services {
			service := &snapshot.Index.Config.Services[i]
			snapshot.Services[service.Name] = control.pool(service, snapshot.Nodes)
		}
	}
	control.picture.Store(snapshot)
	control.noteReplicas(snapshot)
}

// noteReplicas logs how many replicas of each model serve, when that changes.
func (control *Control) noteReplicas(snapshot *reach.Snapshot) {
	for _, pool := range snapshot.Services {
		for model, candidates := range pool.Models {
			if control.serving[model] == len(candidates) {
				continue
			}
			control.serving[model] = len(candidates)
			control.meter.Gauge("replicas_serving_"+model, float64(len(candidates)))
			event.Log(control.log, event.ReplicasServing, zap.String("service", pool.Service), zap.String("model", model), zap.Int("replicas", len(candidates)))
		}
	}
}

func (control *Control) pool(service *site.Service, nodes int) *reach.Pool {
	pool := &reach.Pool{Service: service.Name, Engine: service.Engine, Models: map[string][]*reach.Candidate{}}
	listed := control.endpoints.of(service.Name)
	if service.Engine == nil {
		for _, endpoint := range listed {
			if !endpoint.Draining {
				pool.Plain = append(pool.Plain, control.candidate(service, endpoint, nodes))
			}
		}
		return pool
	}
	for _, model := range service.Engine.Models {
		pool.Models[model.Name] = nil
	}
	for _, replica := range fleet.ServingReplicas(service.Engine, listed, control.endpoints.isLost) {
		candidate := control.candidate(service, replica.Head, nodes)
		candidate.Slots = service.Engine.Slots
		if model, found := service.Engine.Model(replica.Model); found && model.TimeFactor > 0 {
			candidate.PrefillTokensPerSec = service.Engine.PrefillTokensPerSec / model.TimeFactor
		}
		pool.Models[replica.Model] = append(pool.Models[replica.Model], candidate)
	}
	return pool
}

func (endpoints *endpoints) isLost(id string) bool {
	_, lost := endpoints.lost[id]
	return lost
}

func (control *Control) candidate(service *site.Service, endpoint fleet.Endpoint, nodes int) *reach.Candidate {
	return &reach.Candidate{
		ID: endpoint.ID, Address: endpoint.Address, SameZone: endpoint.Zone == control.settings.Zone,
		Slots: endpoint.Slots, MaxInFlight: max(2, service.MaxConnections/max(1, nodes)), Load: control.endpoints.load(endpoint.ID),
		TieBreak: float64(xxhash.Sum64String(control.settings.Node+"/"+endpoint.ID)>>11) / (1 << 53),
	}
}
