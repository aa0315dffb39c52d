package edge

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"hickorybend/core/fleet"
	"hickorybend/core/reach"
	"hickorybend/core/rows"
	"hickorybend/io/event"
	"hickorybend/io/gossip"
	"hickorybend/io/meter"
	"hickorybend/platform"
)

const (
	tickEvery   = 100 * time.Millisecond // between two walks through the phases
	mostWaiting = 1024                   // messages that wait for control
)

// Control owns what a node believes. One goroutine takes in messages and walks
// the parts in a fixed order; traffic reads the picture that it publishes.
type Control struct {
	settings  Settings
	store     *platform.Store
	engine    *platform.EngineClient
	log       *zap.Logger
	meter     *meter.Meter
	visited   func() bool
	asked     func() map[string]time.Duration
	lost      func(heads []string)
	messages  chan message
	picture   atomic.Pointer[reach.Snapshot]
	digest    atomic.Pointer[gossip.Digest]
	copies    [tableCount]atomic.Pointer[gossip.Table]
	ready     atomic.Bool
	holding   atomic.Bool // the placement lease is held
	leads     atomic.Bool // this node reads the platform for its zone
	informed  atomic.Bool // a leader tells this node of changes
	started   time.Time
	ctx       context.Context
	operators operators
	endpoints endpoints
	peers     *peers
	placement placement
	demand    demand
	serving   map[string]int // replicas of each model, as last logged
	storeAt   time.Time      // when the store last answered
	suspended func(steady time.Duration) (time.Duration, error)
	slept     time.Duration // how far the clock that counts suspensions was ahead at the last tick
	leaving   bool
	changed   bool // the picture has to be drawn anew
}

// NewControl makes the control of a node; visited tells whether a caller has
// come, and lost is called with the heads of replicas that cannot go on.
func NewControl(settings Settings, store *platform.Store, engineclient *platform.EngineClient, log *zap.Logger, meter *meter.Meter) *Control {
	control := &Control{
		settings: settings, store: store, engine: engineclient, log: log, meter: meter,
		visited: func() bool { return false }, asked: func() map[string]time.Duration { return nil }, lost: func([]string) {},
		messages: make(chan message, mostWaiting), serving: map[string]int{}, suspended: suspended,
	}
	control.endpoints = newEndpoints()
	control.peers = newPeers(settings)
	control.placement = newPlacement(settings)
	control.demand = demand{before: map[string]map[string]int64{}, lately: fleet.NewDemand()}
	control.leads.Store(true) // until other nodes are known
	control.picture.Store(&reach.Snapshot{Nodes: 1})
	control.digest.Store(&gossip.Digest{Node: settings.Node})
	return control
}

// Snapshot is what traffic reads.
func (control *Control) Snapshot() *atomic.Pointer[reach.Snapshot] { return &control.picture }

// Ready tells whether the node knows enough to serve.
func (control *Control) Ready() bool { return control.ready.Load() }

// Suspect asks whether an endpoint is alive; it never waits.
func (control *Control) Suspect(endpoint string) {
	select {
	case control.messages <- suspected{endpoint: endpoint}:
	default: // control is far behind; the next silence asks again
	}
}

func (control *Control) tell(message message) {
	select {
	case control.messages <- message:
	case <-control.ctx.Done():
	}
}

// Run follows the platform and decides until the context ends.
func (control *Control) Run(ctx context.Context) {
	for table := range tableCount {
		go control.follow(ctx, table)
	}
	go control.askSeeds(ctx)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-control.messages:
			control.learn(message)
			control.drain()
		case <-ticker.C:
			control.tick(time.Now())
		}
		if control.changed {
			control.changed = false
			control.publish(time.Now())
		}
	}
}

// drain takes in what else waits, so that one picture serves for all of it.
func (control *Control) drain() {
	for range mostWaiting {
		select {
		case message := <-control.messages:
			control.learn(message)
		default:
			return
		}
	}
}

func (control *Control) learn(message message) {
	now := time.Now()
	switch typed := message.(type) {
	case tableChanged:
		control.learnTable(typed, now)
	case tableSilent:
		control.learnSilence(typed, now)
	case heard:
		control.learnDigest(typed.digest, now)
	case unheard:
		control.peers.miss(typed.node, now)
	case suspected:
		control.probeReplica(typed.endpoint, now)
	case probed:
		control.learnProbe(typed, now)
	case ordered:
		control.learnOrder(typed, now)
	case fetched:
		control.peers.fetching[typed.table] = false
	case nodeWritten:
		_, done := typed.outcome.(rows.Committed)
		control.peers.written, control.peers.writing = done, false
	case claimed:
		control.learnClaim(typed, now)
	case leave:
		control.giveUp(typed, now)
	}
}

func (control *Control) learnTable(change tableChanged, now time.Time) {
	if change.from == fromStore {
		control.storeAt = now
		control.regained(change.table, now)
	}
	switch change.table {
	case tableConfig:
		control.learnConfig(change, now)
	case tableEndpoints:
		control.learnEndpoints(change, now)
	case tableNodes:
		control.learnNodes(change)
	case tableLease:
		control.learnLease(change, now)
	}
}

func (control *Control) learnSilence(silence tableSilent, now time.Time) {
	if control.operators.silentSince[silence.table].IsZero() {
		control.operators.silentSince[silence.table] = now
		event.Log(control.log, event.StoreDown, zap.String("table", tableNames[silence.table]), zap.Error(silence.cause))
	}
}

func (control *Control) regained(table int, now time.Time) {
	since := control.operators.silentSince[table]
	if since.IsZero() {
		return
	}
	control.operators.silentSince[table] = time.Time{}
	control.operators.backAt[table] = now
	event.Log(control.log, event.StoreBack, zap.String("table", tableNames[table]), zap.Duration("after", now.Sub(since)))
}

// tick walks the parts that act by themselves.
func (control *Control) tick(now time.Time) {
	control.wake(now)
	control.expire(now)
	control.gossipNow(now)
	control.learnDemand(now)
	control.place(now)
	ready := control.operators.index != nil && control.endpoints.known && !control.leaving
	if control.ready.Swap(ready) != ready {
		event.Log(control.log, event.ReadyChanged, zap.Bool("ready", ready))
	}
}
