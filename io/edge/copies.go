package edge

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"hickorybend/core/fresh"
	"hickorybend/io/event"
	"hickorybend/io/gossip"
	"hickorybend/platform"
)

// nodesBound is the time within which a change of the nodes' addresses should be
// known everywhere. No rule sets it: a node with a stale address is unresponsive.
const nodesBound = 25 * time.Second

// copies is how old this node's copies of the tables are.
type copies struct {
	watermarks [tableCount]fresh.Watermark
	policies   [tableCount]fresh.Policy
	readers    [tableCount]fresh.Reader
	readFailed [tableCount]atomic.Bool                  // the last read or poll of the table has failed, and nothing has confirmed the copy since
	stale      [tableCount]time.Time                    // the time up to which the copy was complete when it became out of date; zero while it is not
	published  [tableCount]atomic.Pointer[confirmation] // for other goroutines
}

// confirmation says up to when a copy is complete.
type confirmation struct {
	at      time.Time
	version int64 // the store's; 0 for tables other than that of the endpoints
}

func newCopies(settings Settings) copies {
	return copies{policies: [tableCount]fresh.Policy{
		tableConfig:    fresh.PolicyFor(settings.ConfigBound, settings.EndpointHeartbeat),
		tableEndpoints: fresh.PolicyFor(settings.DrainBound, settings.EndpointHeartbeat),
		tableNodes:     fresh.PolicyFor(nodesBound, settings.EndpointHeartbeat),
	}}
}

// hasAge reports whether the age of a table's copy is tracked. That of the lease
// is not: only its holder and the nodes that may acquire it read it, and each
// write of it is conditional on the version read.
func hasAge(table int) bool { return table != tableLease }

// arrive records that rows or a confirmation of a copy have arrived, before they
// are applied.
func (copies *copies) arrive(table int, now time.Time) {
	copies.watermarks[table].Arrive(now, copies.policies[table].LapseAfter)
}

// confirm records that a copy is complete up to a time.
func (copies *copies) confirm(table int, at time.Time) {
	if at.After(copies.watermarks[table].At) {
		copies.readFailed[table].Store(false)
	}
	copies.watermarks[table].Advance(at)
}

// publish publishes the watermarks. It follows the publication of the snapshot,
// which then has what they vouch for.
func (copies *copies) publish(endpointsVersion int64) {
	for table, watermark := range copies.watermarks {
		current := confirmation{at: watermark.At}
		if table == tableEndpoints {
			current.version = endpointsVersion
		}
		if published := copies.published[table].Load(); published == nil || *published != current {
			copies.published[table].Store(&current)
		}
	}
}

// suspend ages all copies by the time for which the host was suspended.
func (copies *copies) suspend(duration time.Duration) {
	for table := range copies.watermarks {
		copies.watermarks[table].Suspend(duration)
	}
}

func (copies *copies) age(table int, now time.Time) time.Duration {
	return copies.watermarks[table].Age(now)
}

// publishedAge returns the age of a copy. It is safe for use by other goroutines.
func (copies *copies) publishedAge(table int, now time.Time) time.Duration {
	published := copies.published[table].Load()
	if published == nil {
		return fresh.Unknown
	}
	return fresh.Watermark{At: published.at}.Age(now)
}

// confirmedAt returns the watermarks of all tables, for the digest.
func (copies *copies) confirmedAt() []time.Time {
	times := make([]time.Time, tableCount)
	for table := range tableCount {
		times[table] = copies.watermarks[table].At
	}
	return times
}

// confirmByPeer confirms the copies that have all that another node's have, when
// that node has replied with its digest to a request sent at askedAt. A digest
// that was sent unasked confirms no time: it may have been on its way for long.
//
// For example, this node's copy of the endpoints is complete up to version 100,
// and the peer's up to 140, but the newest change in it is 90. Then the table has
// not changed from 90 to 140, and this node's copy is complete up to 140 as well.
func (control *Control) confirmByPeer(digest gossip.Digest, askedAt, now time.Time) {
	for table := range tableCount {
		if !hasAge(table) || len(digest.Versions) <= table || control.completeVersion(table) < requiredVersion(digest, table) {
			continue
		}
		if table == tableEndpoints {
			if digest.Era != control.endpoints.era {
				continue
			}
			control.endpoints.completeVersion = max(control.endpoints.completeVersion, digest.Complete)
		}
		if at, known := digest.ConfirmedBy(table, askedAt); known {
			control.copies.arrive(table, now)
			control.copies.confirm(table, at)
			if !control.follows(table) && at.After(control.config.unavailableSince[table]) {
				control.markAvailable(table, fromPeer, now) // this node makes no calls from which it could notice
			}
		}
	}
}

// copyRead reports that a read of a table has ended that was started because of the
// age of this node's copy.
type copyRead struct {
	table int
	err   error
}

func (copyRead) message() {}

// refreshCopies asks another node, or reads the store, where this node's copy of a
// table has become too old. Who should have kept it up to date plays no part: the
// nodes that read the table may be cut off from the store, or stand still, and a
// long poll may have stopped delivering.
func (control *Control) refreshCopies(now time.Time) {
	copies := &control.copies
	for table := range tableCount {
		if !hasAge(table) || copies.watermarks[table].At.IsZero() {
			continue // until the first read, this node is a leader or fetches from seeds
		}
		if copies.age(table, now) >= copies.policies[table].AskAfter {
			control.askPeer(table, now)
		}
		// A poll that failed is retried, and does not wait for a change.
		if control.retrying[table].Load() && control.follows(table) {
			continue
		}
		if reader := &copies.readers[table]; reader.Due(copies.policies[table], copies.watermarks[table], now) {
			reader.Pending = true
			go control.readCopy(table, control.completeVersion(table), reader.Timeout(copies.policies[table]))
		}
	}
}

// askPeer starts an exchange with the node whose copy of a table is the most up to
// date, if it is so by more than the time between two exchanges.
func (control *Control) askPeer(table int, now time.Time) {
	var best *peer
	newest, bestName := control.copies.watermarks[table].At.Add(gossipInterval), ""
	for name, peer := range control.peers.nodes {
		at, known := peer.digest.ConfirmedBy(table, peer.digestReceivedAt)
		if known && at.After(newest) && peer.fresh(now) && !peer.exchanging && !now.Before(peer.nextExchangeAt) {
			best, bestName, newest = peer, name, at
		}
	}
	if best != nil {
		control.startExchange(bestName, best, now.Add(gossipInterval))
	}
}

// readCopy reads a table, or its changes after a version, from the store.
func (control *Control) readCopy(table int, version int64, timeout time.Duration) {
	batch, err := control.readChanges(table, version, timeout)
	if err == nil {
		control.enqueue(tableChanged{table: table, batch: batch, from: fromStore})
	}
	control.enqueue(copyRead{table: table, err: err})
}

// readChanges reads the changes of the endpoints after a version. Of the other
// tables, whose versions are not the store's, it reads all rows, which are few.
func (control *Control) readChanges(table int, version int64, timeout time.Duration) (platform.Batch, error) {
	if table == tableEndpoints && version > 0 {
		batch, err := control.store.Changes(control.ctx, tableNames[table], version, timeout)
		if !errors.Is(err, platform.ErrCompacted) {
			return batch, err
		}
	}
	return control.store.ReadWithin(control.ctx, tableNames[table], timeout)
}

// handleCopyRead handles the end of a read that readCopy has made.
func (control *Control) handleCopyRead(read copyRead, now time.Time) {
	reader := &control.copies.readers[read.table]
	if read.err == nil {
		reader.Finish()
		return
	}
	reader.Fail(control.copies.policies[read.table], now, rand.Float64())
	control.handleTableUnavailable(tableUnavailable{table: read.table, cause: read.err}, now)
}

// confirmTimeout is how long a request waits for a copy that is out of date to be
// confirmed. A read of the store usually takes 4 ms.
const confirmTimeout = 150 * time.Millisecond

// confirmPollInterval is the time between two looks at the copies meanwhile.
const confirmPollInterval = 5 * time.Millisecond

// copiesStale asks Control to refresh the copies now rather than at the next tick.
type copiesStale struct{}

func (copiesStale) message() {}

// Confirm returns the age of the configuration and the endpoints that requests use,
// which is that of the older copy. If it is out of date, Confirm first waits until
// it has been confirmed. This is the case after the process has been suspended,
// before the control loop has run. While the store does not answer, Confirm does
// not wait: requests are served with what is known.
func (control *Control) Confirm(ctx context.Context) time.Duration {
	if !control.awaitsConfirmation(time.Now()) {
		return control.snapshotAge(time.Now())
	}
	control.meter.Count("stale_snapshots", "")
	select {
	case control.messages <- copiesStale{}:
	default: // the queue is full; the next tick refreshes the copies
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for ctx.Err() == nil && control.awaitsConfirmation(time.Now()) {
		sleep(ctx, confirmPollInterval)
	}
	return control.snapshotAge(time.Now())
}

// awaitsConfirmation reports whether a copy that requests use is out of date, though
// its last read has not failed. A node without a copy waits for none.
func (control *Control) awaitsConfirmation(now time.Time) bool {
	copies := &control.copies
	for _, table := range requestTables {
		age := copies.publishedAge(table, now)
		if age != fresh.Unknown && age >= copies.policies[table].StaleAfter && !copies.readFailed[table].Load() {
			return true
		}
	}
	return false
}

// requestTables are the tables whose copies requests use.
var requestTables = []int{tableConfig, tableEndpoints}

func (control *Control) snapshotAge(now time.Time) time.Duration {
	var highest time.Duration
	for _, table := range requestTables {
		highest = max(highest, control.copies.publishedAge(table, now))
	}
	return highest
}

// reportAges updates the gauges of the copies' ages, and logs when a copy becomes
// out of date and when it is up to date again.
func (control *Control) reportAges(now time.Time) {
	copies := &control.copies
	for table := range tableCount {
		watermark := copies.watermarks[table]
		if !hasAge(table) || watermark.At.IsZero() {
			continue // a node without a copy is not ready
		}
		age := watermark.Age(now)
		control.meter.Gauge("table_age_seconds_"+tableNames[table], age.Seconds())
		stale := age >= copies.policies[table].StaleAfter
		switch {
		case stale && copies.stale[table].IsZero():
			copies.stale[table] = watermark.At
			event.Log(control.log, event.CopyStale, zap.String("table", tableNames[table]), zap.Duration("age", age),
				zap.Int64("version", control.versions()[table]), zap.Bool("reads", control.follows(table)),
				zap.Bool("store-unreachable", !control.config.unavailableSince[table].IsZero()), zap.String("leader", control.peers.role.Leader))
		case !stale && !copies.stale[table].IsZero():
			event.Log(control.log, event.CopyFresh, zap.String("table", tableNames[table]), zap.Duration("gap", watermark.At.Sub(copies.stale[table])))
			copies.stale[table] = time.Time{}
		}
	}
}
