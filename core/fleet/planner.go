package fleet

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"hickorybend/core/site"
)

// Input is what one decision is made from.
type Input struct {
	Now           time.Time
	Fence         int64 // of the lease; grows with each take-over
	Engine        *site.Engine
	Endpoints     []Endpoint         // of one service
	Unresponsive  map[string]bool    // endpoints that answer nothing
	InFlight      map[string]int     // requests of all nodes at each first host
	Demand        map[string]float64 // hosts' seconds that callers lately asked of each model
	NoRequestsYet bool               // no caller has come yet: loads are quick and free
	HolderReport  HolderReport       // by the holder before
}

// HolderReport is what the holder of a lease last said of the endpoints that it freed.
type HolderReport struct {
	Fence       int64
	ReceivedAt  time.Time       // when it was heard
	Quarantined map[string]bool // endpoints whose last first host may still serve
}

// Planner holds one service's replicas for as long as the lease is held. What
// it knows beyond the endpoints' own words is lost with it, and not missed.
type Planner struct {
	policy   Policy
	service  string
	fence    int64
	count    int64
	replicas map[string]*replica
	ended    map[string]bool
	strays   map[string]time.Time
	tracks   map[string]*track
	loads    []time.Time
	promised map[string]promise // by domain
	newest   time.Time
	sureAt   time.Time // when a silent first host whose members the holder before told to leave must have broken
}

// stage is a replica's place in the planner's care.
type stage int

const (
	stageForming stage = iota // joins are sent
	stageOpening              // an open is sent
	stageServing
	stageRetiring // ends once its work is done; its first host takes no more
	stageEnding   // its first host is told to leave
)

type replica struct {
	name     string
	epoch    int64
	model    site.Model
	members  []string
	born     map[string]time.Time
	stage    stage
	opened   bool // an open was sent, heard or not
	giveUpAt time.Time
	retireBy time.Time
	lateBy   time.Time // until when an open that nobody answered may still be carried out
	brokenAt time.Time // when a silent first host must have broken; zero until a member has left
	closing  bool      // its first host is told to take no more
}

func (replica *replica) head() string { return replica.members[0] }

// track is what the planner knows of one endpoint beyond its own words.
type track struct {
	pending   bool
	retryAt   time.Time
	stagedBy  time.Time // when a load that was ordered is expected to end
	staging   string
	shown     string // the replica that it last said it belongs to
	lastModel string // of its last replica in this life: it joins that one again at once
	born      time.Time
	seen      bool
	sureAt    time.Time // until when another holder may have told it to leave a first host that still serves
}

// NewPlanner makes a planner of a service that knows nothing yet.
func NewPlanner(policy Policy, service string) *Planner {
	return &Planner{
		policy: policy, service: service, replicas: map[string]*replica{}, ended: map[string]bool{},
		strays: map[string]time.Time{}, tracks: map[string]*track{}, promised: map[string]promise{},
	}
}

// turn is one decision under way.
type turn struct {
	Input
	planner  *Planner
	known    map[string]Endpoint
	commands []Command
}

// Plan gives the commands due now, in the order of the phases: what exists is
// taken in, what is broken ends, what is whole opens, and only then is
// something new formed or staged.
func (planner *Planner) Plan(input Input) []Command {
	if input.Engine == nil {
		return nil
	}
	if input.Fence != planner.fence {
		planner.fence = input.Fence
		planner.count = 0
		planner.sureAt = input.Now.Add(planner.policy.StallTimeout + planner.policy.StallMargin)
	}
	turn := &turn{Input: input, planner: planner, known: map[string]Endpoint{}}
	for _, endpoint := range input.Endpoints {
		turn.known[endpoint.ID] = endpoint
		turn.meet(endpoint)
	}
	turn.adopt()
	turn.judge()
	turn.finish()
	turn.advance()
	turn.form()
	turn.convert()
	turn.stage()
	return turn.commands
}

// Resolve takes in what became of a command.
func (planner *Planner) Resolve(now time.Time, command Command, reply Reply) {
	track := planner.track(command.Endpoint)
	track.pending = false
	if _, unheard := reply.(Unknown); unheard {
		planner.noteUnheard(now, command.Operation)
		return
	}
	if _, unfit := reply.(Rejected); unfit {
		track.retryAt = now.Add(planner.policy.RejectedRetry)
	}
	switch operation := command.Operation.(type) {
	case Leave:
		planner.resolveLeave(now, operation, command.Endpoint, reply)
	case Stage:
		if _, begun := reply.(Accepted); !begun {
			track.staging, track.stagedBy = "", time.Time{}
			track.retryAt = now.Add(planner.policy.StageRetry)
		}
	case Join, Open, Close:
	}
}

// noteUnheard takes in that an open may be carried out later: a silent first
// host might begin to serve only then.
func (planner *Planner) noteUnheard(now time.Time, operation Operation) {
	open, ok := operation.(Open)
	if !ok {
		return
	}
	if found := planner.replicas[open.Replica]; found != nil {
		found.lateBy = now.Add(planner.policy.MaxCommandDelay)
	}
}

// resolveLeave releases the members of a replica whose first host has left, or
// starts the wait for a silent one to break.
func (planner *Planner) resolveLeave(now time.Time, order Leave, endpoint string, reply Reply) {
	found := planner.replicas[order.Replica]
	if found == nil || found.stage != stageEnding {
		return
	}
	switch reply.(type) {
	case Accepted, AlreadyApplied:
	default:
		return
	}
	planner.track(endpoint).shown = "" // if it shows the replica again, another holder has revived it
	switch {
	case found.head() == endpoint:
		planner.release(found)
	case found.brokenAt.IsZero():
		found.brokenAt = now.Add(planner.policy.StallTimeout + planner.policy.StallMargin)
	}
}

func (planner *Planner) track(id string) *track {
	found := planner.tracks[id]
	if found == nil {
		found = &track{}
		planner.tracks[id] = found
	}
	return found
}

func (turn *turn) meet(endpoint Endpoint) {
	track := turn.planner.track(endpoint.ID)
	if !track.seen {
		track.seen = true
		if endpoint.Membership.Replica == "" && (endpoint.CommandCount > 0 || !endpoint.CommandCountKnown) && !turn.NoRequestsYet {
			track.sureAt = turn.planner.sureAt
		}
		turn.planner.newest = turn.Now
	}
	if endpoint.CommandCountKnown && endpoint.CommandCount == 0 {
		track.sureAt = time.Time{} // it was never told anything in this life
	}
	if track.staging != "" && (endpoint.HasWeights(track.staging) || turn.Now.After(track.stagedBy)) {
		track.staging = ""
	}
	if !endpoint.StartedAt.Equal(track.born) {
		if !track.born.IsZero() {
			track.sureAt = time.Time{}
		}
		track.born, track.lastModel, track.staging = endpoint.StartedAt, "", ""
	}
	if name := endpoint.Membership.Replica; name != "" {
		track.lastModel = modelOf(name)
	}
	turn.notice(track, endpoint.Membership)
}

// notice takes in a membership that is new to an endpoint. Where it is one of a
// replica that has ended here, another holder, who has not noticed that it is
// none any more, has revived that: what belongs to it is not free. Where it left
// a replica that was not taken in yet, another holder told it to, perhaps since
// the first host is silent.
func (turn *turn) notice(track *track, membership Membership) {
	if track.shown == membership.Replica {
		return
	}
	if _, stray := turn.planner.strays[track.shown]; stray && membership.Replica == "" {
		track.sureAt = turn.Now.Add(turn.planner.policy.StallTimeout + turn.planner.policy.StallMargin)
	}
	track.shown = membership.Replica
	if membership.Epoch/epochsPerFence != turn.planner.fence {
		delete(turn.planner.ended, membership.Replica)
	}
}

// send queues a command unless one is under way at the endpoint.
func (turn *turn) send(id string, operation Operation) bool {
	track := turn.planner.track(id)
	if track.pending || turn.Now.Before(track.retryAt) {
		return false
	}
	endpoint, known := turn.known[id]
	if !known || !endpoint.CommandCountKnown {
		return false
	}
	track.pending = true
	track.retryAt = turn.Now.Add(turn.planner.policy.CommandRetry)
	command := Command{Endpoint: id, Address: endpoint.Address, ExpectedCommandCount: endpoint.CommandCount, Operation: operation}
	turn.commands = append(turn.commands, command)
	return true
}

// nameOf makes a replica's name, from which every later holder reads its model
// and epoch.
func nameOf(model string, epoch int64) string {
	return model + "." + strconv.FormatInt(epoch, 36)
}

func modelOf(name string) string {
	model, _, _ := strings.Cut(name, ".")
	return model
}

// epochsPerFence is how many replicas one holder may form before its epochs
// would run into those of the next.
const epochsPerFence = 1 << 20

func (planner *Planner) nextEpoch() int64 {
	planner.count++
	return planner.fence*epochsPerFence + planner.count
}

func (planner *Planner) release(replica *replica) {
	delete(planner.replicas, replica.name)
	planner.ended[replica.name] = true
}

// sorted lists the replicas in the order of their names, so that equal inputs
// give equal plans.
func (planner *Planner) sorted() []*replica {
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

// InTransition lists the members of replicas that form or end.
func (planner *Planner) InTransition() []string {
	var moving []string
	for _, replica := range planner.replicas {
		if replica.stage != stageServing {
			moving = append(moving, replica.members...)
		}
	}
	return moving
}

// Quarantined lists the endpoints whose last first host may still serve: the members
// of replicas that end, and those of which that is not known.
func (planner *Planner) Quarantined(now time.Time) []string {
	var held []string
	for _, replica := range planner.replicas {
		if replica.stage == stageEnding {
			held = append(held, replica.members...)
		}
	}
	for id, track := range planner.tracks {
		if now.Before(track.sureAt) {
			held = append(held, id)
		}
	}
	slices.Sort(held)
	return slices.Compact(held)
}

// memberOf gives the replica that the planner counts an endpoint to.
func (planner *Planner) memberOf(id string) *replica {
	for _, replica := range planner.replicas {
		if slices.Contains(replica.members, id) {
			return replica
		}
	}
	return nil
}
