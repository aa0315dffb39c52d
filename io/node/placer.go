package node

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"hickorybend/core/group"
	"hickorybend/core/intent"
	"hickorybend/core/lease"
	"hickorybend/core/place"
	"hickorybend/core/rows"
	"hickorybend/io/admin"
	"hickorybend/io/event"
	"hickorybend/io/table"
)

// drainIdleTime is how long a draining replica must be idle before it is released. It
// exceeds the time that the nodes take to stop sending requests plus the lag of the
// engine's load report.
const drainIdleTime = 4 * time.Second

// updateDrains replaces the drains that operators requested. A row with an empty body
// is a cancelled drain.
func (control *Control) updateDrains(all []rows.Row) {
	drains := map[string]admin.DrainRecord{}
	for _, row := range all {
		var record admin.DrainRecord
		if len(row.Body) > 0 && json.Unmarshal(row.Body, &record) == nil {
			drains[row.Key.Sort] = record
		}
	}
	control.drains = drains
}

func (control *Control) drainRequested(kind, name string) bool {
	_, requested := control.drains[kind+"/"+name]
	return requested
}

// updateReplicas replaces a service's replicas by those of a full list of rows. A row
// is decoded only if it is newer than the known revision; otherwise the known replica
// stays.
func (control *Control) updateReplicas(service string, all []rows.Row) {
	before := control.replicas[service]
	control.replicas[service] = make(map[string]group.Replica, len(all))
	if len(before) != len(all) {
		control.encodedReplicas = nil
	}
	for _, row := range all {
		if known, found := before[row.Key.Sort]; found && known.Revision >= int64(row.Version) {
			control.replicas[service][row.Key.Sort] = known
			continue
		}
		control.updateReplica(row)
	}
}

// updateReplica stores the replica of a row if it is newer than the known revision.
func (control *Control) updateReplica(row rows.Row) {
	replica, err := group.DecodeReplica(row)
	if err != nil {
		control.event(event.RowUnreadable, zap.Error(err))
		return
	}
	service := control.replicas[replica.Service]
	if service == nil {
		service = map[string]group.Replica{}
		control.replicas[replica.Service] = service
	}
	if replica.Revision > service[replica.ID].Revision {
		service[replica.ID] = replica
		control.encodedReplicas = nil
	}
}

func isReplica(row rows.Row) bool {
	return strings.HasPrefix(row.Key.Partition, group.ReplicasPartition(""))
}

// updateHostRows replaces the host rows. A claim is no longer stale if the read began
// after its last action ended.
func (control *Control) updateHostRows(all []rows.Row, startedAt time.Time) {
	hostRows := map[string]group.Host{}
	for _, row := range all {
		host, err := group.DecodeHost(row)
		if err != nil {
			control.event(event.RowUnreadable, zap.Error(err))
			continue
		}
		hostRows[host.Name] = host
	}
	control.hostRows = hostRows
	for _, claim := range control.claims {
		if claim.stale && startedAt.After(claim.staleAt) {
			claim.stale = false
		}
	}
}

// decisionInterval is how often a service's placement is decided while no action or
// read is pending.
const decisionInterval = 250 * time.Millisecond

// runPlacement decides the placement of each service whose lease this node holds. It
// runs one action at a time: the next decision uses rows that were read after the
// last action.
func (control *Control) runPlacement(now time.Time) {
	if !control.pollOf(group.HostsPartition).loaded {
		return
	}
	for _, name := range control.heldServices(now) {
		claim := control.claims[placementLease+name]
		service, known := control.spec.ServiceNamed(name)
		if !known || claim.actionRunning || claim.stale || now.Before(claim.decideAt) || !control.readSinceAction(group.ReplicasPartition(name), claim) {
			continue
		}
		claim.decideAt = now.Add(decisionInterval)
		input := control.placeInput(service, claim, now)
		if !control.seesMostMembers(input) {
			continue
		}
		actions := place.Decide(input)
		if len(actions) > 0 {
			control.make(service, claim, actions[0], now)
		}
	}
}

// readSinceAction reports whether a partition was read after the last action ended and
// after the lease was acquired.
func (control *Control) readSinceAction(partition string, claim *claim) bool {
	poll := control.pollOf(partition)
	return poll.loaded && poll.startedAt.After(claim.staleAt) && poll.startedAt.After(claim.heldAt)
}

// seesMostMembers reports whether more than half of the service's hosts in replicas
// answered a probe within the policy's LostAfter. If not, the lease holder itself may
// be cut off from the network, and must not repair or release replicas that may still
// serve.
func (control *Control) seesMostMembers(input place.Input) bool {
	seen, members := 0, 0
	for _, host := range input.Hosts {
		if host.Row.Replica == "" {
			continue
		}
		members++
		if control.seenRecently(host.Row.Name, input.Now) {
			seen++
		}
	}
	return members == 0 || seen*2 > members
}

func (control *Control) seenRecently(host string, now time.Time) bool {
	return now.Sub(control.lastSeen[host]) < control.settings.Place.LostAfter
}

func (control *Control) placeInput(service intent.Service, claim *claim, now time.Time) place.Input {
	input := place.Input{
		Now: now, Policy: control.settings.Place, Service: service, Objective: control.spec.Objective,
	}
	for name, listed := range control.listedHosts {
		if listed.Service == service.Name {
			input.Hosts = append(input.Hosts, control.placeHost(name, now))
		}
	}
	slices.SortFunc(input.Hosts, func(a, b place.Host) int { return strings.Compare(a.Row.Name, b.Row.Name) })
	for _, replica := range control.replicas[service.Name] {
		if replica.State != group.StateReleased {
			input.Replicas = append(input.Replicas, control.placeReplica(replica, claim, now))
		}
	}
	slices.SortFunc(input.Replicas, func(a, b place.Replica) int { return strings.Compare(a.Replica.ID, b.Replica.ID) })
	input.WantedReplicas, input.MayShrink = control.wantedReplicas(service, claim, now)
	return input
}

func (control *Control) placeHost(name string, now time.Time) place.Host {
	listed := control.listedHosts[name]
	row, known := control.hostRows[name]
	if !known {
		row = group.Host{Name: name}
	}
	observation, fresh := control.tracker.Latest(name, now)
	draining := listed.Draining || control.drainRequested(admin.KindEndpoint, name) || control.drainRequested(admin.KindZone, listed.Zone)
	return place.Host{
		Row: row, Address: listed.Address, Zone: listed.Zone, Domain: listed.Domain,
		Incarnation: observation.Status.Incarnation, Usable: fresh, Draining: draining,
		IdleSince: control.updateIdleSince(row, now),
	}
}

// updateIdleSince records and returns since when a host has been in no replica. The
// time is zero for a host in a replica.
func (control *Control) updateIdleSince(row group.Host, now time.Time) time.Time {
	if row.Replica != "" {
		delete(control.idleSince, row.Name)
		return time.Time{}
	}
	since, known := control.idleSince[row.Name]
	if !known {
		since = now
		control.idleSince[row.Name] = now
	}
	return since
}

func (control *Control) placeReplica(replica group.Replica, claim *claim, now time.Time) place.Replica {
	placed := place.Replica{Replica: replica, Complete: !control.tracker.CompleteUntil(replica, now).IsZero()}
	for _, member := range replica.Members {
		if control.isLost(member, claim, now) {
			placed.Lost = append(placed.Lost, member.Host)
		}
	}
	placed.Drained = control.drainComplete(replica, now)
	placed.DrainRequested = control.drainRequested(admin.KindReplica, replica.ID)
	return placed
}

// isLost reports whether a member has to be replaced or rejoin: its host is no longer
// listed, has restarted as another incarnation, or has been unresponsive for the
// policy's LostAfter, counted from when the lease was acquired at the earliest. While
// the host list is unavailable or empty, no host counts as unlisted.
func (control *Control) isLost(member group.Member, claim *claim, now time.Time) bool {
	if _, listed := control.listedHosts[member.Host]; !listed {
		return !control.hostListDown && len(control.listedHosts) > 0
	}
	if observation, fresh := control.tracker.Latest(member.Host, now); fresh {
		return observation.Status.Incarnation != member.Incarnation
	}
	unresponsiveSince := control.lastSeen[member.Host]
	if unresponsiveSince.Before(claim.heldAt) {
		unresponsiveSince = claim.heldAt
	}
	return now.Sub(unresponsiveSince) >= control.settings.Place.LostAfter
}

// drainComplete reports whether a draining replica's first host has reported no
// requests for drainIdleTime, or the drain deadline has passed. Streams that still
// run then are resumed on other replicas.
func (control *Control) drainComplete(replica group.Replica, now time.Time) bool {
	if replica.State != group.StateDraining {
		delete(control.drainIdleSince, replica.ID)
		return false
	}
	if now.After(replica.DrainDeadline) {
		return true
	}
	firstHost, fresh := control.tracker.Latest(replica.Members[0].Host, now)
	if !fresh || firstHost.Status.Running+firstHost.Status.Waiting > 0 {
		delete(control.drainIdleSince, replica.ID)
		return false
	}
	since, known := control.drainIdleSince[replica.ID]
	if !known {
		control.drainIdleSince[replica.ID] = now
		return false
	}
	return now.Sub(since) >= drainIdleTime
}

// wantedReplicas records a service's current streams. It returns the number of replicas
// that the service's demand needs, and whether the number of replicas may shrink to it.
// It may not shrink until the stored demand is loaded and the recorded demand covers
// its whole window.
func (control *Control) wantedReplicas(service intent.Service, claim *claim, now time.Time) (int, bool) {
	demand, known := control.demands[service.Name]
	if !known {
		demand = place.NewDemand(control.settings.Place)
		control.demands[service.Name] = demand
	}
	streams := 0
	for _, replica := range control.replicas[service.Name] {
		if replica.State == group.StateReleased {
			continue
		}
		if firstHost, fresh := control.tracker.Latest(replica.Members[0].Host, now); fresh {
			streams += firstHost.Status.Running + firstHost.Status.Waiting
		}
	}
	demand.Record(float64(streams), now)
	return demand.WantedReplicas(service, now), claim.demandLoaded && demand.CoversWindow(now)
}

// make starts one action in the background. Every action but HandBack is a
// transaction that is committed under the lease's fencing number.
func (control *Control) make(service intent.Service, claim *claim, action place.Action, now time.Time) {
	if handBack, isHandBack := action.(place.HandBack); isHandBack {
		control.handBack(service, claim, handBack, now)
		return
	}
	fence, held := claim.lease.Held(now)
	if !held {
		return
	}
	lease := group.Lease{Key: lease.FencingRowKey(placementLease + service.Name), FencingNumber: fence}
	change, err := control.changeFor(service, action, lease, now)
	if err != nil {
		claim.staleAt = now
		control.event(event.ActionRejected, zap.Error(err))
		return
	}
	control.logAction(action, change)
	claim.actionRunning = true
	txn := rows.Txn{WriteID: uuid.NewString(), Ops: change.Ops}
	control.runInBackground(func(ctx context.Context) message {
		outcome := table.CommitAndResolve(ctx, control.dependencies.Store, txn)
		return actionResult{service: service.Name, action: action, outcome: outcome, changed: writtenReplicaRows(txn)}
	})
}

// writtenReplicaRows returns the replica rows as a transaction writes them.
func writtenReplicaRows(txn rows.Txn) []rows.Row {
	var changed []rows.Row
	for _, op := range txn.Ops {
		put, isPut := op.(rows.Put)
		if isPut && put.Key.Partition != group.HostsPartition {
			changed = append(changed, rows.Apply(put, txn.WriteID))
		}
	}
	return changed
}

// changeFor returns the change of a replica that an action makes.
func (control *Control) changeFor(service intent.Service, action place.Action, lease group.Lease, now time.Time) (group.Change, error) {
	switch typed := action.(type) {
	case place.Form:
		return control.formReplica(service, typed, lease)
	case place.Serve:
		return typed.Replica.Serve(lease)
	case place.Repair:
		spare := typed.Spare
		member := group.Member{Host: spare.Row.Name, Address: spare.Address, Incarnation: spare.Incarnation}
		control.event(event.MemberLost, zap.String("replica", typed.Replica.ID), zap.String("host", typed.Lost))
		return typed.Replica.Repair(control.hostRow(typed.Lost), spare.Row, member, lease)
	case place.Rejoin:
		return typed.Replica.Rejoin(typed.Members, lease)
	case place.Drain:
		return typed.Replica.Drain(now.Add(service.DrainTimeout), lease)
	case place.Release:
		var hostRows []group.Host
		for _, member := range typed.Replica.Members {
			hostRows = append(hostRows, control.hostRow(member.Host))
		}
		return typed.Replica.Release(hostRows, lease)
	default:
		return group.Change{}, group.ErrInvalidChange
	}
}

func (control *Control) hostRow(host string) group.Host {
	row, known := control.hostRows[host]
	if !known {
		return group.Host{Name: host}
	}
	return row
}

func (control *Control) formReplica(service intent.Service, form place.Form, lease group.Lease) (group.Change, error) {
	first := form.Hosts[0]
	replica := group.Replica{
		ID: service.Name + "-" + uuid.NewString()[:replicaIDLength], Service: service.Name,
		Zone: first.Zone, Domain: first.Domain, Model: service.Model, Version: service.Version,
	}
	var hostRows []group.Host
	for rank, host := range form.Hosts {
		replica.Members = append(replica.Members, group.Member{
			Host: host.Row.Name, Address: host.Address, Incarnation: host.Incarnation, Rank: rank,
		})
		hostRows = append(hostRows, host.Row)
	}
	return group.Form(replica, hostRows, lease)
}

const replicaIDLength = 8

func (control *Control) logAction(action place.Action, change group.Change) {
	reason := ""
	switch typed := action.(type) {
	case place.Drain:
		reason = typed.Reason
	case place.Release:
		reason = typed.Reason
	}
	control.event(event.ReplicaChanged,
		zap.String("replica", change.Replica.ID), zap.String("state", string(change.Replica.State)),
		zap.Int64("epoch", change.Replica.Epoch), zap.Int64("fence", change.Replica.FencingNumber), zap.String("why", reason))
}

// handBack starts the return of a host to the platform.
func (control *Control) handBack(service intent.Service, claim *claim, handback place.HandBack, now time.Time) {
	claim.actionRunning = true
	name := handback.Host.Row.Name
	control.event(event.HostHandedBack, zap.String("host", name))
	control.runInBackground(func(ctx context.Context) message {
		var outcome rows.Outcome = rows.Committed{}
		if err := control.dependencies.Hosts.HandBack(ctx, name); err != nil {
			outcome = rows.Unknown{Cause: err}
		}
		return actionResult{service: service.Name, action: handback, outcome: outcome}
	})
	delete(control.idleSince, name)
}

// handleAction makes the reads of the rows that the action may have changed due at
// once. The replica rows of a committed action are applied and pushed to other nodes
// without waiting for these reads.
func (control *Control) handleAction(result actionResult, now time.Time) {
	claim := control.claims[placementLease+result.service]
	claim.actionRunning = false
	claim.stale = true
	claim.staleAt = now
	claim.decideAt = now
	control.makeDue(group.ReplicasPartition(result.service))
	control.makeDue(group.HostsPartition)
	switch typed := result.outcome.(type) {
	case rows.Committed:
		for _, row := range result.changed {
			control.updateReplica(row)
		}
		control.pushToOthers(result.changed, now)
	case rows.Rejected:
		control.event(event.ReplicaChangeRejected, zap.String("service", result.service), zap.String("row", typed.Key.Sort))
	case rows.Unknown:
		control.event(event.OutcomeUnknown, zap.String("service", result.service), zap.Error(typed.Cause))
	}
}

// pushToOthers pushes rows to every other node. A node that a push does not reach
// reads the rows at its next poll.
func (control *Control) pushToOthers(changed []rows.Row, now time.Time) {
	if len(changed) == 0 {
		return
	}
	for _, node := range control.roster.Nodes(now) {
		if node.Name == control.self.Name {
			continue
		}
		control.runInBackground(func(ctx context.Context) message {
			_ = control.dependencies.Peers.Push(ctx, node.ControlAddress, changed)
			return rowsReceived{}
		})
	}
}
