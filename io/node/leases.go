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

// placementLease is the prefix of the names of placement leases; the service's name
// follows.
const placementLease = "placement-"

// maintainLeases acquires and renews the placement leases. Each model service has its
// own, so that no single node places all services.
func (control *Control) maintainLeases(now time.Time) {
	for _, service := range control.modelServices() {
		name := placementLease + service.Name
		if control.claims[name] == nil {
			control.claims[name] = &claim{lease: lease.NewClaim(control.settings.Lease, name, control.self.Incarnation)}
		}
	}
	for name, claim := range control.claims {
		control.updateHeld(name, claim, now)
		if claim.writing || control.rowRemoved || control.self.Draining || !control.serving {
			continue
		}
		control.claimLease(name, claim, now)
	}
}

// updateHeld detects that a lease was acquired or lost. A new holder must read the
// host rows before it places anything, since nodes without a lease don't read them.
func (control *Control) updateHeld(name string, claim *claim, now time.Time) {
	fence, held := claim.lease.Held(now)
	if held == claim.held {
		return
	}
	claim.held = held
	if held {
		claim.heldAt = now
		claim.demandLoaded = false
		claim.saveDemandAt = now
		control.makeDue(group.HostsPartition)
		control.pollOf(group.HostsPartition).loaded = false
		control.event(event.LeaseAcquired, zap.String("lease", name), zap.Int64("fence", fence))
		return
	}
	control.event(event.LeaseLost, zap.String("lease", name))
}

// claimLease starts the renewal or acquisition that is due, if any.
func (control *Control) claimLease(name string, claim *claim, now time.Time) {
	writeID := uuid.NewString()
	action := claim.lease.Next(now, control.acquireDelay(name, now), writeID)
	var txn rows.Txn
	switch typed := action.(type) {
	case lease.Renew:
		txn = typed.Txn
	case lease.Acquire:
		txn = typed.Txn
	default:
		return
	}
	claim.writing = true
	control.runInBackground(func(ctx context.Context) message {
		return leaseResult{name: name, action: action, outcome: control.dependencies.Store.Commit(ctx, txn)}
	})
}

// acquireDelay returns how long this node waits before it acquires a lease that is
// available: half a renewal interval for each node that ranks above it for this
// lease. The ranks come from rendezvous hashing, so the nodes don't all try at once
// and the leases spread over them.
func (control *Control) acquireDelay(name string, now time.Time) time.Duration {
	rank := 0
	own := leaseWeight(name, control.self.Name)
	for _, node := range control.roster.Nodes(now) {
		if node.Name != control.self.Name && !node.Draining && leaseWeight(name, node.Name) > own {
			rank++
		}
	}
	return time.Duration(rank) * control.settings.Lease.RenewEvery / 2
}

// leaseWeight returns the weight of a node for a lease; the highest weight ranks
// first.
func leaseWeight(name, node string) uint64 {
	return route.Mix(xxhash.Sum64String(name) ^ xxhash.Sum64String(node))
}

// handleLease applies the outcome of a transaction on a lease. Unless the transaction
// was committed, the leases are read again at once.
func (control *Control) handleLease(result leaseResult, now time.Time) {
	claim := control.claims[result.name]
	claim.writing = false
	claim.lease.Resolve(result.action, result.outcome, now)
	if _, done := result.outcome.(rows.Committed); !done {
		control.makeDue(lease.Partition)
	}
}

// observeLeases passes each claim the rows of its lease. A claim whose own write is
// running is skipped, since the read may be older than the write.
func (control *Control) observeLeases(all []rows.Row, now time.Time) {
	byName := map[string]rows.Row{}
	for _, row := range all {
		byName[row.Key.Sort] = row
	}
	for name, claim := range control.claims {
		if claim.writing {
			continue
		}
		row, fencingRow := byName[name], byName[lease.FencingRowKey(name).Sort]
		row.Key, fencingRow.Key = rows.Key{Partition: lease.Partition, Sort: name}, lease.FencingRowKey(name)
		if err := claim.lease.Observe(row, fencingRow, now); err != nil {
			control.event(event.RowUnreadable, zap.Error(err))
		}
	}
}

func (control *Control) holdsAnyLease(now time.Time) bool {
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
