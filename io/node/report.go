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

// replicaStateKey returns the key of a replica's state. Each epoch has its own state; a
// plain endpoint has epoch 0.
func replicaStateKey(id string, epoch int64) string { return fmt.Sprintf("%s#%d", id, epoch) }

// report builds the report for operators and sets its gauges. A host of a model
// service is stranded unless it is in a complete replica that serves.
func (control *Control) report(next *view.View, nodes []roster.Node, now time.Time) *admin.Report {
	report := &admin.Report{
		Node: control.self.Name, Zone: control.self.Zone, Serving: next.Serving, Head: control.configCache.Head(),
		StoreReachable: !control.storeDown, Leases: control.heldServices(now), Nodes: nodes,
	}
	serving := map[string]bool{}
	for _, service := range control.modelServices() {
		for _, replica := range control.replicas[service.Name] {
			if replica.State != group.StateReleased {
				report.Replicas = append(report.Replicas, control.reportReplica(replica, serving, now))
			}
		}
	}
	slices.SortFunc(report.Replicas, func(a, b admin.ReplicaReport) int { return strings.Compare(a.Replica.ID, b.Replica.ID) })
	control.reportEndpoints(report, serving, now)
	for _, replica := range report.Replicas {
		if !replica.Complete {
			report.IncompleteReplicas++
		}
	}
	control.meter.Gauge("stranded_hosts", float64(report.StrandedHosts))
	control.meter.Gauge("replicas_not_whole", float64(report.IncompleteReplicas))
	return report
}

// reportReplica reports a replica, and records in serving which of its hosts serve.
func (control *Control) reportReplica(replica group.Replica, serving map[string]bool, now time.Time) admin.ReplicaReport {
	complete := !control.tracker.CompleteUntil(replica, now).IsZero()
	reported := admin.ReplicaReport{Replica: replica, Complete: complete, Ejected: isEjected(control.ejections[replica.Service], replica.ID)}
	if replicastate := control.replicaStates[replicaStateKey(replica.ID, replica.Epoch)]; replicastate != nil {
		reported.InFlight = replicastate.InFlight()
	}
	if firstHost, fresh := control.tracker.Latest(replica.Members[0].Host, now); fresh {
		reported.Load = firstHost.Status.Running + firstHost.Status.Waiting
	}
	for _, member := range replica.Members {
		serving[member.Host] = complete && replica.State == group.StateServing
	}
	return reported
}

func (control *Control) reportEndpoints(report *admin.Report, serving map[string]bool, now time.Time) {
	for name, listed := range control.listedHosts {
		observation, fresh := control.tracker.Latest(name, now)
		report.Endpoints = append(report.Endpoints, admin.EndpointReport{
			Host: name, Service: listed.Service, Zone: listed.Zone, Domain: listed.Domain, Address: listed.Address,
			Fresh: fresh, Draining: control.endpointDraining(name, listed), Replica: observation.Status.Replica,
			Running: observation.Status.Running, Waiting: observation.Status.Waiting,
		})
		if control.isModelService(listed.Service) && !serving[name] {
			report.StrandedHosts++
		}
	}
	slices.SortFunc(report.Endpoints, func(a, b admin.EndpointReport) int { return strings.Compare(a.Host, b.Host) })
}

func (control *Control) isModelService(name string) bool {
	service, known := control.spec.ServiceNamed(name)
	return known && service.Kind == intent.KindModel
}
