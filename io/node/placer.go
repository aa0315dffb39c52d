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

// drainSettle is how long a draining replica must be seen idle: longer than
// the nodes take to stop sending and the engine's report lags.
const drainSettle = 4 * time.Second

func (control *Control) takeDrains(all []rows.Row) {
	drains := map[string]admin.DrainRecord{}
	for _, row := range all {
		var order admin.DrainRecord
		if len(row.Body) > 0 && json.Unmarshal(row.Body, &order) == nil {
			drains[row.Key.Sort] = order
		}
	}
	control.drains = drains
}

func (control *Control) isDrained(kind, name string) bool {
	_, ordered := control.drains[kind+"/"+name]
	return ordered
}

// takeReplicas takes in a whole list; a row that has not changed is not read
// again, and one that is known to be newer stays.
func (control *Control) takeReplicas(service string, all []rows.Row) {
	before := control.replicas[service]
	control.replicas[service] = make(map[string]group.Replica, len(all))
	if len(before) != len(all) {
		control.encoded = nil
	}
	for _, row := range all {
		if known, was := before[row.Key.Sort]; was && known.Revision >= row.Version {
			control.replicas[service][row.Key.Sort] = known
			continue
		}
		control.takeReplica(row)
	}
}

// takeReplica keeps a row unless it or a newer one is known.
func (control *Control) takeReplica(row rows.Row) {
	replica, err := group.ReadReplica(row)
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
		control.encoded = nil
	}
}

func isReplica(row rows.Row) bool {
	return strings.HasPrefix(row.Key.Partition, group.ReplicasPartition(""))
}

func (control *Control) takeHostRows(all []rows.Row, from time.Time) {
	hostRows := map[string]group.Host{}
	for _, row := range all {
		host, err := group.ReadHost(row)
		if err != nil {
			control.event(event.RowUnreadable, zap.Error(err))
			continue
		}
		hostRows[host.Name] = host
	}
	control.hostRows = hostRows
	for _, claim := range control.claims {
		if claim.stale && from.After(claim.staleAt) {
			claim.stale = false
		}
	}
}

// decideEvery is how often a service's placement is decided while nothing has
// to be waited for.
const decideEvery = 250 * time.Millisecond

// placeAll decides for each service whose lease this node holds, one move at a
// time: the next decision rests on rows read after the last move.
func (control *Control) placeAll(now time.Time) {
	if !control.pollOf(group.HostsPartition).read {
		return
	}
	for _, name := range control.heldServices(now) {
		claim := control.claims[placementLease+name]
		service, known := control.text.ServiceNamed(name)
		if !known || claim.moving || claim.stale || now.Before(claim.decideAt) || !control.readSince(group.ReplicasPartition(name), claim) {
			continue
		}
		claim.decideAt = now.Add(decideEvery)
		input := control.placeInput(service, claim, now)
		if !control.seesEnough(input) {
			continue
		}
		moves := place.Decide(input)
		if len(moves) > 0 {
			control.make(service, claim, moves[0], now)
		}
	}
}

// readSince tells whether a partition was read after the last move was made.
func (control *Control) readSince(part string, claim *claim) bool {
	poll := control.pollOf(part)
	return poll.read && poll.from.After(claim.staleAt) && poll.from.After(claim.heldAt)
}

// seesEnough keeps a holder that is itself cut off from tearing down what it
// cannot see.
func (control *Control) seesEnough(input place.Input) bool {
	seen, members := 0, 0
	for _, host := range input.Hosts {
		if host.Row.Replica == "" {
			continue
		}
		members++
		if control.seenLately(host.Row.Name, input.Now) {
			seen++
		}
	}
	return members == 0 || seen*2 > members
}

func (control *Control) seenLately(host string, now time.Time) bool {
	return now.Sub(control.lastSeen[host]) < control.settings.Place.LostAfter
}

func (control *Control) placeInput(service intent.Service, claim *claim, now time.Time) place.Input {
	input := place.Input{
		Now: now, Policy: control.settings.Place, Service: service, Objective: control.text.Objective,
	}
	for name, listed := range control.listed {
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
	input.WantedReplicas, input.MayShrink = control.wanted(service, claim, now)
	return input
}

func (control *Control) placeHost(name string, now time.Time) place.Host {
	listed := control.listed[name]
	row, known := control.hostRows[name]
	if !known {
		row = group.Host{Name: name}
	}
	observation, fresh := control.board.Latest(name, now)
	leaving := listed.Leaving || control.isDrained(admin.KindEndpoint, name) || control.isDrained(admin.KindZone, listed.Zone)
	return place.Host{
		Row: row, Address: listed.Address, Zone: listed.Zone, Domain: listed.Domain,
		Incarnation: observation.Status.Incarnation, Usable: fresh, Draining: leaving,
		IdleSince: control.idle(row, now),
	}
}

// idle remembers since when a host has been in no replica.
func (control *Control) idle(row group.Host, now time.Time) time.Time {
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
	placed := place.Replica{Replica: replica, Complete: !control.board.CompleteUntil(replica, now).IsZero()}
	for _, member := range replica.Members {
		if control.isLost(member, claim, now) {
			placed.Lost = append(placed.Lost, member.Host)
		}
	}
	placed.Drained = control.isQuiet(replica, now)
	placed.DrainRequested = control.isDrained(admin.KindReplica, replica.ID)
	return placed
}

// isLost tells whether a member is gone for good: its host is off the list,
// silent for long, or back as another incarnation.
func (control *Control) isLost(member group.Member, claim *claim, now time.Time) bool {
	if _, listed := control.listed[member.Host]; !listed {
		return !control.listDown && len(control.listed) > 0
	}
	if observation, fresh := control.board.Latest(member.Host, now); fresh {
		return observation.Status.Incarnation != member.Incarnation
	}
	silentSince := control.lastSeen[member.Host]
	if silentSince.Before(claim.heldAt) {
		silentSince = claim.heldAt
	}
	return now.Sub(silentSince) >= control.settings.Place.LostAfter
}

// isQuiet tells whether a draining replica has been seen without work for long
// enough, or its deadline has passed; then its streams move elsewhere.
func (control *Control) isQuiet(replica group.Replica, now time.Time) bool {
	if replica.State != group.StateDraining {
		delete(control.quietSince, replica.ID)
		return false
	}
	if now.After(replica.DrainDeadline) {
		return true
	}
	lead, fresh := control.board.Latest(replica.Members[0].Host, now)
	if !fresh || lead.Status.Running+lead.Status.Waiting > 0 {
		delete(control.quietSince, replica.ID)
		return false
	}
	since, known := control.quietSince[replica.ID]
	if !known {
		control.quietSince[replica.ID] = now
		return false
	}
	return now.Sub(since) >= drainSettle
}

func (control *Control) wanted(service intent.Service, claim *claim, now time.Time) (int, bool) {
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
		if lead, fresh := control.board.Latest(replica.Members[0].Host, now); fresh {
			streams += lead.Status.Running + lead.Status.Waiting
		}
	}
	demand.Record(float64(streams), now)
	return demand.WantedReplicas(service, now), claim.recalled && demand.CoversWindow(now)
}

// make commits one move under the lease's fencing number.
func (control *Control) make(service intent.Service, claim *claim, action place.Action, now time.Time) {
	if handBack, isHandBack := action.(place.HandBack); isHandBack {
		control.handBack(service, claim, handBack, now)
		return
	}
	fence, held := claim.lease.Held(now)
	if !held {
		return
	}
	lease := group.Lease{Key: lease.FenceKey(placementLease + service.Name), Fence: fence}
	change, err := control.changeOf(service, action, lease, now)
	if err != nil {
		claim.staleAt = now
		control.event(event.MoveRejected, zap.Error(err))
		return
	}
	control.logMove(action, change)
	claim.moving = true
	txn := rows.Txn{WriteID: uuid.NewString(), Ops: change.Steps}
	control.effect(func(ctx context.Context) message {
		outcome := table.CommitAndResolve(ctx, control.outside.Store, txn)
		return moved{service: service.Name, move: action, outcome: outcome, changed: replicaRows(txn)}
	})
}

func replicaRows(txn rows.Txn) []rows.Row {
	var changed []rows.Row
	for _, op := range txn.Ops {
		put, isPut := op.(rows.Put)
		if isPut && put.Key.Partition != group.HostsPartition {
			changed = append(changed, rows.Apply(put, txn.WriteID))
		}
	}
	return changed
}

func (control *Control) changeOf(service intent.Service, action place.Action, lease group.Lease, now time.Time) (group.Change, error) {
	switch typed := action.(type) {
	case place.Form:
		return control.form(service, typed, lease)
	case place.Serve:
		return typed.Replica.Serve(lease)
	case place.Repair:
		spare := typed.Spare
		member := group.Member{Host: spare.Row.Name, Address: spare.Address, Incarnation: spare.Incarnation}
		control.event(event.MemberLost, zap.String("replica", typed.Replica.ID), zap.String("host", typed.Lost))
		return typed.Replica.Repair(control.rowOf(typed.Lost), spare.Row, member, lease)
	case place.Rejoin:
		return typed.Replica.Rejoin(typed.Members, lease)
	case place.Drain:
		return typed.Replica.Drain(now.Add(service.DrainLimit), lease)
	case place.Release:
		var hostRows []group.Host
		for _, member := range typed.Replica.Members {
			hostRows = append(hostRows, control.rowOf(member.Host))
		}
		return typed.Replica.Release(hostRows, lease)
	default:
		return group.Change{}, group.ErrInvalidChange
	}
}

func (control *Control) rowOf(host string) group.Host {
	row, known := control.hostRows[host]
	if !known {
		return group.Host{Name: host}
	}
	return row
}

func (control *Control) form(service intent.Service, form place.Form, lease group.Lease) (group.Change, error) {
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

func (control *Control) logMove(action place.Action, change group.Change) {
	why := ""
	switch typed := action.(type) {
	case place.Drain:
		why = typed.Reason
	case place.Release:
		why = typed.Reason
	}
	control.event(event.ReplicaChanged,
		zap.String("replica", change.Replica.ID), zap.String("state", string(change.Replica.State)),
		zap.Int64("epoch", change.Replica.Epoch), zap.Int64("fence", change.Replica.Fence), zap.String("why", why))
}

func (control *Control) handBack(service intent.Service, claim *claim, move place.HandBack, now time.Time) {
	claim.moving = true
	name := move.Host.Row.Name
	control.event(event.HostHandedBack, zap.String("host", name))
	control.effect(func(ctx context.Context) message {
		var outcome rows.Outcome = rows.Committed{}
		if err := control.outside.Hosts.HandBack(ctx, name); err != nil {
			outcome = rows.Unknown{Cause: err}
		}
		return moved{service: service.Name, move: move, outcome: outcome}
	})
	delete(control.idleSince, name)
}

func (control *Control) takeMove(moved moved, now time.Time) {
	claim := control.claims[placementLease+moved.service]
	claim.moving = false
	claim.stale = true
	claim.staleAt = now
	claim.decideAt = now
	control.soon(group.ReplicasPartition(moved.service))
	control.soon(group.HostsPartition)
	switch typed := moved.outcome.(type) {
	case rows.Committed:
		for _, row := range moved.changed {
			control.takeReplica(row)
		}
		control.spread(moved.changed, now)
	case rows.Refused:
		control.event(event.ReplicaRefused, zap.String("service", moved.service), zap.String("row", typed.Key.Sort))
	case rows.Unknown:
		control.event(event.OutcomeUnknown, zap.String("service", moved.service), zap.Error(typed.Cause))
	}
}

// spread pushes rows to every other node; a push that is lost is made up for
// by the next poll.
func (control *Control) spread(changed []rows.Row, now time.Time) {
	if len(changed) == 0 {
		return
	}
	for _, node := range control.roster.Nodes(now) {
		if node.Name == control.self.Name {
			continue
		}
		control.effect(func(ctx context.Context) message {
			_ = control.outside.Peers.Push(ctx, node.ControlAddress, changed)
			return pushed{}
		})
	}
}
