package node

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hickorybend/core/group"
	"hickorybend/core/intent"
	"hickorybend/core/roster"
	"hickorybend/core/view"
	"hickorybend/io/admin"
)

func cellKey(id string, epoch int64) string { return fmt.Sprintf("%s#%d", id, epoch) }

func (control *Control) report(next *view.View, nodes []roster.Node, now time.Time) *admin.Report {
	report := &admin.Report{
		Node: control.self.Name, Zone: control.self.Zone, Serving: next.Serving, Head: control.held.Head(),
		StoreReachable: !control.storeDown, Leases: control.heldServices(now), Nodes: nodes,
	}
	serving := map[string]bool{}
	for _, service := range control.models() {
		for _, replica := range control.replicas[service.Name] {
			if replica.State != group.StateReleased {
				report.Replicas = append(report.Replicas, control.reportReplica(replica, serving, now))
			}
		}
	}
	slices.SortFunc(report.Replicas, func(a, b admin.ReplicaReport) int { return strings.Compare(a.Replica.ID, b.Replica.ID) })
	control.reportHosts(report, serving, now)
	for _, replica := range report.Replicas {
		if !replica.Complete {
			report.IncompleteReplicas++
		}
	}
	control.meter.Gauge("stranded_hosts", float64(report.StrandedHosts))
	control.meter.Gauge("replicas_not_whole", float64(report.IncompleteReplicas))
	return report
}

func (control *Control) reportReplica(replica group.Replica, serving map[string]bool, now time.Time) admin.ReplicaReport {
	whole := !control.board.CompleteUntil(replica, now).IsZero()
	reported := admin.ReplicaReport{Replica: replica, Complete: whole, Ejected: hasEjection(control.ejections[replica.Service], replica.ID)}
	if replicastate := control.cells[cellKey(replica.ID, replica.Epoch)]; replicastate != nil {
		reported.InFlight = replicastate.InFlight()
	}
	if lead, fresh := control.board.Latest(replica.Members[0].Host, now); fresh {
		reported.Load = lead.Status.Running + lead.Status.Waiting
	}
	for _, member := range replica.Members {
		serving[member.Host] = whole && replica.State == group.StateServing
	}
	return reported
}

func (control *Control) reportHosts(report *admin.Report, serving map[string]bool, now time.Time) {
	for name, listed := range control.listed {
		observation, fresh := control.board.Latest(name, now)
		report.Endpoints = append(report.Endpoints, admin.EndpointReport{
			Host: name, Service: listed.Service, Zone: listed.Zone, Domain: listed.Domain, Address: listed.Address,
			Fresh: fresh, Draining: control.emptied(name, listed), Replica: observation.Status.Replica,
			Running: observation.Status.Running, Waiting: observation.Status.Waiting,
		})
		if control.isModel(listed.Service) && !serving[name] {
			report.StrandedHosts++
		}
	}
	slices.SortFunc(report.Endpoints, func(a, b admin.EndpointReport) int { return strings.Compare(a.Host, b.Host) })
}

func (control *Control) isModel(name string) bool {
	service, known := control.text.ServiceNamed(name)
	return known && service.Kind == intent.KindModel
}
