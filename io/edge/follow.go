package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"hickorybend/core/lease"
	"hickorybend/platform"
)

// The followed tables, in the order that digests list their versions in.
const (
	tableConfig = iota
	tableEndpoints
	tableNodes
	tableLease
	tableCount
)

// tableNames are the tables' names in the store.
var tableNames = [tableCount]string{platform.TableOperator, platform.TableEndpoints, "nodes", lease.Partition}

// leaderWaits are how long the store may hold the feed of a node that leads
// without news. They bound how late a channel that has gone silent shows; other
// nodes' versions show it sooner, unless all channels go silent at once.
var leaderWaits = [tableCount]time.Duration{2 * time.Second, 2 * time.Second, 5 * time.Second, 4 * time.Second}

// memberWait is the same for the others, which the leader tells of changes; the
// store holds a feed for 30 s at most.
const memberWait = 28 * time.Second

// holderPause is how long the node that places replicas lets changes gather;
// it plans ten times a second.
const holderPause = 60 * time.Millisecond

// feedPauses are how long a node lets changes gather before it asks for the
// next ones.
var feedPauses = [tableCount]time.Duration{0, 200 * time.Millisecond, time.Second, 0}

// dutyPause is how long a node waits before it looks again whether it has to
// follow a table.
const dutyPause = 200 * time.Millisecond

// follows tells whether this node reads a table itself: leaders and who places
// do. The rest read the configuration and the nodes too where no leader tells
// them of changes: 75 nodes that each followed them would make 75 calls for
// each change, and one each as often as a feed runs out.
func (control *Control) follows(table int) bool {
	if control.leads.Load() || control.holding.Load() {
		return true
	}
	return (table == tableConfig || table == tableNodes) && !control.informed.Load()
}

const (
	retryLeast = 150 * time.Millisecond // after a call that failed
	retryMost  = time.Second
)

// follow brings a table's rows to control for as long as the context lives.
func (control *Control) follow(ctx context.Context, table int) {
	pause := retryLeast
	var next int64
	whole := false
	for ctx.Err() == nil {
		if !control.follows(table) {
			whole = false // what is missed meanwhile is read anew
			wait(ctx, dutyPause)
			continue
		}
		batch, err := control.fetch(ctx, table, whole, next)
		switch {
		case err == nil:
			pause = retryLeast
			whole, next = true, batch.Version
			control.tell(tableChanged{table: table, batch: batch, from: fromStore})
			wait(ctx, control.gathers(table))
			continue
		case errors.Is(err, platform.ErrCompacted):
			whole = false
		default:
			control.tell(tableSilent{table: table, cause: err})
		}
		wait(ctx, pause/2+rand.N(pause/2))
		pause = min(2*pause, retryMost)
	}
}

// gathers is how long changes of a table gather before the next call.
func (control *Control) gathers(table int) time.Duration {
	if control.holding.Load() {
		return min(holderPause, feedPauses[table])
	}
	return feedPauses[table]
}

func (control *Control) fetch(ctx context.Context, table int, whole bool, next int64) (platform.Batch, error) {
	if !whole {
		return control.store.Read(ctx, tableNames[table])
	}
	pause := memberWait
	if control.leads.Load() || control.holding.Load() {
		pause = leaderWaits[table]
	}
	return control.store.Follow(ctx, tableNames[table], next, pause)
}

func wait(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
