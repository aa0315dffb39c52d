package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"hickorybend/core/config"
	"hickorybend/core/group"
	"hickorybend/core/intent"
	"hickorybend/core/lease"
	"hickorybend/core/place"
	"hickorybend/core/roster"
	"hickorybend/core/route"
	"hickorybend/core/rows"
	"hickorybend/core/view"
	"hickorybend/core/watch"
	"hickorybend/io/admin"
	"hickorybend/io/conf"
	"hickorybend/io/engine"
	"hickorybend/io/event"
	"hickorybend/io/hosts"
	"hickorybend/io/meter"
	"hickorybend/io/peers"
)

// tickInterval is how often control checks its deadlines.
const tickInterval = 50 * time.Millisecond

// Dependencies are the clients through which control calls other systems and nodes.
type Dependencies struct {
	Store   rows.Store
	Hosts   *hosts.Client
	Engines *engine.Client
	Peers   *peers.Client
}

// Control owns the control state. Only its goroutine changes the fields below ctx.
// Other goroutines send it messages and read what it publishes in views, reports
// and snapshot.
type Control struct {
	settings     conf.Settings
	dependencies Dependencies
	log          *zap.Logger
	meter        *meter.Meter
	startedAt    time.Time
	views        atomic.Pointer[view.View]    // for request handling
	reports      atomic.Pointer[admin.Report] // for operators
	snapshot     atomic.Pointer[snapshot]     // for other nodes, and for the goroutines that call them
	messages     chan message
	background   sync.WaitGroup // goroutines started by runInBackground
	ctx          context.Context

	self              roster.Node
	roster            *roster.Roster
	heartbeatRunning  bool      // a write of this node's row is running
	heartbeatAt       time.Time // when the next heartbeat is due
	configCache       *config.Cache
	spec              *intent.Spec        // the configuration in force, nil until sections were received
	peerStatuses      []config.PeerStatus // replies to the last read of peer statuses
	serving           bool                // the configuration may be used for new requests; see config.Cache.MayServe
	storeDown         bool
	hostListDown      bool
	polls             map[string]*poll      // by partition, or by the name of another read
	listedHosts       map[string]hosts.Host // the platform's host list, by host
	idleSince         map[string]time.Time  // by host; since when it has been in no replica
	tracker           *watch.Tracker
	probes            map[string]*probe                   // by host
	replicas          map[string]map[string]group.Replica // by service and replica
	hostRows          map[string]group.Host               // by host; read only while a lease is held
	drains            map[string]admin.DrainRecord        // by KIND/NAME; the drains that operators requested
	claims            map[string]*claim                   // by lease
	demands           map[string]*place.Demand            // by service
	nextCommandAt     map[string]time.Time                // by host; earliest time of the next command
	lastSeen          map[string]time.Time                // by host; when it last answered a probe
	drainIdleSince    map[string]time.Time                // by replica; since when it has reported no requests while draining
	replicaStates     map[string]*route.ReplicaState      // by replicaStateKey
	inFlightHistories map[string]*route.InFlightHistory   // by replicaStateKey
	sections          []rows.Row                          // all sections of the configuration, for other nodes
	publishAt         time.Time                           // when the next view is due
	reportAt          time.Time                           // when the next report is due
	ejections         map[string][]route.Ejection         // by service
	noopRunning       bool                                // a no-op change is being committed; see resolveInDoubt
	encodedReplicas   []rows.Row                          // what replicaRows returns, nil after a change
	rowRemoved        bool                                // this node's row is deleted, or is about to be
}

// poll is the state of one periodic read.
type poll struct {
	running   bool
	dueAt     time.Time
	loaded    bool      // a read has succeeded
	startedAt time.Time // when the last successful read began
}

// claim is this node's claim of a service's placement lease, with the state of
// the work that it does while it holds the lease.
type claim struct {
	lease         *lease.Claim
	writing       bool      // a transaction on the lease is running
	held          bool      // the lease was held at the last tick
	heldAt        time.Time // when it was acquired
	actionRunning bool      // a placement action is running
	demandLoaded  bool      // the stored demand was read under this lease
	saveDemandAt  time.Time // when the demand is next read and saved
	decideAt      time.Time // when the next placement decision is due
	stale         bool      // the host rows were not read since the last action
	staleAt       time.Time // rows whose read began before this are out of date
}

// NewControl returns a node's control. Nothing happens before Run.
func NewControl(settings conf.Settings, self roster.Node, dependencies Dependencies, log *zap.Logger, meter *meter.Meter) *Control {
	control := &Control{
		settings: settings, dependencies: dependencies, log: log, meter: meter, startedAt: time.Now(),
		messages: make(chan message, maxQueuedMessages), self: self,
		roster:        roster.NewRoster(roster.Policy{HeartbeatTimeout: settings.Config.HeartbeatTimeout}),
		configCache:   config.NewCache(settings.Config.ConfirmationTTL),
		polls:         map[string]*poll{},
		listedHosts:   map[string]hosts.Host{},
		idleSince:     map[string]time.Time{},
		tracker:       watch.NewTracker(settings.Watch),
		probes:        map[string]*probe{},
		replicas:      map[string]map[string]group.Replica{},
		hostRows:      map[string]group.Host{},
		drains:        map[string]admin.DrainRecord{},
		claims:        map[string]*claim{},
		demands:       map[string]*place.Demand{},
		nextCommandAt: map[string]time.Time{},
		lastSeen:      map[string]time.Time{}, drainIdleSince: map[string]time.Time{},
		replicaStates:     map[string]*route.ReplicaState{},
		inFlightHistories: map[string]*route.InFlightHistory{},
		ejections:         map[string][]route.Ejection{},
	}
	control.views.Store(&view.View{})
	control.reports.Store(&admin.Report{Node: self.Name, Zone: self.Zone})
	control.snapshot.Store(&snapshot{zone: self.Zone})
	return control
}

const maxQueuedMessages = 4096

// Views returns the pointer to the latest view, from which requests are handled.
func (control *Control) Views() *atomic.Pointer[view.View] { return &control.views }

// Report returns the latest report of the control state, for operators.
func (control *Control) Report() *admin.Report { return control.reports.Load() }

// Run owns the control state until the context ends.
func (control *Control) Run(ctx context.Context) {
	control.ctx = ctx
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	control.tick(time.Now())
	for {
		select {
		case message := <-control.messages:
			control.handle(message, time.Now())
			control.handleQueued()
		case <-ticker.C:
			control.tick(time.Now())
		case <-ctx.Done():
			control.background.Wait()
			return
		}
	}
}

// handleQueued handles the messages that are already queued, so that one tick
// covers them all.
func (control *Control) handleQueued() {
	for range maxQueuedMessages {
		select {
		case message := <-control.messages:
			control.handle(message, time.Now())
		default:
			return
		}
	}
}

// runInBackground runs work in a goroutine and queues the message that it returns.
func (control *Control) runInBackground(work func(ctx context.Context) message) {
	control.background.Add(1)
	go func() {
		defer control.background.Done()
		result := work(control.ctx)
		select {
		case control.messages <- result:
		case <-control.ctx.Done():
		}
	}()
}

// enqueue queues a message from another goroutine. The message is dropped if the
// queue stays full for a second.
func (control *Control) enqueue(message message) {
	select {
	case control.messages <- message:
	case <-time.After(time.Second):
	}
}

// handle calls the handler of a message.
func (control *Control) handle(message message, now time.Time) {
	switch typed := message.(type) {
	case headResult:
		control.handleHead(typed, now)
	case partitionResult:
		control.handlePartition(typed, now)
	case peerStatusResult:
		control.handlePeerStatuses(typed)
	case hostListResult:
		control.handleHostList(typed, now)
	case probeResult:
		control.handleProbe(typed, now)
	case leaseResult:
		control.handleLease(typed, now)
	case heartbeatResult:
		control.handleHeartbeat(typed)
	case actionResult:
		control.handleAction(typed, now)
	case commandResult:
		control.handleCommand(typed, now)
	case demandResult:
		control.handleDemand(typed, now)
	case noopResult:
		control.noopRunning = false
	case noticeReceived:
		control.handleNotice(typed, now)
	case rowsReceived:
		control.handleRows(typed, now)
	case drainRequest:
		control.handleDrainRequest(typed, now)
	}
}

// tick runs the periodic work in a fixed order: store reads, probes, leases,
// placement, commands, publishing.
func (control *Control) tick(now time.Time) {
	control.pollAll(now)
	control.resolveInDoubt(now)
	control.sendHeartbeat(now)
	control.probeAll(now)
	control.maintainLeases(now)
	control.syncDemands(now)
	control.runPlacement(now)
	control.sendCommands(now)
	control.publish(now)
}

func (control *Control) event(kind event.Event, fields ...zap.Field) {
	event.Log(control.log, kind, fields...)
}
