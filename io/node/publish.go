package node

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"hickorybend/core/group"
	"hickorybend/core/intent"
	"hickorybend/core/roster"
	"hickorybend/core/route"
	"hickorybend/core/rows"
	"hickorybend/core/view"
	"hickorybend/io/admin"
	"hickorybend/io/event"
	"hickorybend/io/hosts"
)

// snapshot is the part of the control state from which other goroutines answer and call
// other nodes. A snapshot never changes after it is published.
type snapshot struct {
	zone           string
	storeReachable bool // the store answers and the configuration is freshly confirmed
	head           int64
	confirmedAt    time.Time
	sections       []rows.Row    // all sections of the configuration
	replicas       []rows.Row    // all replica rows
	inDoubt        bool          // a prepared change may be in force
	otherNodes     []roster.Node // nodes whose heartbeat is recent, without this one; see also listedNodes
	unresponsive   []roster.Node // nodes whose heartbeat has timed out
}

// publish publishes, if it is due, the snapshot for other nodes and the view for
// request handling. The report for operators has its own, longer interval. Without a
// configuration there is only the snapshot.
func (control *Control) publish(now time.Time) {
	if now.Before(control.publishAt) {
		return
	}
	control.publishAt = now.Add(publishInterval)
	nodes := control.roster.Nodes(now)
	control.publishSnapshot(nodes, now)
	if control.spec == nil {
		return
	}
	control.updateServing(now)
	next := &view.View{Serving: control.serving, Nodes: len(nodes), Teams: control.spec.Teams}
	for _, node := range nodes {
		next.AliveIncarnations = append(next.AliveIncarnations, node.Incarnation)
	}
	used := map[string]bool{}
	for _, service := range control.spec.Services {
		table := control.routingTable(service, used, now)
		if service.Kind == intent.KindModel {
			next.Models = append(next.Models, view.ModelService{Service: service, Table: table})
		} else {
			next.PlainServices = append(next.PlainServices, view.PlainService{Service: service, Table: table})
		}
	}
	control.removeUnusedStates(used)
	control.views.Store(next)
	if !now.Before(control.reportAt) {
		control.reportAt = now.Add(reportInterval)
		control.reports.Store(control.report(next, nodes, now))
	}
}

const (
	publishInterval = 200 * time.Millisecond
	reportInterval  = 500 * time.Millisecond
)

// publishNow publishes without waiting for the interval.
func (control *Control) publishNow(now time.Time) {
	control.publishAt = time.Time{}
	control.publish(now)
}

func (control *Control) publishSnapshot(nodes []roster.Node, now time.Time) {
	var others []roster.Node
	for _, node := range nodes {
		if node.Name != control.self.Name {
			others = append(others, node)
		}
	}
	others = append(others, control.listedNodes(others)...)
	control.snapshot.Store(&snapshot{
		zone: control.self.Zone, storeReachable: !control.storeDown && control.configCache.Fresh(now),
		head: control.configCache.Head(), confirmedAt: control.configCache.ConfirmedAt(), sections: control.sections, otherNodes: others,
		replicas: control.replicaRows(), inDoubt: control.configCache.InDoubt(), unresponsive: control.roster.Unresponsive(now),
	})
}

// listedNodes returns the nodes on the platform's host list that are not in known. A
// node that starts while the store is down finds the other nodes there. Once the node
// rows were read, the list is not needed and listedNodes returns nil.
func (control *Control) listedNodes(known []roster.Node) []roster.Node {
	if control.pollOf(roster.Partition).loaded {
		return nil
	}
	var listed []roster.Node
	for name, host := range control.listedHosts {
		same := func(node roster.Node) bool { return node.Name == name }
		if host.Service == nodeService && name != control.self.Name && !slices.ContainsFunc(known, same) {
			listed = append(listed, roster.Node{Name: name, Zone: host.Zone, ControlAddress: host.Address})
		}
	}
	return listed
}

// nodeService is the service under which the platform lists this system's own
// nodes, with their control addresses.
const nodeService = "hickorybend"

// replicaRows returns the rows of all replicas, encoded again only after a change.
func (control *Control) replicaRows() []rows.Row {
	if control.encodedReplicas != nil {
		return control.encodedReplicas
	}
	all := []rows.Row{}
	for _, service := range control.replicas {
		for _, replica := range service {
			all = append(all, replica.Row())
		}
	}
	control.encodedReplicas = all
	return all
}

// updateServing decides whether the configuration may be used for new requests, and
// logs when that changes. Which zones have nodes is taken from the node rows and the
// host list.
func (control *Control) updateServing(now time.Time) {
	var zones []string
	for _, node := range control.roster.Nodes(now) {
		zones = append(zones, node.Zone)
	}
	for _, node := range control.listedNodes(nil) {
		zones = append(zones, node.Zone)
	}
	serving := control.configCache.MayServe(now, control.self.Zone, zones, control.peerStatuses)
	if serving == control.serving {
		return
	}
	control.serving = serving
	if serving {
		control.event(event.ConfigConfirmed, zap.Int64("head", control.configCache.Head()))
		return
	}
	control.event(event.ConfigUnconfirmed, zap.Int64("head", control.configCache.Head()))
}

// routingTable builds the routing table of a service and adds the keys of the replica
// states that the service uses to used. The states of replicas that take no new
// requests are updated as well, for the streams that still run there.
func (control *Control) routingTable(service intent.Service, used map[string]bool, now time.Time) *route.Table {
	table := &route.Table{Policy: control.settings.Route, Start: control.startedAt}
	if service.Kind == intent.KindPlain {
		table.Replicas = control.plainCandidates(service, used, now)
	} else {
		table.Replicas = control.modelCandidates(service, used, now)
	}
	slices.SortFunc(table.Replicas, func(a, b route.Replica) int { return strings.Compare(a.ID, b.ID) })
	control.updateEjections(service.Name, table.Replicas, now)
	return table
}

func (control *Control) modelCandidates(service intent.Service, used map[string]bool, now time.Time) []route.Replica {
	var candidates []route.Replica
	for _, replica := range control.replicas[service.Name] {
		if replica.State == group.StateReleased || replica.State == group.StateLoading {
			continue
		}
		replicastate := control.replicaState(replica.ID, replica.Epoch, used)
		replicastate.SetCompleteUntil(control.startedAt, control.tracker.CompleteUntil(replica, now))
		control.inFlightHistory(replica).Record(replicastate.InFlight(), now)
		if replica.State != group.StateServing || control.drainRequested(admin.KindReplica, replica.ID) {
			continue
		}
		candidates = append(candidates, control.candidate(service, replica, replicastate, now))
	}
	return candidates
}

func (control *Control) candidate(service intent.Service, replica group.Replica, replicastate *route.ReplicaState, now time.Time) route.Replica {
	candidate := route.Replica{
		ID: replica.ID, Epoch: replica.Epoch, Address: replica.Members[0].Address, Zone: replica.Zone,
		Distance: control.distance(replica.Zone), Hash: xxhash.Sum64String(replica.ID),
		MaxStreams: service.ReplicaStreams, State: replicastate,
	}
	if firstHost, fresh := control.tracker.Latest(replica.Members[0].Host, now); fresh {
		reported := firstHost.Status.Running + firstHost.Status.Waiting
		candidate.OtherStreams = control.inFlightHistory(replica).OtherStreams(reported, firstHost.At, control.settings.Route.ReportLag)
	}
	return candidate
}

// plainCandidates returns the endpoints of a plain service, each as a replica of one
// host.
func (control *Control) plainCandidates(service intent.Service, used map[string]bool, now time.Time) []route.Replica {
	var candidates []route.Replica
	for name, host := range control.listedHosts {
		if host.Service != service.Name || control.endpointDraining(name, host) {
			continue
		}
		replicastate := control.replicaState(name, 0, used)
		completeUntil := time.Time{}
		if observation, fresh := control.tracker.Latest(name, now); fresh && observation.Status.Ready {
			completeUntil = observation.At.Add(control.settings.Watch.StatusTTL)
		}
		replicastate.SetCompleteUntil(control.startedAt, completeUntil)
		candidates = append(candidates, route.Replica{
			ID: name, Address: host.Address, Zone: host.Zone, Distance: control.distance(host.Zone),
			Hash: xxhash.Sum64String(name), MaxStreams: maxPlainStreams, State: replicastate,
		})
	}
	return candidates
}

// maxPlainStreams is how many concurrent calls an endpoint of a plain service is
// expected to handle.
const maxPlainStreams = 64

// endpointDraining reports whether the platform lists an endpoint's host as draining,
// or operators drain the endpoint or its zone.
func (control *Control) endpointDraining(name string, host hosts.Host) bool {
	return host.Draining || control.drainRequested(admin.KindEndpoint, name) || control.drainRequested(admin.KindZone, host.Zone)
}

func (control *Control) replicaState(id string, epoch int64, used map[string]bool) *route.ReplicaState {
	key := replicaStateKey(id, epoch)
	used[key] = true
	replicastate, known := control.replicaStates[key]
	if !known {
		replicastate = &route.ReplicaState{}
		control.replicaStates[key] = replicastate
	}
	return replicastate
}

func (control *Control) inFlightHistory(replica group.Replica) *route.InFlightHistory {
	key := replicaStateKey(replica.ID, replica.Epoch)
	inflighthistory, known := control.inFlightHistories[key]
	if !known {
		inflighthistory = &route.InFlightHistory{}
		control.inFlightHistories[key] = inflighthistory
	}
	return inflighthistory
}

// removeUnusedStates deletes the replica states that no service uses any more, and
// marks them incomplete for requests that still hold them.
func (control *Control) removeUnusedStates(used map[string]bool) {
	for key, replicastate := range control.replicaStates {
		if !used[key] {
			replicastate.SetCompleteUntil(control.startedAt, time.Time{})
			delete(control.replicaStates, key)
			delete(control.inFlightHistories, key)
		}
	}
}

func (control *Control) distance(zone string) route.Distance {
	if zone == control.self.Zone {
		return route.SameZone
	}
	if control.regionOf(zone) == control.regionOf(control.self.Zone) {
		return route.SameRegion
	}
	return route.OtherRegion
}

func (control *Control) regionOf(zone string) string {
	for _, known := range control.spec.Zones {
		if known.Name == zone {
			return known.Region
		}
	}
	return ""
}

// updateEjections decides which replicas are ejected, and logs the changes.
func (control *Control) updateEjections(service string, replicas []route.Replica, now time.Time) {
	before := control.ejections[service]
	after := route.Eject(control.settings.Route, replicas, before, now)
	control.ejections[service] = after
	for i := range replicas {
		replicas[i].Ejected = isEjected(after, replicas[i].ID)
		wasEjected := isEjected(before, replicas[i].ID)
		switch {
		case replicas[i].Ejected && !wasEjected:
			control.event(event.ReplicaEjected, zap.String("replica", replicas[i].ID))
		case wasEjected && !replicas[i].Ejected:
			control.event(event.ReplicaReturned, zap.String("replica", replicas[i].ID))
		}
	}
}

func isEjected(ejections []route.Ejection, id string) bool {
	return slices.ContainsFunc(ejections, func(ejection route.Ejection) bool { return ejection.ID == id })
}
