package node

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"hickorybend/core/group"
	"hickorybend/core/lease"
	"hickorybend/core/route"
	"hickorybend/core/rows"
	"hickorybend/io/event"
)

const placementLease = "placement-"

// holdLeases looks after one lease for each model service, so that no single
// node places everything.
func (control *Control) holdLeases(now time.Time) {
	for _, service := range control.models() {
		name := placementLease + service.Name
		if control.claims[name] == nil {
			control.claims[name] = &claim{lease: lease.NewClaim(control.settings.Lease, name, control.self.Incarnation)}
		}
	}
	for name, claim := range control.claims {
		control.noteHeld(name, claim, now)
		if claim.busy || control.gone || control.self.Draining || !control.serving {
			continue
		}
		control.tryLease(name, claim, now)
	}
}

func (control *Control) noteHeld(name string, claim *claim, now time.Time) {
	fence, held := claim.lease.Held(now)
	if held == claim.held {
		return
	}
	claim.held = held
	if held {
		claim.heldAt = now
		claim.recalled = false
		claim.keepAt = now
		control.soon(group.HostsPartition)
		control.pollOf(group.HostsPartition).read = false
		control.event(event.LeaseAcquired, zap.String("lease", name), zap.Int64("fence", fence))
		return
	}
	control.event(event.LeaseLost, zap.String("lease", name))
}

func (control *Control) tryLease(name string, claim *claim, now time.Time) {
	write := uuid.NewString()
	action := claim.lease.Next(now, control.takeDelay(name, now), write)
	var txn rows.Txn
	switch typed := action.(type) {
	case lease.Renew:
		txn = typed.Txn
	case lease.Acquire:
		txn = typed.Txn
	default:
		return
	}
	claim.busy = true
	control.effect(func(ctx context.Context) message {
		return leased{name: name, action: action, outcome: control.outside.Store.Commit(ctx, txn)}
	})
}

// takeDelay ranks the nodes for a lease, so that they do not all try at once
// and each node ends up with its part of the leases.
func (control *Control) takeDelay(name string, now time.Time) time.Duration {
	rank := 0
	own := leaseWeight(name, control.self.Name)
	for _, node := range control.roster.Nodes(now) {
		if node.Name != control.self.Name && !node.Draining && leaseWeight(name, node.Name) > own {
			rank++
		}
	}
	return time.Duration(rank) * control.settings.Lease.RenewEvery / 2
}

func leaseWeight(name, node string) uint64 {
	return route.Mix(xxhash.Sum64String(name) ^ xxhash.Sum64String(node))
}

func (control *Control) takeLease(leased leased, now time.Time) {
	claim := control.claims[leased.name]
	claim.busy = false
	claim.lease.Resolve(leased.action, leased.outcome, now)
	if _, done := leased.outcome.(rows.Committed); !done {
		control.soon(lease.Partition)
	}
}

// takeLeases shows each claim its rows. A claim whose own write is under way is
// left alone, since the read may be older than the write.
func (control *Control) takeLeases(all []rows.Row, now time.Time) {
	byName := map[string]rows.Row{}
	for _, row := range all {
		byName[row.Key.Sort] = row
	}
	for name, claim := range control.claims {
		if claim.busy {
			continue
		}
		row, fence := byName[name], byName[lease.FenceKey(name).Sort]
		row.Key, fence.Key = rows.Key{Partition: lease.Partition, Sort: name}, lease.FenceKey(name)
		if err := claim.lease.Observe(row, fence, now); err != nil {
			control.event(event.RowUnreadable, zap.Error(err))
		}
	}
}

func (control *Control) holdsAny(now time.Time) bool {
	for _, claim := range control.claims {
		if _, held := claim.lease.Held(now); held {
			return true
		}
	}
	return false
}

// heldServices lists the model services that this node places.
func (control *Control) heldServices(now time.Time) []string {
	var services []string
	for name, claim := range control.claims {
		if _, held := claim.lease.Held(now); held {
			services = append(services, strings.TrimPrefix(name, placementLease))
		}
	}
	slices.Sort(services)
	return services
}
