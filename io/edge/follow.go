package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"hickorybend/core/lease"
	"hickorybend/core/rows"
	"hickorybend/platform"
)

// The followed tables, in the order in which digests list their versions.
const (
	tableConfig = iota
	tableEndpoints
	tableNodes
	tableLease
	tableCount
)

// tableNames are the tables' names in the store.
var tableNames = [tableCount]string{platform.TableOperator, platform.TableEndpoints, "nodes", lease.Partition}

// leaderPollTimeouts are how long the store may hold a long poll of a leader while
// nothing changes. Whether the copy is up to date does not rest on them; see
// refreshCopies.
var leaderPollTimeouts = [tableCount]time.Duration{2 * time.Second, 2 * time.Second, 5 * time.Second, 4 * time.Second}

// nonLeaderPollTimeout is the same for the other nodes, to which the leader
// reports changes. The store holds a poll for 30 s at most.
const nonLeaderPollTimeout = 28 * time.Second

// placerBatchDelay bounds the batch delays of the node that places replicas: it
// plans ten times a second.
const placerBatchDelay = 100 * time.Millisecond

// batchDelays are how long a node lets changes of a table accumulate before it
// polls again.
var batchDelays = [tableCount]time.Duration{0, 200 * time.Millisecond, time.Second, 0}

// coldBatchDelay bounds the batch delay of the endpoints where a service limits what cold ones
// take: until the nodes know that an endpoint has turned cold, they send what they did.
const coldBatchDelay = 100 * time.Millisecond

// roleCheckInterval is the time between two checks of whether this node has to
// follow a table.
const roleCheckInterval = 200 * time.Millisecond

// follows reports whether this node polls the store for a table. Leaders and the
// node that places replicas poll for all tables; a leader that the latter reports changes
// to leaves the endpoints to it, whose rows change several times a second. The others
// poll only for the configuration and the nodes, and only while no leader reports changes
// to them: if 75 nodes all polled, they would make 75 calls for each change, and 75 more
// whenever the polls time out.
func (control *Control) follows(table int) bool {
	if time.Since(control.startedAt) < control.startHold(table) {
		return false
	}
	if control.placing.Load() {
		return true
	}
	if control.isLeader.Load() {
		return table != tableEndpoints || !control.servedByPlacer.Load()
	}
	if table == tableConfig && control.storeUnreachable.Load() {
		return true // until the store answers this node again, which may then lead
	}
	if table == tableConfig && !control.toldEvacuations.Load() {
		return true // the rows of evacuated zones are in that table
	}
	return (table == tableConfig || table == tableNodes) && !control.servedByLeader.Load()
}

const (
	roleDelay  = 300 * time.Millisecond  // from the first read of the nodes until this node knows its role
	serveDelay = 1500 * time.Millisecond // from then until a leader has read the tables and serves the nodes of its zone
)

// startHold returns for how long after its start this node leaves a table alone. Nodes that
// start together for the first time know of no other and would all read all tables: 133
// nodes made 1,900 calls within two seconds. They write their rows instead, read the
// nodes once all rows are there, and leave the rest to their leaders.
func (control *Control) startHold(table int) time.Duration {
	spread := control.settings.StartSpread
	switch {
	case !control.settings.FirstStart || spread == 0:
		return 0
	case table == tableNodes:
		return spread
	case control.isLeader.Load():
		return spread + roleDelay
	default:
		return spread + roleDelay + serveDelay
	}
}

const (
	minRetryDelay = 150 * time.Millisecond // after a failed call; doubles up to maxRetryDelay
	maxRetryDelay = time.Second
)

// follow enqueues the rows of a table until the context ends: first the full
// table, then changes.
func (control *Control) follow(ctx context.Context, table int) {
	delay := minRetryDelay
	var version rows.Version
	synced := false
	for ctx.Err() == nil {
		if !control.follows(table) {
			synced = false // changes are missed meanwhile, so the next read is of the full table
			sleep(ctx, roleCheckInterval)
			continue
		}
		batch, err := control.fetchFromStore(ctx, table, synced, version)
		control.retrying[table].Store(err != nil)
		switch {
		case err == nil:
			delay = minRetryDelay
			synced, version = true, batch.Version
			control.enqueue(tableChanged{table: table, batch: batch, from: fromStore})
			sleep(ctx, control.batchDelay(table))
			continue
		case errors.Is(err, platform.ErrCompacted):
			synced = false
		default:
			control.enqueue(tableUnavailable{table: table, cause: err})
		}
		sleep(ctx, delay/2+rand.N(delay/2))
		delay = min(2*delay, maxRetryDelay)
	}
}

// batchDelay returns how long changes of a table accumulate before the next poll.
func (control *Control) batchDelay(table int) time.Duration {
	if control.placing.Load() {
		return min(placerBatchDelay, batchDelays[table])
	}
	if table == tableEndpoints && control.limitsCold.Load() {
		return coldBatchDelay
	}
	return batchDelays[table]
}

// fetchFromStore reads the full table unless synced, else polls for changes
// after the version. The store answers a poll after a failure at once, so that
// this node does not notice only with the next change that the store is back.
func (control *Control) fetchFromStore(ctx context.Context, table int, synced bool, version rows.Version) (platform.Batch, error) {
	if !synced {
		return control.store.Read(ctx, tableNames[table])
	}
	wait := control.pollWait(table)
	if control.retrying[table].Load() {
		wait = 0
	}
	return control.store.Follow(ctx, tableNames[table], version, wait)
}

// pollWait returns how long the store may hold a poll while nothing changes. Where
// the nodes form a mesh, the short polls of the one that places keep all copies
// up to date; otherwise those of the leaders do, each for its zone.
func (control *Control) pollWait(table int) time.Duration {
	placing, isLeader := control.placing.Load(), control.isLeader.Load()
	switch {
	case !placing && !isLeader:
		return nonLeaderPollTimeout
	case hasAge(table) && (placing || !control.inMesh.Load()):
		return control.copies.policies[table].PollWait
	default:
		return leaderPollTimeouts[table]
	}
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
