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
	commandInterval = 500 * time.Millisecond // pause between the end of a command and the next to the same endpoint
	commandTimeout  = 2 * time.Second
)

// sendCommands sends commands to the endpoints of the services that this node places,
// until the status that each endpoint reports agrees with the stored rows.
func (control *Control) sendCommands(now time.Time) {
	if !control.pollOf(group.HostsPartition).loaded {
		return
	}
	for _, name := range control.heldServices(now) {
		claim := control.claims[placementLease+name]
		service, known := control.spec.ServiceNamed(name)
		if !known || claim.actionRunning || claim.stale || !control.maySendCommands(service, claim, now) {
			continue
		}
		control.commandMembers(service, claim, now)
		control.releaseUnassigned(service, claim, now)
	}
}

// maySendCommands reports whether a new lease holder may already send commands.
// Endpoints that check fencing numbers reject late commands of the previous holder.
// For endpoints that do not, a new holder waits until no command of the previous
// holder can still be in flight.
func (control *Control) maySendCommands(service intent.Service, claim *claim, now time.Time) bool {
	if service.ChecksFencing {
		return true
	}
	return now.After(claim.heldAt.Add(commandTimeout + control.settings.Lease.Margin))
}

// commandMembers sends commands to the members of loading and serving replicas whose
// status differs from the replica's row. A member that has restarted gets none: its
// new incarnation must first rejoin or be replaced.
func (control *Control) commandMembers(service intent.Service, claim *claim, now time.Time) {
	for _, replica := range control.replicas[service.Name] {
		if replica.State != group.StateLoading && replica.State != group.StateServing {
			continue
		}
		for _, member := range replica.Members {
			observation, fresh := control.tracker.Latest(member.Host, now)
			if !fresh || matchesExceptReady(observation.Status, replica, member) || observation.Status.Incarnation != member.Incarnation {
				continue
			}
			control.sendCommand(claim, member.Host, member.Address, engine.Command{
				Epoch: replica.Epoch, Replica: replica.ID, Rank: member.Rank,
				Members: memberHosts(replica), Model: replica.Model, Version: replica.Version,
			}, now)
		}
	}
}

// matchesExceptReady is like watch.Matches, but the endpoint need not be ready yet.
func matchesExceptReady(status watch.Status, replica group.Replica, member group.Member) bool {
	status.Ready = true
	return watch.Matches(status, replica, member)
}

func memberHosts(replica group.Replica) []string {
	var names []string
	for _, member := range replica.Members {
		names = append(names, member.Host)
	}
	return names
}

// releaseUnassigned sends an empty command, which releases an endpoint from its
// replica, to endpoints that report a replica although their hosts' rows name none.
func (control *Control) releaseUnassigned(service intent.Service, claim *claim, now time.Time) {
	for name, listed := range control.listedHosts {
		if listed.Service != service.Name || control.hostRow(name).Replica != "" {
			continue
		}
		observation, fresh := control.tracker.Latest(name, now)
		if fresh && observation.Status.Replica != "" {
			control.sendCommand(claim, name, listed.Address, engine.Command{}, now)
		}
	}
}

// sendCommand sends a command under the lease's fencing number, unless the previous
// command to the host is still running or has just ended. The deadline of the command
// is the lease's, or commandTimeout from now if that is sooner.
func (control *Control) sendCommand(claim *claim, host, address string, command engine.Command, now time.Time) {
	if now.Before(control.nextCommandAt[host]) {
		return
	}
	fence, leaseDeadline, held := claim.lease.Deadline(now)
	if !held {
		return
	}
	control.nextCommandAt[host] = now.Add(commandInterval + commandTimeout)
	command.FencingNumber = fence
	command.Deadline = leaseDeadline
	if commandDeadline := now.Add(commandTimeout); commandDeadline.Before(leaseDeadline) {
		command.Deadline = commandDeadline
	}
	control.runInBackground(func(ctx context.Context) message {
		return commandResult{host: host, err: control.dependencies.Engines.SendCommand(ctx, address, command)}
	})
}

func (control *Control) handleCommand(result commandResult, now time.Time) {
	control.nextCommandAt[result.host] = now.Add(commandInterval)
	if result.err != nil {
		control.event(event.CommandFailed, zap.String("host", result.host), zap.Error(result.err))
	}
}
