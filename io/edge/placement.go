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
	leaseName        = "placement"
	claimRetryDelay  = 600 * time.Millisecond // after a lease transaction that the store did not answer
	maxStoreReplyAge = time.Second            // age of the store's last reply from which on placement assumes a store outage
	acquireJitter    = 200 * time.Millisecond // spreads the nodes, so that they do not all acquire a free lease at once
	initialWindow    = 30 * time.Second       // after the first start, in which weight loading is not rate-limited until a request arrives
	statsLogInterval = time.Second            // between two log lines of placement statistics

	maxPendingCountProbes = 24                     // pending probes from which on no command count is asked for
	weakHostDelay         = 600 * time.Millisecond // how much later than a host with a whole core one with nearly none acquires a free lease
	uninformedDelay       = 500 * time.Millisecond // how much later than others a node acquires a free lease that has no report of its last holder, since it would wait for free endpoints that others may use at once
	maxLateness           = 2 * time.Second        // for this long a holder may be late again and again before it releases the lease
	lateHolderPause       = 10 * time.Second       // after that, before it acquires the lease again
)

// leasePolicy returns lease times with which another node acquires the lease
// within two seconds after its holder has failed.
func leasePolicy() lease.Policy {
	return lease.Policy{RenewEvery: 500 * time.Millisecond, TTL: 1700 * time.Millisecond, Margin: 250 * time.Millisecond}
}

// placement is the state of the lease and, on the node that holds it, the
// planners of all services.
type placement struct {
	claim           *lease.Claim
	rowsRead        bool               // the lease's table has been read in full
	claimPending    bool               // a transaction on the lease awaits its outcome
	active          bool               // this node places: it holds the lease, or continues without it in a store outage
	fence           int64              // fencing number of the latest lease under which this node planned
	isFirstHolder   bool               // no other node has placed before this one, as far as it has heard
	row             rows.Row           // of the lease, as last read or written
	fencingRow      rows.Row           // of its fencing number, as last read or written
	planCount       int64              // planning passes under this fencing number
	holderReport    fleet.HolderReport // the latest received; its holder may be this node, since the sums of leaders include it
	reportPlanCount int64              // plan count in that report
	planners        map[string]*fleet.Planner
	policy          fleet.Policy
	acquireDelay    time.Duration
	nextClaimAt     time.Time // earliest time of the next transaction on the lease
	isLatestHolder  bool      // this node held the lease, and no later holder has been reported; false again after a suspension
	nextStatsLogAt  time.Time // of all services
}

func newPlacement(settings Settings) placement {
	policy := fleet.DefaultPolicy()
	policy.StallTimeout = settings.StallTimeout
	return placement{
		claim: lease.NewClaim(leasePolicy(), leaseName, settings.Node), policy: policy, acquireDelay: rand.N(acquireJitter),
		row: rows.Row{Key: rows.Key{Partition: lease.Partition, Sort: leaseName}}, fencingRow: rows.Row{Key: lease.FencingRowKey(leaseName)},
		planners: map[string]*fleet.Planner{},
	}
}

// weaknessDelay returns how much later than others a host acquires a free lease, by the
// capacity of its processor: planning takes more of it than anything else does.
func weaknessDelay(processor float64) time.Duration {
	if processor <= 0 {
		return 0
	}
	return time.Duration((1 - min(1, processor)) * float64(weakHostDelay))
}

// updateRow applies a row of the lease's table unless it is older than the known
// one: a poll may still deliver a row that this node has already replaced.
func (placement *placement) updateRow(row rows.Row) {
	switch {
	case row.Key == placement.row.Key && row.Version >= placement.row.Version:
		placement.row = row
	case row.Key == placement.fencingRow.Key && row.Version >= placement.fencingRow.Version:
		placement.fencingRow = row
	}
}

// handleLeaseResult applies the outcome of a transaction on the lease.
func (control *Control) handleLeaseResult(result leaseResult, now time.Time) {
	placement := &control.placement
	placement.claimPending = false
	placement.claim.Resolve(result.action, result.outcome, now)
	if _, unknown := result.outcome.(rows.Unknown); unknown {
		placement.nextClaimAt = now.Add(claimRetryDelay/2 + rand.N(claimRetryDelay/2))
		return
	}
	control.storeRepliedAt = now
	if _, committed := result.outcome.(rows.Committed); !committed {
		return
	}
	for _, op := range txnOf(result.action).Ops {
		if put, ok := op.(rows.Put); ok {
			placement.updateRow(rows.Apply(put, txnOf(result.action).WriteID))
		}
	}
}

// updateHolderReport takes the report on the lease's holder from another node's
// digest, if it is newer than the known one.
func (placement *placement) updateHolderReport(digest gossip.Digest, now time.Time) {
	if !digest.NewerThan(placement.holderReport.Fence, placement.reportPlanCount) {
		return
	}
	placement.holderReport = fleet.HolderReport{Fence: digest.Fence, ReceivedAt: now, Cleared: map[string]fleet.Clearance{}}
	placement.reportPlanCount = digest.PlanCount
	for _, cleared := range digest.Cleared {
		placement.holderReport.Cleared[cleared.Endpoint] = fleet.Clearance{StartedAt: time.UnixMilli(cleared.StartedAt), CommandCount: cleared.CommandCount}
	}
}

// cleared lists the endpoints of all services that a later holder may have join a replica at once.
func (placement *placement) cleared() []gossip.Cleared {
	var listed []gossip.Cleared
	for _, planner := range placement.planners {
		for id, clearance := range planner.Cleared() {
			listed = append(listed, gossip.Cleared{Endpoint: id, StartedAt: clearance.StartedAt.UnixMilli(), CommandCount: clearance.CommandCount})
		}
	}
	return listed
}

// quarantined returns the endpoints of all services that may not join another
// replica yet, because the first host of their previous one may still serve.
func (placement *placement) quarantined(now time.Time) []string {
	var ids []string
	for _, planner := range placement.planners {
		ids = append(ids, planner.Quarantined(now)...)
	}
	return ids
}

// txnOf returns the transaction of an action; it is empty if there is none.
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

// handleLease applies rows of the lease's table.
func (control *Control) handleLease(change tableChanged, now time.Time) {
	placement := &control.placement
	if change.batch.Full {
		placement.rowsRead = true
		for _, key := range []rows.Key{placement.row.Key, placement.fencingRow.Key} {
			if !change.batch.Lists(key.Sort) {
				placement.updateRow(control.store.Absent(key, change.batch))
			}
		}
	}
	for _, entry := range change.batch.Entries {
		row, err := control.store.DecodeRow(tableNames[tableLease], entry)
		if err != nil {
			event.Log(control.log, event.RowUnreadable, zap.String("row", entry.Key), zap.Error(err))
			continue
		}
		placement.updateRow(row)
	}
	if err := placement.claim.Observe(placement.row, placement.fencingRow, now); err != nil {
		event.Log(control.log, event.RowUnreadable, zap.Error(err))
	}
}

// runPlacement claims or renews the lease, and runs a planning pass over all
// services if this node places.
func (control *Control) runPlacement(now time.Time) {
	placement := &control.placement
	control.releaseIfUnfit(now)
	control.claimLease(now)
	fence, active := placement.claim.Held(now)
	placement.isLatestHolder = placement.isLatestHolder || active
	active = active && !control.draining
	if !active && control.mayPlaceWithoutLease(now) {
		fence, active = placement.fence, true
	}
	if active != placement.active {
		placement.active = active
		control.placing.Store(active)
		transition := event.LeaseLost
		if active {
			transition = event.LeaseAcquired
		}
		event.Log(control.log, transition, zap.Int64("fence", fence))
	}
	if !active || control.config.index == nil || !control.endpoints.loaded || control.cutoff.Suspect() {
		return
	}
	control.planUnder(fence)
	placement.planCount++
	for i := range control.config.index.Config.Services {
		if service := &control.config.index.Config.Services[i]; service.Engine != nil {
			control.planService(service.Name, now)
		}
	}
	if now.After(placement.nextStatsLogAt) {
		placement.nextStatsLogAt = now.Add(statsLogInterval)
	}
}

// mayPlaceWithoutLease reports whether this node continues placing although its
// lease has expired: a majority of the nodes is reachable, and the store answers
// none of them, so none can acquire the lease. If a node that is cut off from
// this one reaches the store, both place for a while. That is safe because
// commands carry epochs and expected command counts. Placing without the lease
// ends with the first report of a later holder. A draining node continues too,
// since it cannot hand the lease over.
func (control *Control) mayPlaceWithoutLease(now time.Time) bool {
	placement := &control.placement
	if !control.settings.PlaceWithoutStore || !placement.isLatestHolder || now.Sub(control.storeRepliedAt) < maxStoreReplyAge {
		return false
	}
	if placement.holderReport.Fence > placement.fence {
		placement.isLatestHolder = false
		return false
	}
	return control.peers.majorityWithoutStore(now)
}

// majorityWithoutStore reports whether this node and the peers with fresh digests
// are a majority, and the store answers none of these peers. In a mesh all nodes
// count, otherwise only the zones' leaders. Nodes that are gone count as long as their rows are
// there: those that a part of the cluster cannot reach may place.
func (peers *peers) majorityWithoutStore(now time.Time) bool {
	partners, reachable := 0, 0
	if peers.role.Mesh {
		partners = len(peers.gone)
	}
	for name, peer := range peers.nodes {
		if !peers.role.Mesh && !slices.Contains(peers.role.Leaders, name) {
			continue
		}
		partners++
		if !peer.fresh(now) {
			continue
		}
		reachable++
		if time.Duration(peer.digest.StoreReplyAge) < maxStoreReplyAge {
			return false
		}
	}
	return 2*reachable >= partners
}

// planUnder prepares planning under a fencing number. With new planners, the
// endpoints are asked for their command counts again: other nodes may have sent
// commands meanwhile, and one that has restarted may have accepted as many as
// before.
func (control *Control) planUnder(fence int64) {
	if control.placement.setFence(fence) {
		control.endpoints.doubtCommandCounts()
	}
}

// setFence prepares planning under a fencing number. If it is the same as before,
// or the next one, no other node has placed anything in between, and the planners
// are kept: they know which endpoints are quarantined and until when, and new
// planners would have to wait to be sure. Under any later number new planners are
// made, and setFence returns true.
func (placement *placement) setFence(fence int64) bool {
	if fence == placement.fence {
		return false
	}
	consecutive := fence == placement.fence+1
	placement.isFirstHolder = placement.fence == 0 && placement.holderReport.Fence == 0 || placement.isFirstHolder && consecutive
	placement.fence, placement.planCount = fence, 0
	if consecutive {
		return false
	}
	placement.planners = map[string]*fleet.Planner{}
	return true
}

// claimLease sends the transaction that acquires or renews the lease, if one is
// due.
func (control *Control) claimLease(now time.Time) {
	placement := &control.placement
	if placement.claimPending || control.draining || control.cutoff.CutOff() || !placement.rowsRead || !control.follows(tableLease) || now.Before(placement.nextClaimAt) {
		return
	}
	if !placement.active && now.Before(placement.holderReport.ReceivedAt.Add(digestTTL)) {
		return // another node places, with the lease or, in a store outage, without it
	}
	action := placement.claim.Next(now, control.acquireDelay(), uuid.NewString())
	txn := txnOf(action)
	if len(txn.Ops) == 0 {
		return
	}
	placement.claimPending = true
	go func() {
		control.enqueue(leaseResult{action: action, outcome: control.store.Commit(control.ctx, txn)})
	}()
}

// acquireDelay returns how long this node waits before it acquires a free lease.
func (control *Control) acquireDelay() time.Duration {
	placement := &control.placement
	delay := placement.acquireDelay
	if !control.peers.role.Mesh {
		delay += weaknessDelay(control.settings.Processor)
	}
	if latest := lease.FencingNumber(placement.fencingRow); max(placement.fence, placement.holderReport.Fence) < latest {
		delay += uninformedDelay
	}
	return delay
}

// releaseIfUnfit releases the lease if this node has been late again and again, since a
// holder that lags plans from what was true a while ago, or if it is cut off from the
// endpoints. Where there are few nodes, or all that it hears are late, they are as slow as this one.
func (control *Control) releaseIfUnfit(now time.Time) {
	late := !control.peers.role.Mesh && control.lateness.ticks.LateFor(now) >= maxLateness && !control.othersLate(now)
	switch {
	case control.placement.claimPending:
	case late:
		control.releaseLease("this node is late", now.Add(lateHolderPause), now)
	case control.cutoff.CutOff():
		control.releaseLease("this node is cut off from the endpoints", now, now)
	}
}

// othersLate reports whether the recent digests of all other nodes state that they are late, and there is one at
// least. A node that is late itself may not have handled the latest ones.
func (control *Control) othersLate(now time.Time) bool {
	heard := false
	for _, peer := range control.peers.nodes {
		if now.Sub(peer.digestReceivedAt) >= digestTTL+maxLateness {
			continue
		}
		if !peer.digest.Late {
			return false
		}
		heard = true
	}
	return heard
}

// releaseLease releases the lease if this node holds it, for a reason, and does not acquire
// it again before a time.
func (control *Control) releaseLease(reason string, nextClaimAt, now time.Time) {
	placement := &control.placement
	txn, held := placement.claim.Release(now, uuid.NewString())
	if !held {
		return
	}
	placement.nextClaimAt = nextClaimAt
	event.Log(control.log, event.LeaseReleased, zap.String("outcome", reason), zap.Duration("late-for", control.lateness.ticks.LateFor(now)))
	go func() {
		if outcome := control.store.Commit(control.ctx, txn); !committed(outcome) {
			event.Log(control.log, event.LeaseReleased, zap.String("outcome", describeOutcome(outcome)))
		}
	}()
}

// committed reports whether a transaction took effect.
func committed(outcome rows.Outcome) bool {
	_, done := outcome.(rows.Committed)
	return done
}

// planService runs a planning pass for a service and sends its commands.
func (control *Control) planService(name string, now time.Time) {
	placement := &control.placement
	service, _ := control.config.index.Service(name)
	planner := placement.planners[name]
	if planner == nil {
		planner = fleet.NewPlanner(placement.policy, name)
		placement.planners[name] = planner
	}
	input := fleet.Input{
		Now: now, Fence: placement.fence, Engine: service.Engine, Endpoints: control.plannable(name),
		Unresponsive: map[string]bool{}, Pausing: map[string]bool{}, InFlight: map[string]int{}, NoRequestsYet: control.noRequestsYet(now),
		Demand: control.demand.recent.Recent(), HolderReport: placement.holderReport,
		Peak: control.demand.peakFor(service.Engine, now), Objectives: objectivesOf(control.config.index.Config, service),
	}
	control.raiseCommandCounts(input.Endpoints, now)
	control.ensureCommandCounts(input.Endpoints, input.NoRequestsYet, now)
	for id := range control.endpoints.unresponsive {
		if control.cutoff.Concludes(id, now) {
			input.Unresponsive[id] = true
			input.Pausing[id] = now.Before(control.endpoints.pausingUntil[id])
		}
	}
	for id, load := range control.endpoints.loads {
		input.InFlight[id] = load.InFlight()
	}
	for _, command := range planner.Plan(input) {
		control.sendCommand(name, command)
	}
	for _, problem := range planner.Problems(input) {
		event.Log(control.log, event.PlacementProblem, zap.String("service", name), zap.String("model", problem.Model), zap.String("domain", problem.Domain), zap.String("reason", problem.Reason))
	}
	if now.Sub(control.storeRepliedAt) >= maxStoreReplyAge {
		for _, id := range planner.InTransition() {
			control.probe(id, now) // in a store outage no row shows their progress
		}
	}
	if now.After(placement.nextStatsLogAt) {
		stats := planner.Stats(input)
		event.Log(control.log, event.PlacementStats, zap.String("service", name), zap.Int("endpoints", stats.Endpoints), zap.Any("wanted", stats.Wanted),
			zap.Any("serving", stats.Serving), zap.Any("under-way", stats.InTransition), zap.Any("prepared", stats.Staged),
			zap.Int("staging", stats.Staging), zap.Int("held", stats.Stalled),
			zap.Int("waiting", stats.Unconfirmed), zap.Int("uncounted", stats.CommandCountUnknown))
	}
}

// doubtCommandCounts makes all command counts unknown until the endpoints' next
// reports.
func (endpoints *endpoints) doubtCommandCounts() {
	for id, endpoint := range endpoints.byID {
		endpoint.CommandCountKnown = false
		endpoints.byID[id] = endpoint
	}
}

// raiseCommandCounts takes the counts of endpoints from their clearances where a
// report is older: its contents may be from before the last command of the previous
// holder, and an endpoint would reject a command on the condition of that count.
func (control *Control) raiseCommandCounts(endpoints []fleet.Endpoint, now time.Time) {
	for i, endpoint := range endpoints {
		clearance, found := control.placement.holderReport.Cleared[endpoint.ID]
		if !found || !endpoint.CommandCountKnown || endpoint.Membership.Replica != "" || !clearance.StartedAt.Equal(endpoint.StartedAt) || clearance.CommandCount <= endpoint.CommandCount {
			continue
		}
		endpoints[i].CommandCount, endpoints[i].FreeSince = clearance.CommandCount, now
		control.endpoints.set(endpoints[i])
	}
}

// ensureCommandCounts finds out how many commands each endpoint has accepted,
// where that is unknown: an endpoint carries a command out only if the command
// states this count. It also asks those that are free by their rows only, since a
// row has no count. The first holder need not ask new endpoints: they have accepted
// no command.
func (control *Control) ensureCommandCounts(endpoints []fleet.Endpoint, noRequestsYet bool, now time.Time) {
	allNew := noRequestsYet && control.placement.isFirstHolder
	for i, endpoint := range endpoints {
		switch {
		case endpoint.CommandCountKnown && (endpoint.CommandCount == 0 || endpoint.Membership.Replica != "" || !endpoint.FreeSince.IsZero()):
		case endpoint.CommandCountKnown:
			control.probeCount(endpoint.ID, now)
		case allNew && endpoint.Membership.Replica == "":
			endpoints[i].CommandCountKnown = true
			control.endpoints.byID[endpoint.ID] = endpoints[i]
		case endpoint.Membership.Replica == "":
			control.probeCount(endpoint.ID, now)
		}
	}
	for _, endpoint := range endpoints {
		if !endpoint.CommandCountKnown {
			control.probeCount(endpoint.ID, now) // those of members are needed only once their replicas end
		}
	}
}

// probeCount probes an endpoint for its command count. A new holder knows none, so it asks
// a few endpoints at a time, and its processor keeps up with the answers.
func (control *Control) probeCount(id string, now time.Time) {
	if len(control.endpoints.probing) < maxPendingCountProbes {
		control.probe(id, now)
	}
}

// noRequestsYet reports whether all nodes have just started for the first time and
// no request has arrived at any of them.
func (control *Control) noRequestsYet(now time.Time) bool {
	return control.settings.FirstStart && now.Before(control.startedAt.Add(initialWindow)) && !control.hadRequests() && !control.peersHadRequests()
}

// sendCommand sends a command to its endpoint and enqueues the result. It does
// not check the lease again: the endpoint checks the expected command count.
func (control *Control) sendCommand(service string, command fleet.Command) {
	go func() {
		reply := control.engineClient.SendCommand(control.ctx, command)
		control.enqueue(commandResult{service: service, command: command, reply: reply})
	}()
}

// handleCommandResult applies the reply to a command. After a rejection, or no
// reply, the endpoint's command count is unknown until its next report.
func (control *Control) handleCommandResult(result commandResult, now time.Time) {
	event.Log(control.log, event.CommandAnswered, zap.String("endpoint", result.command.Endpoint), zap.String("order", describeOperation(result.command.Operation)),
		zap.Int64("orders", result.command.ExpectedCommandCount), zap.String("reply", describeReply(result.reply)))
	if planner := control.placement.planners[result.service]; planner != nil {
		planner.Resolve(now, result.command, result.reply)
	}
	endpoint, found := control.endpoints.byID[result.command.Endpoint]
	if !found {
		return
	}
	_, isLeave := result.command.Operation.(fleet.Leave)
	_, alreadyApplied := result.reply.(fleet.AlreadyApplied)
	_, accepted := result.reply.(fleet.Accepted)
	if (accepted || alreadyApplied && isLeave) && endpoint.CommandCount == result.command.ExpectedCommandCount {
		endpoint.FreeSince = freeAfter(endpoint, result.command, now)
		endpoint.CommandCount++ // a leave takes effect at once: its reply is "already applied", yet the endpoint counts it
		if isLeave {
			endpoint.Membership = fleet.Membership{}
			control.endpoints.updatedAt[endpoint.ID] = now // a report on its way may be older than the leave
		}
		control.endpoints.byID[endpoint.ID] = endpoint
	}
	switch result.reply.(type) {
	case fleet.Rejected, fleet.Unknown:
		endpoint.CommandCountKnown = false // the count may be too low or too high; the next report corrects it
		control.endpoints.byID[endpoint.ID] = endpoint
		control.probe(endpoint.ID, now)
	}
}

// freeAfter returns the FreeSince of an endpoint that has accepted a command and
// nothing else since its last report. A Stage changes no membership, and an
// endpoint that had accepted no command before it belongs to no replica. After a
// Leave only a report tells the count: the endpoint may have left before.
func freeAfter(endpoint fleet.Endpoint, command fleet.Command, now time.Time) time.Time {
	_, isStage := command.Operation.(fleet.Stage)
	switch {
	case !isStage || !command.StartedAt.Equal(endpoint.StartedAt):
		return time.Time{}
	case command.ExpectedCommandCount == 0:
		return now
	default:
		return endpoint.FreeSince
	}
}

// handleDrain starts draining and releases the lease for the next holder.
func (control *Control) handleDrain(request drainRequest, now time.Time) {
	control.draining = true
	txn, held := control.placement.claim.Release(now, uuid.NewString())
	if !held {
		close(request.done)
		return
	}
	go func() {
		defer close(request.done)
		outcome := control.store.Commit(control.ctx, txn)
		event.Log(control.log, event.LeaseReleased, zap.String("outcome", describeOutcome(outcome)))
	}()
}
