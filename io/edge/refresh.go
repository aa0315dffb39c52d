package edge

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"hickorybend/core/rows"
	"hickorybend/platform"
)

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
func (control *Control) readCopy(table int, version rows.Version, timeout time.Duration) {
	batch, err := control.readChanges(table, version, timeout)
	if err == nil {
		control.enqueue(tableChanged{table: table, batch: batch, from: fromStore})
	}
	control.enqueue(copyRead{table: table, err: err})
}

// readChanges reads the changes of the endpoints after a version. Of the other
// tables, whose versions are not the store's, it reads all rows, which are few.
func (control *Control) readChanges(table int, version rows.Version, timeout time.Duration) (platform.Batch, error) {
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
