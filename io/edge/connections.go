package edge

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"hickorybend/core/fleet"
	"hickorybend/core/reach"
	"hickorybend/core/site"
	"hickorybend/io/event"
	"hickorybend/io/meter"
	"hickorybend/io/pool"
)

const (
	reductionTime    = 2 * time.Second  // for which a node opens fewer connections to an endpoint that has reset one
	resetLogInterval = 10 * time.Second // between two lines about resets of one service
	budgetInterval   = time.Second      // between two updates of the budgets for endpoints that come and go
)

// connections is how many connections this node may have to each endpoint.
type connections struct {
	budgets      map[string]pool.Budget // by address, as last set
	reduced      map[string]reduction   // by address
	resets       map[string]*resets     // by service
	nodes        int                    // for which the budgets were last computed
	index        *site.Index            // the same for the configuration
	stale        bool                   // the budgets have to be computed
	nextUpdateAt time.Time
}

// resets are those of a service that were not yet logged.
type resets struct {
	count     int
	address   string // of the last one
	open      int    // connections that this node then had there
	nextLogAt time.Time
}

func newConnections() connections {
	return connections{reduced: map[string]reduction{}, resets: map[string]*resets{}}
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

func (control *Control) handleConnectionReset(reset connectionReset, now time.Time) {
	control.connections.reduced[reset.Address] = reduction{open: reset.Open - 1, until: reset.At.Add(reductionTime)}
	control.connections.nextUpdateAt = time.Time{}
	control.snapshotStale = true
	service := control.connections.budgets[reset.Address].Service
	if control.connections.resets[service] == nil {
		control.connections.resets[service] = &resets{}
	}
	resets := control.connections.resets[service]
	resets.count++
	resets.address, resets.open = reset.Address, reset.Open-1
	control.logResets(now)
}

// endpointAt returns the ID of the endpoint at an address, or the address if none is
// known there.
func (control *Control) endpointAt(address string) string {
	for id, endpoint := range control.endpoints.byID {
		if endpoint.Address == address {
			return id
		}
	}
	return address
}

// logResets logs the resets of the services that are due.
func (control *Control) logResets(now time.Time) {
	for service, resets := range control.connections.resets {
		if resets.count == 0 || now.Before(resets.nextLogAt) {
			continue
		}
		event.Log(control.log, event.ConnectionsReset, zap.String("service", service), zap.String("endpoint", control.endpointAt(resets.address)),
			zap.Int("open", resets.open), zap.Int("resets", resets.count))
		resets.count, resets.nextLogAt = 0, now.Add(resetLogInterval)
	}
}

// reportConnections publishes the counts of connections by service.
func reportConnections(meter *meter.Meter, counts map[string]pool.Counts) {
	for service, counts := range counts {
		meter.LabeledGauge("connections_open", service, float64(counts.Open))
		meter.LabeledGauge("connections_idle", service, float64(counts.Idle))
		meter.LabeledGauge("connections_opened", service, float64(counts.Opened))
		meter.LabeledGauge("connections_reset", service, float64(counts.Resets))
		meter.LabeledGauge("connections_evicted", service, float64(counts.Evicted))
		meter.LabeledGauge("connections_no_room", service, float64(counts.NoRoom))
	}
}

// logGivenUp returns a function that logs and counts requests that were given up while bytes of
// them were on their way.
func logGivenUp(log *zap.Logger, meter *meter.Meter) func(pool.GivenUp) {
	return func(givenup pool.GivenUp) {
		meter.Count("requests_given_up_unacknowledged", "")
		event.Log(log, event.RequestGivenUp, zap.String("address", givenup.Address), zap.Duration("waited", givenup.Waited), zap.Int("unacknowledged", givenup.Unacknowledged))
	}
}

// logCopy returns a function that logs and counts a copy of an earlier answer.
func logCopy(log *zap.Logger, meter *meter.Meter) func(pool.LateCopy) {
	return func(latecopy pool.LateCopy) {
		meter.Count("answers_sent_twice", "")
		event.Log(log, event.AnswerCopySkipped, zap.String("address", latecopy.Address), zap.String("request", latecopy.ID), zap.String("copy-of", latecopy.CopyID), zap.Int("status", latecopy.Status))
	}
}

// endReductions lets this node have its full share again of the connections to endpoints
// that have reset none for some time, logs the resets that are due, and updates the budgets
// if they are.
func (control *Control) endReductions(now time.Time) {
	control.logResets(now)
	for address, reduction := range control.connections.reduced {
		if !now.Before(reduction.until) {
			delete(control.connections.reduced, address)
			control.connections.nextUpdateAt = time.Time{}
			control.snapshotStale = true
		}
	}
	if control.connections.stale {
		control.updateBudgets(control.peers.count(), now)
	}
}

// connectionsTo returns how many connections this node may have in use to an endpoint.
func (control *Control) connectionsTo(service *site.Service, endpoint fleet.Endpoint, nodes int) reach.Connections {
	share := reach.ShareConnections(service.MaxConnections, nodes)
	if reduction, found := control.connections.reduced[endpoint.Address]; found {
		share.Requests = min(share.Requests, max(1, reduction.open-share.Own))
	}
	return share
}

// updateBudgets tells the pool how many connections this node may have to each endpoint:
// at once if the shares have changed, and otherwise once in budgetInterval, since the
// endpoints' rows change all the time.
func (control *Control) updateBudgets(nodes int, now time.Time) {
	connections := &control.connections
	sharesChanged := nodes != connections.nodes || control.config.index != connections.index
	if connections.stale = !sharesChanged && now.Before(connections.nextUpdateAt); connections.stale {
		return
	}
	connections.nodes, connections.index, connections.nextUpdateAt = nodes, control.config.index, now.Add(budgetInterval)
	budgets := map[string]pool.Budget{}
	for _, endpoint := range control.endpoints.byID {
		if service, found := control.service(endpoint.Service); found {
			share := control.connectionsTo(service, endpoint, nodes)
			budgets[endpoint.Address] = pool.Budget{Service: service.Name, Requests: share.Requests, Own: share.Own}
		}
	}
	if !maps.Equal(budgets, connections.budgets) {
		connections.budgets = budgets
		control.setBudgets(budgets)
	}
}
