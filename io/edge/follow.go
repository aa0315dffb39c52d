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
	tableOwn
	tableCount
)

// tableNames are the tables' names in the store; leases and nodes share one.
var tableNames = [tableCount]string{platform.TableOperator, platform.TableEndpoints, lease.Part}

// feedWaits are how long the store may hold a feed without news. They bound
// how late a channel that has gone silent shows; other nodes' versions show it
// sooner, unless all channels go silent at once.
var feedWaits = [tableCount]time.Duration{2 * time.Second, 2 * time.Second, 4 * time.Second}

// feedPauses are how long a node lets changes gather before it asks for the
// next ones; the one that places replicas takes them as they come.
var feedPauses = [tableCount]time.Duration{0, 200 * time.Millisecond, 0}

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
		batch, err := control.fetch(ctx, table, whole, next)
		switch {
		case err == nil:
			pause = retryLeast
			whole, next = true, batch.Next
			control.tell(tableChanged{table: table, batch: batch, from: fromStore})
			if feedPauses[table] > 0 && !control.holding.Load() {
				wait(ctx, feedPauses[table])
			}
			continue
		case errors.Is(err, platform.ErrHistory):
			whole = false
		default:
			control.tell(tableSilent{table: table, cause: err})
		}
		wait(ctx, pause/2+rand.N(pause/2))
		pause = min(2*pause, retryMost)
	}
}

func (control *Control) fetch(ctx context.Context, table int, whole bool, next int64) (platform.Batch, error) {
	if !whole {
		return control.store.Read(ctx, tableNames[table])
	}
	return control.store.Follow(ctx, tableNames[table], next, feedWaits[table])
}

func wait(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
