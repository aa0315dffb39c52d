package edge

import (
	"maps"
	"time"

	"hickorybend/core/fleet"
	"hickorybend/core/reach"
	"hickorybend/core/site"
	"hickorybend/io/pool"
)

const reductionTime = 2 * time.Second // for which a node opens fewer connections to an endpoint that has reset one

// connections is how many connections this node may have to each endpoint.
type connections struct {
	budgets map[string]pool.Budget // by address, as last set
	reduced map[string]reduction   // by address
}

// reduction limits the connections to an endpoint that has reset one.
type reduction struct {
	open  int // connections that it then had
	until time.Time
}

// connectionReset carries what the pool reported.
type connectionReset struct {
	pool.Reset
}

func (connectionReset) message() {}

// ConnectionReset reduces the connections to an endpoint that has reset a new one. It
// does not wait for the control loop.
func (control *Control) ConnectionReset(reset pool.Reset) {
	go control.enqueue(connectionReset{reset})
}

func (control *Control) handleConnectionReset(reset connectionReset) {
	control.connections.reduced[reset.Address] = reduction{open: reset.Open - 1, until: reset.At.Add(reductionTime)}
	control.snapshotStale = true
}

// endReductions lets this node have its full share again of the connections to endpoints
// that have reset none for some time.
func (control *Control) endReductions(now time.Time) {
	for address, reduction := range control.connections.reduced {
		if !now.Before(reduction.until) {
			delete(control.connections.reduced, address)
			control.snapshotStale = true
		}
	}
}

// connectionsTo returns how many connections this node may have in use to an endpoint.
func (control *Control) connectionsTo(service *site.Service, endpoint fleet.Endpoint, nodes int) reach.Connections {
	connections := reach.ShareConnections(service.MaxConnections, nodes, service.Engine != nil)
	if reduction, found := control.connections.reduced[endpoint.Address]; found {
		connections.Requests = min(connections.Requests, max(1, reduction.open-connections.Own))
	}
	return connections
}

// updateBudgets tells the pool how many connections this node may have to each endpoint.
func (control *Control) updateBudgets(nodes int) {
	budgets := map[string]pool.Budget{}
	for _, endpoint := range control.endpoints.byID {
		if service, found := control.service(endpoint.Service); found {
			connections := control.connectionsTo(service, endpoint, nodes)
			budgets[endpoint.Address] = pool.Budget{Service: service.Name, Requests: connections.Requests, Own: connections.Own}
		}
	}
	if !maps.Equal(budgets, control.connections.budgets) {
		control.connections.budgets = budgets
		control.setBudgets(budgets)
	}
}
