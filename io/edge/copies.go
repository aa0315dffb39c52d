package edge

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"hickorybend/core/fresh"
	"hickorybend/core/rows"
	"hickorybend/io/event"
	"hickorybend/io/gossip"
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
	version rows.Version // 0 for tables other than that of the endpoints
}

func newCopies(settings Settings) copies {
	return copies{policies: [tableCount]fresh.Policy{
		tableConfig:    fresh.PolicyFor(settings.operatorBound(), settings.EndpointHeartbeat),
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
func (copies *copies) publish(endpointsVersion rows.Version) {
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
//
// A copy of a later era has been read after the store had lost what an earlier one
// has, so that a peer of an earlier era confirms nothing new.
func (control *Control) confirmByPeer(digest gossip.Digest, askedAt, now time.Time) {
	for table := range tableCount {
		if !hasAge(table) || len(digest.Versions) <= table || control.completeVersion(table) < requiredVersion(digest, table) {
			continue
		}
		if table == tableConfig && digest.Evacuations == nil && control.evacuations.inForce.State.Known() {
			continue // a node of an earlier build does not tell which zones are evacuated
		}
		if table == tableEndpoints {
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
				zap.Int64("version", control.versions()[table].Number()), zap.Bool("reads", control.follows(table)),
				zap.Bool("store-unreachable", !control.config.unavailableSince[table].IsZero()), zap.String("leader", control.peers.role.Leader))
		case !stale && !copies.stale[table].IsZero():
			event.Log(control.log, event.CopyFresh, zap.String("table", tableNames[table]), zap.Duration("gap", watermark.At.Sub(copies.stale[table])))
			copies.stale[table] = time.Time{}
		}
	}
}
