package fleet

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"hickorybend/core/site"
)

// Input is what one planning pass decides from.
type Input struct {
	Now           time.Time
	Fence         int64 // fencing number of the lease; each new holder has a higher one
	Engine        *site.Engine
	Endpoints     []Endpoint               // of the planner's service
	Unresponsive  map[string]bool          // endpoints that do not respond
	Pausing       map[string]bool          // those of them whose processes may only be pausing, for a short time
	InFlight      map[string]int           // requests in flight from all nodes, by first host
	Demand        map[string]float64       // recent demand of each model in host-seconds, as Demand.Recent returns it
	Peak          Peak                     // of the demand; without it, replicas are formed by the recent demand alone
	Objectives    map[string]time.Duration // time to the first event that callers of each model want at most
	NoRequestsYet bool                     // the system has just started and no caller has sent a request; until one does, weight loads are fast and not limited
	HolderReport  HolderReport             // latest one received
}

// HolderReport is the latest report of a holder on the endpoints that may join a
// replica.
type HolderReport struct {
	Fence      int64
	ReceivedAt time.Time
	Cleared    map[string]Clearance // by endpoint
}

// Planner plans the replicas of one service for as long as its node holds the
// lease. It stores nothing: a new holder's planner starts from the endpoints'
// reports, and needs nothing else that the previous holder's planner had in
// memory.
type Planner struct {
	policy            Policy
	service           string
	fence             int64
	epochCount        int64                  // epochs assigned under this fence
	replicas          map[string]*replica    // by name
	ended             map[string]bool        // names of replicas that ended here; members that still report them are free
	unknownSince      map[string]time.Time   // when a replica of another holder was first seen, by name, until it is adopted
	records           map[string]*record     // by endpoint
	clearances        map[string]Clearance   // by endpoint; the latest of each
	loadStarts        []time.Time            // starts of recent weight loads
	reservations      map[string]reservation // by domain
	lastNewEndpointAt time.Time              // when an endpoint was last seen for the first time
	listedProblems    map[Problem]bool       // problems that Problems has listed
	target            target
	unconfirmedUntil  time.Time // by then, an unresponsive first host whose members the previous holder told to leave must have broken
}

// replicaState is the planner's state of a replica.
type replicaState int

const (
	stateForming replicaState = iota // its members are told to join
	stateOpening                     // its first host is told to open
	stateServing
	stateRetiring // gets no new requests; ends once those in flight are done
	stateEnding   // its first host is told to leave; if it does not respond, the other members are
)

// replica is what the planner knows of one replica.
type replica struct {
	name           string
	epoch          int64
	model          site.Model
	members        []string             // by rank; the first is "" where an adopted replica's first host is not known
	startedAt      map[string]time.Time // start of each member's incarnation, by ID
	state          replicaState
	opened         bool      // an Open may have been sent
	formDeadline   time.Time // the replica is given up if it does not serve by then
	retireDeadline time.Time // the replica ends then even if requests are in flight
	lateOpenUntil  time.Time // an Open without a reply may take effect until then
	stalledUntil   time.Time // an unresponsive first host must have broken by then; zero until a member has left
	closing        bool      // the first host is told to close and has not done so yet
}

func (replica *replica) firstHost() string { return replica.members[0] }

// record is what the planner knows of one endpoint beyond its latest report.
type record struct {
	pending          bool      // a command is under way
	retryAt          time.Time // no command is sent before
	stageDeadline    time.Time // the weight load under way counts as ended after it
	staging          string    // model whose weights it was told to load; "" if no load is under way
	reportedReplica  string    // replica that it last reported to belong to
	lastModel        string    // model of its last replica in this incarnation; it joins a replica of that model at once
	startedAt        time.Time // start of its incarnation
	seen             bool      // a pass has observed it
	unconfirmedUntil time.Time // until then, the first host of a replica that another holder may have told it to leave may still serve
}

// NewPlanner returns a service's planner, which has observed no endpoint yet.
func NewPlanner(policy Policy, service string) *Planner {
	return &Planner{
		policy: policy, service: service, replicas: map[string]*replica{}, ended: map[string]bool{},
		unknownSince: map[string]time.Time{}, records: map[string]*record{}, clearances: map[string]Clearance{}, reservations: map[string]reservation{},
		listedProblems: map[Problem]bool{},
	}
}

// pass is one planning pass.
type pass struct {
	Input
	planner     *Planner
	known       map[string]Endpoint // Input.Endpoints by ID
	domainSizes map[string]int      // endpoints of each domain
	models      []site.Model        // those that replicas are formed of
	commands    []Command           // to send
	peakNeeds   []float64           // of hostNeeds, once it was called
}

// newPass returns a pass that has observed no endpoint yet.
func newPass(planner *Planner, input Input) *pass {
	pass := &pass{Input: input, planner: planner, known: map[string]Endpoint{}, domainSizes: map[string]int{}}
	for _, endpoint := range input.Endpoints {
		pass.domainSizes[endpoint.Domain]++
	}
	pass.models = pass.placeable()
	return pass
}

// Plan runs one planning pass and returns the commands to send now. It first
// adopts the replicas that other holders formed, then ends those that can no
// longer serve and opens those whose members are ready. Only then does it form
// replicas, convert hosts to other models and stage weights.
func (planner *Planner) Plan(input Input) []Command {
	if input.Engine == nil {
		return nil
	}
	if input.Fence != planner.fence {
		planner.fence = input.Fence
		planner.epochCount = 0
		planner.unconfirmedUntil = input.Now.Add(planner.policy.StallTimeout + planner.policy.StallMargin)
	}
	pass := newPass(planner, input)
	for _, endpoint := range input.Endpoints {
		pass.known[endpoint.ID] = endpoint
		pass.observeEndpoint(endpoint)
	}
	pass.adopt()
	pass.handleFaults()
	pass.endReplicas()
	pass.updateClearances()
	pass.openReplicas()
	pass.form()
	pass.convert()
	pass.stage()
	return pass.commands
}

// Resolve updates the planner with the reply to a command that Plan returned.
func (planner *Planner) Resolve(now time.Time, command Command, reply Reply) {
	record := planner.recordOf(command.Endpoint)
	record.pending = false
	if unknown, isUnknown := reply.(Unknown); isUnknown {
		if unknown.Answered {
			record.retryAt = now.Add(planner.policy.RejectedRetry)
		}
		planner.noteUnknownOpen(now, command.Operation)
		return
	}
	if _, rejected := reply.(Rejected); rejected {
		record.retryAt = now.Add(planner.policy.RejectedRetry)
	}
	switch operation := command.Operation.(type) {
	case Leave:
		planner.resolveLeave(now, operation, command.Endpoint, reply)
	case Stage:
		if _, accepted := reply.(Accepted); !accepted {
			record.staging, record.stageDeadline = "", time.Time{}
			record.retryAt = now.Add(planner.policy.StageRetry)
			return
		}
		planner.extendClearance(command)
	case Join:
		if _, accepted := reply.(Accepted); accepted {
			record.unconfirmedUntil = time.Time{} // from now on its replica says when it is free
		}
	case Open, Close:
	}
}

// noteUnknownOpen records that an Open without a reply may take effect later: an
// unresponsive first host might begin to serve only then.
func (planner *Planner) noteUnknownOpen(now time.Time, operation Operation) {
	open, ok := operation.(Open)
	if !ok {
		return
	}
	if replica := planner.replicas[open.Replica]; replica != nil {
		replica.lateOpenUntil = now.Add(planner.policy.MaxCommandDelay)
	}
}

// resolveLeave frees the members of a replica whose first host has left. If
// another member has left instead, the first host is unresponsive. It stalls from
// now on, and the members wait until it must have broken.
func (planner *Planner) resolveLeave(now time.Time, leave Leave, endpoint string, reply Reply) {
	replica := planner.replicas[leave.Replica]
	if replica == nil || replica.state != stateEnding {
		return
	}
	switch reply.(type) {
	case Accepted, AlreadyApplied:
	default:
		return
	}
	planner.recordOf(endpoint).reportedReplica = "" // if it reports the replica again, another holder has made it rejoin
	switch {
	case replica.firstHost() == endpoint:
		planner.release(replica)
	case replica.stalledUntil.IsZero():
		replica.stalledUntil = now.Add(planner.policy.StallTimeout + planner.policy.StallMargin)
	}
}

// recordOf returns the record of an endpoint and makes one if there is none.
func (planner *Planner) recordOf(id string) *record {
	found := planner.records[id]
	if found == nil {
		found = &record{}
		planner.records[id] = found
	}
	return found
}

// observeEndpoint updates the record of an endpoint from its latest report.
//
// An endpoint that is seen for the first time and belongs to no replica may be
// unconfirmed: the previous holder may have told it to leave a replica whose first
// host does not respond and still serves. The previous holder can have done so
// until this one took over, so the endpoint waits for a stall timeout from then,
// unless it is cleared.
func (pass *pass) observeEndpoint(endpoint Endpoint) {
	record := pass.planner.recordOf(endpoint.ID)
	if !record.seen {
		record.seen = true
		if endpoint.Membership.Replica == "" {
			record.unconfirmedUntil = pass.planner.unconfirmedUntil
		}
		pass.planner.lastNewEndpointAt = pass.Now
	}
	if record.staging != "" && (endpoint.HasWeights(record.staging) || pass.Now.After(record.stageDeadline)) {
		record.staging = ""
	}
	if !endpoint.StartedAt.Equal(record.startedAt) {
		record.startedAt, record.lastModel, record.staging = endpoint.StartedAt, "", ""
	}
	if name := endpoint.Membership.Replica; name != "" {
		record.lastModel = modelOf(name)
	}
	pass.observeMembership(record, endpoint.Membership)
}

// observeMembership handles a change of the membership that an endpoint reports.
//
// If the endpoint reports another holder's replica that has ended here, that
// holder has not noticed the loss of its lease and has made the endpoint rejoin.
// The replica no longer counts as ended, so its members are not free.
//
// If the endpoint has left a replica that is not adopted yet, another holder told
// it to leave, perhaps because the first host does not respond. The first host
// may serve until the stall timeout has passed, so the endpoint is unconfirmed
// until then.
func (pass *pass) observeMembership(record *record, membership Membership) {
	if record.reportedReplica == membership.Replica {
		return
	}
	if _, unknown := pass.planner.unknownSince[record.reportedReplica]; unknown && membership.Replica == "" {
		record.unconfirmedUntil = pass.Now.Add(pass.planner.policy.StallTimeout + pass.planner.policy.StallMargin)
	}
	record.reportedReplica = membership.Replica
	if membership.Epoch/epochsPerFence != pass.planner.fence {
		delete(pass.planner.ended, membership.Replica)
	}
}

// send queues a command and reports whether it did. It queues none while another
// command to the endpoint is under way or was sent just before, nor while the
// endpoint's command count is unknown, since the command is conditional on it.
func (pass *pass) send(id string, operation Operation) bool {
	record := pass.planner.recordOf(id)
	if record.pending || pass.Now.Before(record.retryAt) {
		return false
	}
	endpoint, known := pass.known[id]
	if !known || !endpoint.CommandCountKnown {
		return false
	}
	record.pending = true
	record.retryAt = pass.Now.Add(pass.planner.policy.CommandRetry)
	command := Command{Endpoint: id, Address: endpoint.Address, StartedAt: endpoint.StartedAt, ExpectedCommandCount: endpoint.CommandCount, Operation: operation}
	pass.commands = append(pass.commands, command)
	return true
}

// nameOf returns the name of a replica, which consists of its model and its
// epoch. Later holders read the model from the name.
func nameOf(model string, epoch int64) string {
	return model + "." + strconv.FormatInt(epoch, 36)
}

// modelOf returns the model that the name of a replica contains.
func modelOf(name string) string {
	model, _, _ := strings.Cut(name, ".")
	return model
}

// epochsPerFence is the number of replicas that one holder may form before its
// epochs would reach those of the next.
const epochsPerFence = 1 << 20

// nextEpoch returns an epoch above all that this and earlier holders assigned.
func (planner *Planner) nextEpoch() int64 {
	planner.epochCount++
	return planner.fence*epochsPerFence + planner.epochCount
}

// release frees the members of a replica, whatever membership they still report.
func (planner *Planner) release(replica *replica) {
	delete(planner.replicas, replica.name)
	planner.ended[replica.name] = true
}

// sortedReplicas lists the replicas by name, so that equal inputs give equal
// plans.
func (planner *Planner) sortedReplicas() []*replica {
	names := make([]string, 0, len(planner.replicas))
	for name := range planner.replicas {
		names = append(names, name)
	}
	slices.Sort(names)
	all := make([]*replica, len(names))
	for i, name := range names {
		all[i] = planner.replicas[name]
	}
	return all
}

// InTransition lists the members of replicas that form, open, retire or end.
func (planner *Planner) InTransition() []string {
	var members []string
	for _, replica := range planner.replicas {
		if replica.state != stateServing {
			members = append(members, replica.members...)
		}
	}
	return members
}

// Quarantined lists the endpoints whose previous first host may still serve: the
// members of replicas that are ending, and unconfirmed endpoints, whether or not
// they are cleared. Holders of earlier builds read it.
func (planner *Planner) Quarantined(now time.Time) []string {
	var quarantined []string
	for _, replica := range planner.replicas {
		if replica.state == stateEnding {
			quarantined = append(quarantined, replica.members...)
		}
	}
	for id, record := range planner.records {
		if now.Before(record.unconfirmedUntil) {
			quarantined = append(quarantined, id)
		}
	}
	slices.Sort(quarantined)
	return slices.Compact(quarantined)
}

// replicaOf returns the replica that has an endpoint as a member, or nil if none
// has.
func (planner *Planner) replicaOf(id string) *replica {
	for _, replica := range planner.replicas {
		if slices.Contains(replica.members, id) {
			return replica
		}
	}
	return nil
}
