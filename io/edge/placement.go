package edge

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"hickorybend/core/fleet"
	"hickorybend/core/lease"
	"hickorybend/core/rows"
	"hickorybend/io/event"
	"hickorybend/io/gossip"
)

const (
	leaseName   = "placement"
	claimPause  = 600 * time.Millisecond // after a claim that the store did not answer
	goOnAge     = time.Second            // without an answer of the store, after which it counts as away
	takeJitter  = 200 * time.Millisecond // so that not all nodes take a free lease at once
	quietLimit  = 30 * time.Second       // after the start, loads are no longer taken for free
	censusEvery = time.Second            // between two log lines about the state
)

// leasePolicy hands a dead holder's lease on within two seconds.
func leasePolicy() lease.Policy {
	return lease.Policy{RenewEvery: 500 * time.Millisecond, TTL: 1700 * time.Millisecond, Margin: 250 * time.Millisecond}
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
	turn     int64              // plans so far under this fencing number
	told     fleet.HolderReport // by the latest holder, this node perhaps
	toldTurn int64
	planners map[string]*fleet.Planner
	policy   fleet.Policy
	delay    time.Duration
	claimAt  time.Time // not before this, the next claim
	mayGoOn  bool      // it held the lease, and knows of no later holder
	censusAt time.Time // when the state is logged next
}

func newPlacement(settings Settings) placement {
	policy := fleet.DefaultPolicy()
	policy.StallTimeout = settings.StallTimeout
	return placement{
		claim: lease.NewClaim(leasePolicy(), leaseName, settings.Node), policy: policy, delay: rand.N(takeJitter),
		row: rows.Row{Key: rows.Key{Partition: lease.Partition, Sort: leaseName}}, fenceRow: rows.Row{Key: lease.FenceKey(leaseName)},
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
func (control *Control) learnClaim(claimed claimed, now time.Time) {
	placement := &control.placement
	placement.claiming = false
	placement.claim.Resolve(claimed.action, claimed.outcome, now)
	if _, unknown := claimed.outcome.(rows.Unknown); unknown {
		placement.claimAt = now.Add(claimPause/2 + rand.N(claimPause/2))
		return
	}
	control.storeAt = now
	if _, done := claimed.outcome.(rows.Committed); !done {
		return
	}
	for _, op := range txnOf(claimed.action).Ops {
		if put, ok := op.(rows.Put); ok {
			placement.learnRow(rows.Apply(put, txnOf(claimed.action).WriteID))
		}
	}
}

// learnTold takes in what another node says of who places.
func (placement *placement) learnTold(digest gossip.Digest, now time.Time) {
	if !digest.NewerThan(placement.told.Fence, placement.toldTurn) {
		return
	}
	placement.told = fleet.HolderReport{Fence: digest.Fence, ReceivedAt: now, Quarantined: map[string]bool{}}
	placement.toldTurn = digest.PlanCount
	for _, id := range digest.Quarantined {
		placement.told.Quarantined[id] = true
	}
}

// freed lists the endpoints of all services whose last first host may still
// serve.
func (placement *placement) freed(now time.Time) []string {
	var held []string
	for _, planner := range placement.planners {
		held = append(held, planner.Quarantined(now)...)
	}
	return held
}

func txnOf(action lease.Action) rows.Txn {
	switch typed := action.(type) {
	case lease.Renew:
		return typed.Txn
	case lease.Acquire:
		return typed.Txn
	default:
		return rows.Txn{}
	}
}

// learnLease takes in the rows of the lease.
func (control *Control) learnLease(change tableChanged, now time.Time) {
	placement := &control.placement
	placement.rowsRead = placement.rowsRead || change.batch.Full
	for _, entry := range change.batch.Entries {
		row, err := control.store.DecodeRow(tableNames[tableLease], entry)
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
	placement.mayGoOn = placement.mayGoOn || held
	held = held && !control.leaving
	if !held && control.goesOn(now) {
		fence, held = placement.fence, true
	}
	if held != placement.held {
		placement.held = held
		control.holding.Store(held)
		noted := event.LeaseLost
		if held {
			noted = event.LeaseAcquired
		}
		event.Log(control.log, noted, zap.Int64("fence", fence))
	}
	if !held || control.operators.index == nil || !control.endpoints.known {
		return
	}
	placement.hold(fence)
	placement.turn++
	for i := range control.operators.index.Config.Services {
		if service := &control.operators.index.Config.Services[i]; service.Engine != nil {
			control.planService(service.Name, now)
		}
	}
}

// goesOn tells whether this node places on though its lease has run out: the
// store answers none of the nodes that it hears, and those are most. Nobody can
// take the lease then; were one of the others cut off and the store within its
// reach, the two would place beside one another for a while, which the orders'
// epochs and conditions allow. It ends with the first word of a later holder. A
// node that leaves goes on too: it cannot hand the lease over.
func (control *Control) goesOn(now time.Time) bool {
	placement := &control.placement
	if !control.settings.PlaceWithoutStore || !placement.mayGoOn || now.Sub(control.storeAt) < goOnAge {
		return false
	}
	if placement.told.Fence > placement.fence {
		placement.mayGoOn = false
		return false
	}
	return control.peers.noneServed(now)
}

// noneServed tells whether most of the nodes that this one exchanges with are
// heard, and the store answers none of them.
func (peers *peers) noneServed(now time.Time) bool {
	leaders, heard := 0, 0
	for name, found := range peers.nodes {
		if !peers.part.Mesh && !slices.Contains(peers.part.Leaders, name) {
			continue
		}
		leaders++
		if !found.fresh(now) {
			continue
		}
		heard++
		if time.Duration(found.digest.StoreReplyAge) < goOnAge {
			return false
		}
	}
	return 2*heard >= leaders
}

// hold begins anew under another fencing number. Under the same one, or the one
// after it, nobody else has placed anything meanwhile, and the planners go on:
// they know what new ones would have to wait for.
func (placement *placement) hold(fence int64) {
	if fence == placement.fence {
		return
	}
	next := fence == placement.fence+1
	placement.fence, placement.turn = fence, 0
	if next {
		return
	}
	placement.planners = map[string]*fleet.Planner{}
}

func (control *Control) claimNow(now time.Time) {
	placement := &control.placement
	if placement.claiming || control.leaving || !placement.rowsRead || !control.follows(tableLease) || now.Before(placement.claimAt) {
		return
	}
	if !placement.held && now.Before(placement.told.ReceivedAt.Add(digestTerm)) {
		return // another node places, with the lease or, while the store is away, without
	}
	action := placement.claim.Next(now, placement.delay, uuid.NewString())
	txn := txnOf(action)
	if len(txn.Ops) == 0 {
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
		Unresponsive: map[string]bool{}, InFlight: map[string]int{}, NoRequestsYet: control.quiet(now),
		Demand: control.demand.lately.Recent(), HolderReport: placement.told,
	}
	control.countOrders(input.Endpoints, input.NoRequestsYet, now)
	for id := range control.endpoints.lost {
		input.Unresponsive[id] = true
	}
	for id, load := range control.endpoints.loads {
		input.InFlight[id] = load.InFlight()
	}
	for _, command := range planner.Plan(input) {
		control.send(name, command)
	}
	if now.Sub(control.storeAt) >= goOnAge {
		for _, id := range planner.InTransition() {
			control.probe(id, now) // no row tells how they get on
		}
	}
	if now.After(placement.censusAt) {
		placement.censusAt = now.Add(censusEvery)
		stats := planner.Stats(input)
		event.Log(control.log, event.PlacementState, zap.String("service", name), zap.Int("endpoints", stats.Endpoints), zap.Any("wanted", stats.Wanted),
			zap.Any("serving", stats.Serving), zap.Any("under-way", stats.InTransition), zap.Any("prepared", stats.Prepared),
			zap.Int("staging", stats.Staging), zap.Int("held", stats.Stalled),
			zap.Int("waiting", stats.Unconfirmed), zap.Int("uncounted", stats.CommandCountUnknown))
	}
}

// countOrders finds out how many orders each endpoint has accepted, where it is
// not known: an order is carried out only on the right count.
func (control *Control) countOrders(listed []fleet.Endpoint, quiet bool, now time.Time) {
	for i, endpoint := range listed {
		switch {
		case endpoint.CommandCountKnown:
		case quiet && endpoint.Membership.Replica == "":
			listed[i].CommandCountKnown = true // just started, and nobody has ordered anything
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
		reply := control.engine.SendCommand(control.ctx, command)
		control.tell(ordered{service: service, command: command, reply: reply})
	}()
}

func (control *Control) learnOrder(done ordered, now time.Time) {
	event.Log(control.log, event.CommandAnswered, zap.String("endpoint", done.command.Endpoint), zap.String("order", describe(done.command.Operation)),
		zap.Int64("orders", done.command.ExpectedCommandCount), zap.String("reply", describeReply(done.reply)))
	if planner := control.placement.planners[done.service]; planner != nil {
		planner.Resolve(now, done.command, done.reply)
	}
	endpoint, found := control.endpoints.byID[done.command.Endpoint]
	if !found {
		return
	}
	_, left := done.command.Operation.(fleet.Leave)
	_, held := done.reply.(fleet.AlreadyApplied)
	_, begun := done.reply.(fleet.Accepted)
	if (begun || held && left) && endpoint.CommandCount == done.command.ExpectedCommandCount {
		endpoint.CommandCount++ // a leave is done at once, and counts
		if left {
			endpoint.Membership = fleet.Membership{}
			endpoint.FreeSince = now
			control.endpoints.changedAt[endpoint.ID] = now // a report may be older
		}
		control.endpoints.byID[endpoint.ID] = endpoint
	}
	switch done.reply.(type) {
	case fleet.Rejected, fleet.Unknown:
		endpoint.CommandCountKnown = false // the count may be wrong either way; its next report tells
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
