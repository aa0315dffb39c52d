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

// knowledge is what other goroutines may tell about this node.
type knowledge struct {
	zone      string
	seesStore bool
	head      int64
	confirmed time.Time
	sections  []rows.Row
	replicas  []rows.Row
	inDoubt   bool
	nodes     []roster.Node
	silent    []roster.Node
}

// publish makes the view for traffic, the report for operators and the
// knowledge for other nodes.
func (control *Control) publish(now time.Time) {
	if now.Before(control.publishAt) {
		return
	}
	control.publishAt = now.Add(publishEvery)
	nodes := control.roster.Nodes(now)
	control.publishMind(nodes, now)
	if control.text == nil {
		return
	}
	control.judgeServing(now)
	next := &view.View{Serving: control.serving, Nodes: len(nodes), Teams: control.text.Teams}
	for _, node := range nodes {
		next.AliveIncarnations = append(next.AliveIncarnations, node.Incarnation)
	}
	live := map[string]bool{}
	for _, service := range control.text.Services {
		table := control.tableOf(service, live, now)
		if service.Kind == intent.KindModel {
			next.Models = append(next.Models, view.ModelService{Service: service, Table: table})
		} else {
			next.PlainServices = append(next.PlainServices, view.PlainService{Service: service, Table: table})
		}
	}
	control.forgetCells(live)
	control.views.Store(next)
	if !now.Before(control.reportAt) {
		control.reportAt = now.Add(reportEvery)
		control.reports.Store(control.report(next, nodes, now))
	}
}

const (
	publishEvery = 200 * time.Millisecond
	reportEvery  = 500 * time.Millisecond
)

// publishNow does not wait for the next round.
func (control *Control) publishNow(now time.Time) {
	control.publishAt = time.Time{}
	control.publish(now)
}

func (control *Control) publishMind(nodes []roster.Node, now time.Time) {
	var others []roster.Node
	for _, node := range nodes {
		if node.Name != control.self.Name {
			others = append(others, node)
		}
	}
	others = append(others, control.listedNodes(others)...)
	control.mind.Store(&knowledge{
		zone: control.self.Zone, seesStore: !control.storeDown && control.held.Fresh(now),
		head: control.held.Head(), confirmed: control.held.ConfirmedAt(), sections: control.sections, nodes: others,
		replicas: control.replicaRows(), inDoubt: control.held.InDoubt(), silent: control.roster.Unresponsive(now),
	})
}

// listedNodes gives the nodes on the platform's list that the roster does not
// have: a node that starts while the store is down finds the others there.
func (control *Control) listedNodes(known []roster.Node) []roster.Node {
	if control.pollOf(roster.Partition).read {
		return nil
	}
	var listed []roster.Node
	for name, host := range control.listed {
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

// replicaRows gives every replica's row, encoded anew only after a change.
func (control *Control) replicaRows() []rows.Row {
	if control.encoded != nil {
		return control.encoded
	}
	all := []rows.Row{}
	for _, service := range control.replicas {
		for _, replica := range service {
			all = append(all, replica.Row())
		}
	}
	control.encoded = all
	return all
}

func (control *Control) judgeServing(now time.Time) {
	var zones []string
	for _, node := range control.roster.Nodes(now) {
		zones = append(zones, node.Zone)
	}
	for _, node := range control.listedNodes(nil) {
		zones = append(zones, node.Zone)
	}
	serving := control.held.MayServe(now, control.self.Zone, zones, control.witnesses)
	if serving == control.serving {
		return
	}
	control.serving = serving
	if serving {
		control.event(event.ConfigConfirmed, zap.Int64("head", control.held.Head()))
		return
	}
	control.event(event.ConfigUnconfirmed, zap.Int64("head", control.held.Head()))
}

// tableOf makes the candidates of a service. Cells of replicas that take no
// new work are kept up as well, for the streams that they still carry.
func (control *Control) tableOf(service intent.Service, live map[string]bool, now time.Time) *route.Table {
	table := &route.Table{Policy: control.settings.Route, Start: control.start}
	if service.Kind == intent.KindPlain {
		table.Replicas = control.plainCandidates(service, live, now)
	} else {
		table.Replicas = control.modelCandidates(service, live, now)
	}
	slices.SortFunc(table.Replicas, func(a, b route.Replica) int { return strings.Compare(a.ID, b.ID) })
	control.eject(service.Name, table.Replicas, now)
	return table
}

func (control *Control) modelCandidates(service intent.Service, live map[string]bool, now time.Time) []route.Replica {
	var candidates []route.Replica
	for _, replica := range control.replicas[service.Name] {
		if replica.State == group.StateReleased || replica.State == group.StateLoading {
			continue
		}
		replicastate := control.cell(replica.ID, replica.Epoch, live)
		replicastate.SetCompleteUntil(control.start, control.board.CompleteUntil(replica, now))
		control.sampleOf(replica).Record(replicastate.InFlight(), now)
		if replica.State != group.StateServing || control.isDrained(admin.KindReplica, replica.ID) {
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
	if lead, fresh := control.board.Latest(replica.Members[0].Host, now); fresh {
		reported := lead.Status.Running + lead.Status.Waiting
		candidate.OtherStreams = control.sampleOf(replica).OtherStreams(reported, lead.At, control.settings.Route.ReportLag)
	}
	return candidate
}

func (control *Control) plainCandidates(service intent.Service, live map[string]bool, now time.Time) []route.Replica {
	var candidates []route.Replica
	for name, host := range control.listed {
		if host.Service != service.Name || control.emptied(name, host) {
			continue
		}
		replicastate := control.cell(name, 0, live)
		until := time.Time{}
		if observation, fresh := control.board.Latest(name, now); fresh && observation.Status.Ready {
			until = observation.At.Add(control.settings.Watch.StatusTTL)
		}
		replicastate.SetCompleteUntil(control.start, until)
		candidates = append(candidates, route.Replica{
			ID: name, Address: host.Address, Zone: host.Zone, Distance: control.distance(host.Zone),
			Hash: xxhash.Sum64String(name), MaxStreams: plainStreams, State: replicastate,
		})
	}
	return candidates
}

// plainStreams is how many calls an instance of a plain service is expected to
// take at once.
const plainStreams = 64

func (control *Control) emptied(name string, host hosts.Host) bool {
	return host.Leaving || control.isDrained(admin.KindEndpoint, name) || control.isDrained(admin.KindZone, host.Zone)
}

func (control *Control) cell(id string, epoch int64, live map[string]bool) *route.ReplicaState {
	key := cellKey(id, epoch)
	live[key] = true
	replicastate, known := control.cells[key]
	if !known {
		replicastate = &route.ReplicaState{}
		control.cells[key] = replicastate
	}
	return replicastate
}

func (control *Control) sampleOf(replica group.Replica) *route.InFlightHistory {
	key := cellKey(replica.ID, replica.Epoch)
	inflighthistory, known := control.samples[key]
	if !known {
		inflighthistory = &route.InFlightHistory{}
		control.samples[key] = inflighthistory
	}
	return inflighthistory
}

func (control *Control) forgetCells(live map[string]bool) {
	for key, replicastate := range control.cells {
		if !live[key] {
			replicastate.SetCompleteUntil(control.start, time.Time{})
			delete(control.cells, key)
			delete(control.samples, key)
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
	for _, known := range control.text.Zones {
		if known.Name == zone {
			return known.Region
		}
	}
	return ""
}

func (control *Control) eject(service string, replicas []route.Replica, now time.Time) {
	before := control.ejections[service]
	after := route.Eject(control.settings.Route, replicas, before, now)
	control.ejections[service] = after
	for i := range replicas {
		replicas[i].Ejected = hasEjection(after, replicas[i].ID)
		was := hasEjection(before, replicas[i].ID)
		switch {
		case replicas[i].Ejected && !was:
			control.event(event.EndpointEjected, zap.String("replica", replicas[i].ID))
		case was && !replicas[i].Ejected:
			control.event(event.EndpointReturned, zap.String("replica", replicas[i].ID))
		}
	}
}

func hasEjection(ejections []route.Ejection, id string) bool {
	return slices.ContainsFunc(ejections, func(ejection route.Ejection) bool { return ejection.ID == id })
}
