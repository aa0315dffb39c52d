package edge

import (
	"time"

	"hickorybend/core/fleet"
	"hickorybend/core/reach"
	"hickorybend/core/site"
)

func (control *Control) service(name string) (*site.Service, bool) {
	if control.operators.index == nil {
		return nil, false
	}
	return control.operators.index.Service(name)
}

// publish draws the picture that traffic reads.
func (control *Control) publish(time.Time) {
	picture := &reach.Picture{Index: control.operators.index, Services: map[string]*reach.Pool{}, Nodes: control.peers.count()}
	if picture.Index != nil {
		for i := range picture.Index.Config.Services {
			service := &picture.Index.Config.Services[i]
			picture.Services[service.Name] = control.pool(service, picture.Nodes)
		}
	}
	control.picture.Store(picture)
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
	for _, replica := range fleet.Whole(service.Engine, listed, control.endpoints.isLost) {
		candidate := control.candidate(service, replica.Head, nodes)
		candidate.Slots = service.Engine.Slots
		candidate.Members = replica.Members
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
		ID: endpoint.ID, Address: endpoint.Address, Zone: endpoint.Zone, Near: endpoint.Zone == control.settings.Zone,
		Slots: endpoint.Slots, Most: max(2, service.MaxConnections/max(1, nodes)), Load: control.endpoints.load(endpoint.ID),
	}
}
