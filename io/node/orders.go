package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"hickorybend/core/group"
	"hickorybend/core/intent"
	"hickorybend/core/watch"
	"hickorybend/io/engine"
	"hickorybend/io/event"
)

const (
	orderEvery = 500 * time.Millisecond
	orderLimit = 2 * time.Second
)

// orderAll tells the endpoints of the services that this node places what
// their rows say, until their own status says the same.
func (control *Control) orderAll(now time.Time) {
	if !control.pollOf(group.HostsPartition).read {
		return
	}
	for _, name := range control.heldServices(now) {
		claim := control.claims[placementLease+name]
		service, known := control.text.ServiceNamed(name)
		if !known || claim.moving || claim.stale || !control.mayOrder(service, claim, now) {
			continue
		}
		control.orderMembers(service, claim, now)
		control.releaseIdle(service, claim, now)
	}
}

// mayOrder holds a new lease's first orders back where endpoints ignore fencing
// numbers, until no order of the last holder can still be under way.
func (control *Control) mayOrder(service intent.Service, claim *claim, now time.Time) bool {
	if service.ChecksFencing {
		return true
	}
	return now.After(claim.heldAt.Add(orderLimit + control.settings.Lease.Margin))
}

func (control *Control) orderMembers(service intent.Service, claim *claim, now time.Time) {
	for _, replica := range control.replicas[service.Name] {
		if replica.State != group.StateLoading && replica.State != group.StateServing {
			continue
		}
		for _, member := range replica.Members {
			observation, fresh := control.board.Latest(member.Host, now)
			if !fresh || inPlace(observation.Status, replica, member) || observation.Status.Incarnation != member.Incarnation {
				continue
			}
			control.order(claim, member.Host, member.Address, engine.Command{
				Epoch: replica.Epoch, Replica: replica.ID, Rank: member.Rank,
				Members: hostsOf(replica), Model: replica.Model, Version: replica.Version,
			}, now)
		}
	}
}

// inPlace is like watch.Matches for an endpoint that need not be ready yet.
func inPlace(status watch.Status, replica group.Replica, member group.Member) bool {
	status.Ready = true
	return watch.Matches(status, replica, member)
}

func hostsOf(replica group.Replica) []string {
	var names []string
	for _, member := range replica.Members {
		names = append(names, member.Host)
	}
	return names
}

// releaseIdle tells endpoints that think they are in a replica, though their
// rows say that they are free, to let go.
func (control *Control) releaseIdle(service intent.Service, claim *claim, now time.Time) {
	for name, listed := range control.listed {
		if listed.Service != service.Name || control.rowOf(name).Replica != "" {
			continue
		}
		observation, fresh := control.board.Latest(name, now)
		if fresh && observation.Status.Replica != "" {
			control.order(claim, name, listed.Address, engine.Command{}, now)
		}
	}
}

func (control *Control) order(claim *claim, host, address string, command engine.Command, now time.Time) {
	if now.Before(control.orders[host]) {
		return
	}
	fence, until, held := claim.lease.Deadline(now)
	if !held {
		return
	}
	control.orders[host] = now.Add(orderEvery + orderLimit)
	command.FencingNumber = fence
	command.LeaseExpiry = until
	if limit := now.Add(orderLimit); limit.Before(until) {
		command.LeaseExpiry = limit
	}
	control.effect(func(ctx context.Context) message {
		return ordered{host: host, err: control.outside.Engines.SendCommand(ctx, address, command)}
	})
}

func (control *Control) takeOrder(ordered ordered, now time.Time) {
	control.orders[ordered.host] = now.Add(orderEvery)
	if ordered.err != nil {
		control.event(event.CommandFailed, zap.String("host", ordered.host), zap.Error(ordered.err))
	}
}
