package edge

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"hickorybend/core/crash"
	"hickorybend/core/cutoff"
	"hickorybend/core/reach"
	"hickorybend/core/rows"
	"hickorybend/io/entry"
	"hickorybend/io/event"
	"hickorybend/io/gossip"
	"hickorybend/io/meter"
	"hickorybend/io/pool"
	"hickorybend/platform"
)

const (
	tickInterval      = 100 * time.Millisecond // between two runs of the periodic work
	tickTolerance     = 60 * time.Millisecond  // how late the periodic work may be until the node counts as late
	maxQueuedMessages = 1024                   // capacity of the message queue
)

// Control holds a node's view of the platform and of the other nodes. One
// goroutine handles messages and runs the periodic work in a fixed order;
// request handling reads the snapshot that it publishes.
type Control struct {
	settings         Settings
	store            *platform.Store
	engineClient     *platform.EngineClient
	log              *zap.Logger
	meter            *meter.Meter
	hadRequests      func() bool                         // whether a request has arrived at this node
	localDemand      func() map[string]time.Duration     // estimated host time requested of each model at this node since the start
	uses             func(input crash.Input) crash.Uses  // requests with an input that endpoints have answered through this node
	doubtAnswers     func(endpoint string, at time.Time) // reports the recent answers of an endpoint that has ended
	localRequests    func() map[string]int64             // requests for each service that this node has received since the start
	reportLost       func(firstHosts []string)           // reports replicas that may not serve any more, named by their first hosts
	reportFound      func(firstHosts []string)           // reports those of them whose members all answer again
	setBudgets       func(map[string]pool.Budget)        // sets how many connections this node may have, by address
	messages         chan message
	snapshot         atomic.Pointer[reach.Snapshot]
	digest           atomic.Pointer[gossip.Digest]            // this node's own
	publishedTables  [tableCount]atomic.Pointer[gossip.Table] // what other nodes may fetch
	copies           copies
	ready            atomic.Bool
	placing          atomic.Bool             // this node places replicas; see placement.active
	isLeader         atomic.Bool             // this node reads the platform's tables for its zone
	servedByLeader   atomic.Bool             // the zone's leader reports changes to this node
	servedByPlacer   atomic.Bool             // the node that places replicas reports changes to this node
	toldEvacuations  atomic.Bool             // that leader reports evacuated zones too; one of an earlier build does not
	limitsCold       atomic.Bool             // a service limits what its cold endpoints take
	inMesh           atomic.Bool             // every node exchanges digests with every other
	storeUnreachable atomic.Bool             // the store did not answer the last call for the configuration
	retrying         [tableCount]atomic.Bool // the last poll of the table has failed
	startedAt        time.Time
	ctx              context.Context
	config           configState
	endpoints        endpoints
	peers            *peers
	placement        placement
	demand           demand
	crashes          crashes
	limits           limits
	evacuations      evacuations
	cold             coldEndpoints
	connections      connections
	assignment       assignment
	loggedServing    map[string]int // serving replicas of each model, as last logged
	storeRepliedAt   time.Time      // when the store last answered
	bootClockOffset  func(monotonic time.Duration) (time.Duration, error)
	lastClockOffset  time.Duration // bootClockOffset at the last tick
	lateness         lateness
	cutoff           *cutoff.Tracker
	nextLinkProbeAt  time.Time // while this node is cut off
	draining         bool
	snapshotStale    bool // the snapshot must be rebuilt
}

// NewControl creates a node's control. hadRequests, localDemand,
// uses, doubtAnswers, localRequests, reportLost, reportFound and setBudgets do nothing until newServer sets
// them.
func NewControl(settings Settings, store *platform.Store, engineclient *platform.EngineClient, log *zap.Logger, meter *meter.Meter) *Control {
	control := &Control{
		settings: settings, store: store, engineClient: engineclient, log: log, meter: meter,
		hadRequests: func() bool { return false }, localDemand: func() map[string]time.Duration { return nil }, reportLost: func([]string) {}, reportFound: func([]string) {}, uses: func(crash.Input) crash.Uses { return crash.Uses{} }, doubtAnswers: func(string, time.Time) {},
		localRequests: func() map[string]int64 { return nil }, setBudgets: func(map[string]pool.Budget) {},
		messages: make(chan message, maxQueuedMessages), lateness: newLateness(), loggedServing: map[string]int{}, bootClockOffset: bootClockOffset,
	}
	control.copies = newCopies(settings)
	control.endpoints = newEndpoints()
	control.peers = newPeers(settings)
	control.crashes = newCrashes()
	control.cutoff = cutoff.NewTracker(cutoff.DefaultPolicy())
	control.limits = newLimits()
	control.evacuations.judged = map[string]bool{}
	control.cold = newColdEndpoints()
	control.connections = newConnections()
	control.assignment = newAssignment(settings)
	control.placement = newPlacement(settings)
	control.demand = newDemand()
	if engineclient != nil {
		engineclient.OnLeaving(func(endpoint string) { control.Leaving(endpoint, time.Time{}) })
		engineclient.OnLimit(func(endpoint string, perSecond float64) {
			control.LimitStated(entry.StatedLimit{Endpoint: endpoint, Limited: true, PerSecond: perSecond, At: time.Now()})
		})
	}
	if engineclient != nil {
		engineclient.OnCold(control.ColdStated)
	}
	control.isLeader.Store(true) // until other nodes are known
	control.snapshot.Store(&reach.Snapshot{Nodes: 1})
	control.digest.Store(&gossip.Digest{Node: settings.Node})
	return control
}

// Snapshot returns the pointer to the latest snapshot for request handling.
func (control *Control) Snapshot() *atomic.Pointer[reach.Snapshot] { return &control.snapshot }

// Ready reports whether the node has a configuration and the endpoints, knows which zones
// are evacuated, and is not draining.
func (control *Control) Ready() bool { return control.ready.Load() }

// LateBy returns by how much this node was late at most since a time.
func (control *Control) LateBy(since time.Time) time.Duration {
	return control.lateness.lateBy(since, time.Now())
}

// Suspect requests a probe of an endpoint and its replica. It never blocks.
func (control *Control) Suspect(endpoint string) {
	select {
	case control.messages <- endpointSuspected{endpoint: endpoint}:
	default: // the queue is full; the next request that stalls there requests the probe again
	}
}

// enqueue adds a message to the queue. It waits for room until the context ends.
func (control *Control) enqueue(message message) {
	select {
	case control.messages <- message:
	case <-control.ctx.Done():
	}
}

// Run follows the platform's tables, handles messages and runs the periodic work
// until the context ends.
func (control *Control) Run(ctx context.Context) {
	for table := range tableCount {
		go control.follow(ctx, table)
	}
	go control.fetchFromSeeds(ctx)
	go control.readBlocks(ctx)
	if control.startHold(tableNodes) > 0 {
		control.writeNodeRow()
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-control.messages:
			control.handle(message)
			control.handleQueued()
		case <-ticker.C:
			control.tick(time.Now())
		}
		if control.snapshotStale {
			control.snapshotStale = false
			control.publish(time.Now())
		}
		control.copies.publish(control.endpoints.completeVersion)
	}
}

// handleQueued handles the messages that are already queued, so that one
// snapshot covers them all.
func (control *Control) handleQueued() {
	for range maxQueuedMessages {
		select {
		case message := <-control.messages:
			control.handle(message)
		default:
			return
		}
	}
}

// handle dispatches a message to its handler.
func (control *Control) handle(message message) {
	now := time.Now()
	switch typed := message.(type) {
	case tableChanged:
		control.handleTable(typed, now)
	case tableUnavailable:
		control.handleTableUnavailable(typed, now)
	case digestReceived:
		control.handlePeerDigest(typed, now)
	case peerUnresponsive:
		control.peers.markExchangeFailed(typed.node, typed.refused, now)
	case endpointSuspected:
		control.probeReplica(typed.endpoint, now)
	case endpointUnreachable:
		control.handleUnreachable(typed, now)
	case linkChecked:
		control.handleLinkChecked(typed, now)
	case endpointLeaves:
		control.handleLeaving(typed, fromAnswer, now)
	case attemptBroken:
		control.handleBroken(typed, now)
	case healthChecked:
		control.handleHealthChecked(typed, now)
	case trialEnded:
		control.handleTrialEnded(typed, now)
	case limitStated:
		control.handleLimitStated(typed, now)
	case coldStated:
		control.handleColdStated(typed, now)
	case connectionReset:
		control.handleConnectionReset(typed, now)
	case blocksRead:
		control.handleBlocksRead(typed, now)
	case blocksListed:
		control.handleBlocksListed(typed, now)
	case evacuationsListed:
		control.handleEvacuationsListed(typed, now)
	case blockLifted:
		control.handleBlockLifted(typed, now)
	case blocksWritten:
		control.handleBlocksWritten(typed, now)
	case probeResult:
		control.handleProbeResult(typed, now)
	case commandResult:
		control.handleCommandResult(typed, now)
	case tableFetched:
		control.peers.fetching[typed.table] = false
	case nodeRowResult:
		_, done := typed.outcome.(rows.Committed)
		control.peers.rowWritten, control.peers.rowWriting, control.peers.rowEra = done, false, typed.era
	case copiesStale:
		control.refreshCopies(now)
	case copyRead:
		control.handleCopyRead(typed, now)
	case leaseResult:
		control.handleLeaseResult(typed, now)
	case drainRequest:
		control.handleDrain(typed, now)
	case withdrawRequest:
		control.withdrawNodeRow(typed)
	}
}

func (control *Control) handleTable(change tableChanged, now time.Time) {
	if change.from == fromStore {
		control.storeRepliedAt = now
		control.markAvailable(change.table, fromStore, now)
	}
	if change.table == tableEndpoints && !control.endpoints.accepts(change.batch) {
		return
	}
	control.copies.arrive(change.table, now)
	switch change.table {
	case tableConfig:
		control.handleEvacuationRows(change, now)
		control.handleConfig(change, now)
	case tableEndpoints:
		control.handleEndpoints(change, now)
	case tableNodes:
		control.handleNodes(change, now)
	case tableLease:
		control.handleLease(change, now)
	}
	control.copies.confirm(change.table, change.batch.ConfirmedAt)
}

// handleTableUnavailable records and logs the start of a table's outage.
func (control *Control) handleTableUnavailable(unavailable tableUnavailable, now time.Time) {
	control.copies.readFailed[unavailable.table].Store(true)
	if control.config.unavailableSince[unavailable.table].IsZero() {
		control.config.unavailableSince[unavailable.table] = now
		if unavailable.table == tableConfig {
			control.storeUnreachable.Store(true)
		}
		event.Log(control.log, event.StoreDown, zap.String("table", tableNames[unavailable.table]), zap.Error(unavailable.cause))
	}
}

// markAvailable ends the outage of a table, if there was one.
func (control *Control) markAvailable(table int, from source, now time.Time) {
	since := control.config.unavailableSince[table]
	if since.IsZero() {
		return
	}
	control.config.unavailableSince[table] = time.Time{}
	if table == tableConfig {
		control.storeUnreachable.Store(false)
	}
	event.Log(control.log, event.StoreBack, zap.String("table", tableNames[table]), zap.Duration("after", now.Sub(since)), zap.String("from", string(from)))
}

// tick runs the periodic work in a fixed order: placement comes after the steps
// whose results it plans from.
func (control *Control) tick(now time.Time) {
	control.checkSuspension(now)
	control.lateness.ticks.Tick(now)
	control.checkEndpointDeadlines(now)
	control.judgeLinks(now)
	control.judgeCrashes(now)
	control.exchangeDigests(now)
	control.shareLimits(now)
	control.refreshCold(now)
	control.endReductions(now)
	control.judgeEvacuations(now)
	control.refreshCopies(now)
	control.reportAges(now)
	control.updateDemand(now)
	control.runPlacement(now)
	ready := control.config.index != nil && control.endpoints.loaded && !control.draining && control.evacuationsKnown(now)
	if control.ready.Swap(ready) != ready {
		event.Log(control.log, event.ReadinessChanged, zap.Bool("ready", ready))
	}
}
