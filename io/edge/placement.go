package edge

import (
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"hickorybend/core/fleet"
	"hickorybend/core/lease"
	"hickorybend/core/rows"
	"hickorybend/io/event"
)

const (
	leaseName   = "placement"
	takeJitter  = 200 * time.Millisecond // so that not all nodes take a free lease at once
	quietLimit  = 30 * time.Second       // after the start, loads are no longer taken for free
	censusEvery = time.Second            // between two log lines about the state
)

// leasePolicy hands a dead holder's lease on within two seconds.
func leasePolicy() lease.Policy {
	return lease.Policy{RenewEvery: 500 * time.Millisecond, Term: 1700 * time.Millisecond, Margin: 250 * time.Millisecond}
}

// placement is the lease and, while it is held, the planners of all services.
type placement struct {
	claim    *lease.Claim
	rowsRead bool
	claiming bool
	held     bool
	fence    int64
	row      rows.Row
	fenceRow rows.Row
	planners map[string]*fleet.Planner
	policy   fleet.Policy
	delay    time.Duration
	censusAt time.Time // when the state is logged next
}

func newPlacement(settings Settings) placement {
	policy := fleet.DefaultPolicy()
	policy.Stall = settings.Stall
	return placement{
		claim: lease.NewClaim(leasePolicy(), leaseName, settings.Node), policy: policy, delay: rand.N(takeJitter),
		row: rows.Row{Key: rows.Key{Part: lease.Part, Sort: leaseName}}, fenceRow: rows.Row{Key: lease.FenceKey(leaseName)},
		planners: map[string]*fleet.Planner{},
	}
}

// learnRow takes in a row of the lease; a feed may still bring one that this
// node has itself replaced.
func (placement *placement) learnRow(row rows.Row) {
	switch {
	case row.Key == placement.row.Key && row.Version >= placement.row.Version:
		placement.row = row
	case row.Key == placement.fenceRow.Key && row.Version >= placement.fenceRow.Version:
		placement.fenceRow = row
	}
}

// learnClaim takes in what became of a transaction on the lease.
func (placement *placement) learnClaim(claimed claimed, now time.Time) {
	placement.claiming = false
	placement.claim.Resolve(claimed.action, claimed.outcome, now)
	if _, done := claimed.outcome.(rows.Done); !done {
		return
	}
	for _, step := range txnOf(claimed.action).Steps {
		if put, ok := step.(rows.Put); ok {
			placement.learnRow(rows.Apply(put, txnOf(claimed.action).Write))
		}
	}
}

func txnOf(action lease.Action) rows.Txn {
	switch typed := action.(type) {
	case lease.Renew:
		return typed.Txn
	case lease.Take:
		return typed.Txn
	default:
		return rows.Txn{}
	}
}

// learnLease takes in the rows of the lease.
func (control *Control) learnLease(change tableChanged, now time.Time) {
	placement := &control.placement
	placement.rowsRead = placement.rowsRead || change.batch.Whole
	for _, entry := range change.batch.Entries {
		row, err := control.store.Row(tableNames[tableLease], entry)
		if err != nil {
			event.Log(control.log, event.RowUnreadable, zap.String("row", entry.Key), zap.Error(err))
			continue
		}
		placement.learnRow(row)
	}
	if err := placement.claim.Observe(placement.row, placement.fenceRow, now); err != nil {
		event.Log(control.log, event.RowUnreadable, zap.Error(err))
	}
}

// place holds the lease and, while it is held, plans.
func (control *Control) place(now time.Time) {
	placement := &control.placement
	control.claimNow(now)
	fence, held := placement.claim.Held(now)
	if held != placement.held {
		placement.held = held
		control.holding.Store(held)
		noted := event.LeaseLost
		if held {
			noted = event.LeaseTaken
		}
		event.Log(control.log, noted, zap.Int64("fence", fence))
	}
	if !held || control.leaving || control.operators.index == nil || !control.endpoints.known {
		return
	}
	placement.hold(fence)
	for i := range control.operators.index.Config.Services {
		if service := &control.operators.index.Config.Services[i]; service.Engine != nil {
			control.planService(service.Name, now)
		}
	}
}

// hold begins anew under another fencing number. Under the same one nobody else
// has placed anything meanwhile, and the planners go on: new ones would form
// replicas under epochs that were used.
func (placement *placement) hold(fence int64) {
	if fence == placement.fence {
		return
	}
	placement.fence = fence
	placement.planners = map[string]*fleet.Planner{}
}

func (control *Control) claimNow(now time.Time) {
	placement := &control.placement
	if placement.claiming || control.leaving || !placement.rowsRead || !control.follows(tableLease) {
		return
	}
	action := placement.claim.Next(now, placement.delay, uuid.NewString())
	txn := txnOf(action)
	if len(txn.Steps) == 0 {
		return
	}
	placement.claiming = true
	go func() {
		control.tell(claimed{action: action, outcome: control.store.Commit(control.ctx, txn)})
	}()
}

func (control *Control) planService(name string, now time.Time) {
	placement := &control.placement
	service, _ := control.operators.index.Service(name)
	planner := placement.planners[name]
	if planner == nil {
		planner = fleet.NewPlanner(placement.policy, name)
		placement.planners[name] = planner
	}
	input := fleet.Input{
		Now: now, Fence: placement.fence, Engine: service.Engine, Endpoints: control.endpoints.of(name),
		Dead: map[string]bool{}, InFlight: map[string]int{}, Quiet: control.quiet(now),
		Work: control.demand.lately.Lately(),
	}
	control.countOrders(input.Endpoints, input.Quiet, now)
	for id := range control.endpoints.lost {
		input.Dead[id] = true
	}
	for id, load := range control.endpoints.loads {
		input.InFlight[id] = load.InFlight()
	}
	for _, command := range planner.Plan(input) {
		control.send(name, command)
	}
	if now.After(placement.censusAt) {
		placement.censusAt = now.Add(censusEvery)
		census := planner.Census(input)
		event.Log(control.log, event.PlacementState, zap.String("service", name), zap.Int("endpoints", census.Endpoints), zap.Any("wanted", census.Wanted),
			zap.Any("serving", census.Serving), zap.Any("under-way", census.UnderWay), zap.Any("prepared", census.Prepared),
			zap.Int("staging", census.Staging), zap.Int("held", census.Held),
			zap.Int("waiting", census.Waiting), zap.Int("uncounted", census.Uncounted))
	}
}

// countOrders finds out how many orders each endpoint has accepted, where it is
// not known: an order is carried out only on the right count.
func (control *Control) countOrders(listed []fleet.Endpoint, quiet bool, now time.Time) {
	for i, endpoint := range listed {
		switch {
		case endpoint.Counted:
		case quiet && endpoint.Membership.Replica == "":
			listed[i].Counted = true // just started, and nobody has ordered anything
			control.endpoints.byID[endpoint.ID] = listed[i]
		default:
			control.probe(endpoint.ID, now)
		}
	}
}

// quiet tells whether the whole system has just started and no caller has come.
func (control *Control) quiet(now time.Time) bool {
	return control.settings.FirstStart && now.Before(control.started.Add(quietLimit)) && !control.visited() && !control.anyVisited()
}

// send carries out a command if the lease still holds at the last moment.
func (control *Control) send(service string, command fleet.Command) {
	go func() {
		reply := control.engine.Order(control.ctx, command)
		control.tell(ordered{service: service, command: command, reply: reply})
	}()
}

func (control *Control) learnOrder(done ordered, now time.Time) {
	event.Log(control.log, event.OrderSent, zap.String("endpoint", done.command.Endpoint), zap.String("order", describe(done.command.Order)),
		zap.Int64("orders", done.command.Orders), zap.String("reply", describeReply(done.reply)))
	if planner := control.placement.planners[done.service]; planner != nil {
		planner.Resolve(now, done.command, done.reply)
	}
	endpoint, found := control.endpoints.byID[done.command.Endpoint]
	if !found {
		return
	}
	_, left := done.command.Order.(fleet.Leave)
	_, held := done.reply.(fleet.Held)
	_, begun := done.reply.(fleet.Begun)
	if (begun || held && left) && endpoint.Orders == done.command.Orders {
		endpoint.Orders++ // a leave is done at once, and counts
		control.endpoints.byID[endpoint.ID] = endpoint
	}
	switch done.reply.(type) {
	case fleet.Unfit, fleet.Unheard:
		endpoint.Counted = false // the count may be wrong either way; its next report tells
		control.endpoints.byID[endpoint.ID] = endpoint
		control.probe(endpoint.ID, now)
	}
}

// giveUp hands the lease to whoever is next.
func (control *Control) giveUp(leave leave, now time.Time) {
	control.leaving = true
	txn, held := control.placement.claim.Release(now, uuid.NewString())
	if !held {
		close(leave.done)
		return
	}
	go func() {
		defer close(leave.done)
		outcome := control.store.Commit(control.ctx, txn)
		event.Log(control.log, event.LeaseReleased, zap.String("outcome", describeOutcome(outcome)))
	}()
}
