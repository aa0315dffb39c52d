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

// tickEvery is how often control looks at its deadlines.
const tickEvery = 50 * time.Millisecond

// Dependencies is everything that control reaches beyond its own process.
type Dependencies struct {
	Store   rows.Store
	Hosts   *hosts.Client
	Engines *engine.Client
	Peers   *peers.Client
}

// Control owns the control state. Only its goroutine touches the fields below
// inbox; others send it messages and read what it publishes.
type Control struct {
	settings conf.Settings
	outside  Dependencies
	log      *zap.Logger
	meter    *meter.Meter
	start    time.Time
	views    atomic.Pointer[view.View]
	reports  atomic.Pointer[admin.Report]
	mind     atomic.Pointer[knowledge]
	inbox    chan message
	effects  sync.WaitGroup
	ctx      context.Context

	self       roster.Node
	roster     *roster.Roster
	beating    bool
	beatAt     time.Time
	held       *config.Cache
	text       *intent.Spec
	witnesses  []config.PeerStatus
	serving    bool
	storeDown  bool
	listDown   bool
	polls      map[string]*poll
	listed     map[string]hosts.Host
	idleSince  map[string]time.Time
	board      *watch.Tracker
	probes     map[string]*probe
	replicas   map[string]map[string]group.Replica
	hostRows   map[string]group.Host
	drains     map[string]admin.DrainRecord
	claims     map[string]*claim
	demands    map[string]*place.Demand
	orders     map[string]time.Time
	lastSeen   map[string]time.Time
	quietSince map[string]time.Time
	cells      map[string]*route.ReplicaState
	samples    map[string]*route.InFlightHistory
	sections   []rows.Row
	publishAt  time.Time
	reportAt   time.Time
	ejections  map[string][]route.Ejection
	voiding    bool
	encoded    []rows.Row
	gone       bool
}

// poll is the state of one repeated read.
type poll struct {
	running bool
	dueAt   time.Time
	read    bool
	from    time.Time
}

// claim is a lease that this node may hold, and the work under it.
type claim struct {
	lease    *lease.Claim
	busy     bool
	held     bool
	heldAt   time.Time
	moving   bool
	recalled bool
	keepAt   time.Time
	decideAt time.Time
	stale    bool
	staleAt  time.Time
}

// NewControl makes the control of a node; it does nothing before Run.
func NewControl(settings conf.Settings, self roster.Node, dependencies Dependencies, log *zap.Logger, meter *meter.Meter) *Control {
	control := &Control{
		settings: settings, outside: dependencies, log: log, meter: meter, start: time.Now(),
		inbox: make(chan message, inboxSize), self: self,
		roster:    roster.NewRoster(roster.Policy{HeartbeatTimeout: settings.Config.NodeTerm}),
		held:      config.NewCache(settings.Config.ConfirmTerm),
		polls:     map[string]*poll{},
		listed:    map[string]hosts.Host{},
		idleSince: map[string]time.Time{},
		board:     watch.NewTracker(settings.Watch),
		probes:    map[string]*probe{},
		replicas:  map[string]map[string]group.Replica{},
		hostRows:  map[string]group.Host{},
		drains:    map[string]admin.DrainRecord{},
		claims:    map[string]*claim{},
		demands:   map[string]*place.Demand{},
		orders:    map[string]time.Time{},
		lastSeen:  map[string]time.Time{}, quietSince: map[string]time.Time{},
		cells:     map[string]*route.ReplicaState{},
		samples:   map[string]*route.InFlightHistory{},
		ejections: map[string][]route.Ejection{},
	}
	control.views.Store(&view.View{})
	control.reports.Store(&admin.Report{Node: self.Name, Zone: self.Zone})
	control.mind.Store(&knowledge{zone: self.Zone})
	return control
}

const inboxSize = 4096

// Views gives what traffic reads.
func (control *Control) Views() *atomic.Pointer[view.View] { return &control.views }

// Report gives the newest picture of the control state, for operators.
func (control *Control) Report() *admin.Report { return control.reports.Load() }

// Run owns the control state until the context ends.
func (control *Control) Run(ctx context.Context) {
	control.ctx = ctx
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	control.tick(time.Now())
	for {
		select {
		case message := <-control.inbox:
			control.take(message, time.Now())
			control.drainInbox()
		case <-ticker.C:
			control.tick(time.Now())
		case <-ctx.Done():
			control.effects.Wait()
			return
		}
	}
}

// drainInbox takes in what has already come, so that one look at the deadlines
// serves for all of it.
func (control *Control) drainInbox() {
	for range inboxSize {
		select {
		case message := <-control.inbox:
			control.take(message, time.Now())
		default:
			return
		}
	}
}

// effect runs work beside the control goroutine; its message comes back by the inbox.
func (control *Control) effect(work func(ctx context.Context) message) {
	control.effects.Add(1)
	go func() {
		defer control.effects.Done()
		result := work(control.ctx)
		select {
		case control.inbox <- result:
		case <-control.ctx.Done():
		}
	}()
}

// tell sends a message to control from another goroutine.
func (control *Control) tell(message message) {
	select {
	case control.inbox <- message:
	case <-time.After(time.Second):
	}
}

func (control *Control) take(message message, now time.Time) {
	switch typed := message.(type) {
	case headRead:
		control.takeHead(typed, now)
	case partRead:
		control.takePart(typed, now)
	case minds:
		control.takeMinds(typed)
	case hostsRead:
		control.takeHosts(typed, now)
	case probed:
		control.takeProbe(typed, now)
	case leased:
		control.takeLease(typed, now)
	case beaten:
		control.takeBeat(typed)
	case moved:
		control.takeMove(typed, now)
	case ordered:
		control.takeOrder(typed, now)
	case demandRead:
		control.takeDemand(typed, now)
	case voided:
		control.voiding = false
	case warned:
		control.takeWarning(typed, now)
	case pushed:
		control.takePushed(typed, now)
	case leaving:
		control.leave(typed, now)
	}
}

// tick goes through the phases of control in a fixed order: read, watch, hold
// leases, place, order, publish.
func (control *Control) tick(now time.Time) {
	control.pollAll(now)
	control.voidLongDoubt(now)
	control.beat(now)
	control.probeAll(now)
	control.holdLeases(now)
	control.rememberAll(now)
	control.placeAll(now)
	control.orderAll(now)
	control.publish(now)
}

func (control *Control) event(kind event.Event, fields ...zap.Field) {
	event.Log(control.log, kind, fields...)
}
