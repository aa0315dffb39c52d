package edge

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"hickorybend/core/fleet"
	"hickorybend/core/limit"
	"hickorybend/io/event"
	"hickorybend/io/gossip"
)

const (
	suspectTime     = 2 * time.Second // for a new incarnation's row to arrive
	maxIncarnations = 4096            // endpoints whose last start is kept; beyond that, only those that are known
	listSettleTime  = 3 * time.Second // after a change of the nodes' rows, a node sends only what it may by the rows before, too
)

// coldEndpoints is what this node knows of cold endpoints, by endpoint ID.
type coldEndpoints struct {
	known        map[string]*coldEndpoint
	incarnations map[string]time.Time // start of the last incarnation that was seen
	seeded       bool                 // the endpoints that were there when this node started are in incarnations
	shares       map[string]float64   // requests a second that this node may send to endpoints that are cold now
	owners       map[string][]string  // nodes that may send to a cold endpoint, as far as they have been asked for
	members      []string             // nodes of which some own the quotas, in order
	membersSum   uint64
	before       []string // those before the last change
	changedAt    time.Time
	unusable     bool // an unusable time has been logged
}

// coldEndpoint is until when one incarnation of an endpoint is cold, by the newest that each
// source says. The latest of these counts: a row that was written before the endpoint
// turned cold again must not end what a later answer says.
type coldEndpoint struct {
	startedAt time.Time
	sequence  int64     // of the newest row
	row       time.Time // the row
	inferred  time.Time // it started during traffic, and no row of it has said more
	own       time.Time // its last answer to this node, at ownAt
	ownAt     time.Time
	told      time.Time // other nodes
	suspected time.Time // it has broken off an attempt, or refused a connection; other nodes are not told
}

func newColdEndpoints() coldEndpoints {
	return coldEndpoints{known: map[string]*coldEndpoint{}, incarnations: map[string]time.Time{}, shares: map[string]float64{}, owners: map[string][]string{}}
}

// until returns until when the endpoint is cold, and the source that says so.
func (coldendpoint *coldEndpoint) until() (until time.Time, source string) {
	for _, said := range []struct {
		until  time.Time
		source string
	}{{coldendpoint.row, "row"}, {coldendpoint.own, "answer"}, {coldendpoint.told, "peer"}, {coldendpoint.inferred, "start"}, {coldendpoint.suspected, "broken"}} {
		if said.until.After(until) {
			until, source = said.until, said.source
		}
	}
	return until, source
}

// incarnation returns what is known of an incarnation of an endpoint, or nil if a later one
// is known.
func (coldendpoints *coldEndpoints) incarnation(id string, startedAt time.Time) *coldEndpoint {
	known := coldendpoints.known[id]
	switch {
	case known == nil || startedAt.After(known.startedAt):
		known = &coldEndpoint{startedAt: startedAt}
		coldendpoints.known[id] = known
	case startedAt.Before(known.startedAt):
		return nil
	}
	return known
}

// coldStated carries how long an endpoint is still cold, as it said in an answer.
type coldStated struct {
	endpoint string
	cold     fleet.Cold
	askedAt  time.Time
}

func (coldStated) message() {}

// ColdStated records what an endpoint said in an answer to a probe, check or command. It
// comes before the outcome of that, by which the endpoint may become a candidate.
func (control *Control) ColdStated(endpoint string, cold fleet.Cold, askedAt time.Time) {
	control.enqueue(coldStated{endpoint: endpoint, cold: cold, askedAt: askedAt})
}

func (control *Control) handleColdStated(stated coldStated, now time.Time) {
	if endpoint, found := control.endpoints.byID[stated.endpoint]; found {
		endpoint.Cold = stated.cold
		control.applyColdReport(endpoint, stated.askedAt, now)
	}
}

// usableCold reports whether an endpoint has said how long it is cold, and logs the first
// unusable value.
func (control *Control) usableCold(endpoint fleet.Endpoint) bool {
	if endpoint.Cold.Unusable != "" && !control.cold.unusable {
		control.cold.unusable = true
		event.Log(control.log, event.ColdUnusable, zap.String("endpoint", endpoint.ID), zap.String("value", endpoint.Cold.Unusable))
	}
	return endpoint.Cold.Stated
}

// applyColdRow applies what a row says, unless a newer one has been applied. The time
// counts from its arrival, since it is not known when the row was written.
func (control *Control) applyColdRow(endpoint fleet.Endpoint, now time.Time) {
	if !control.usableCold(endpoint) {
		return
	}
	known := control.cold.incarnation(endpoint.ID, endpoint.StartedAt)
	if known == nil || endpoint.Sequence <= known.sequence && known.sequence > 0 {
		return
	}
	known.sequence, known.row = endpoint.Sequence, now.Add(endpoint.Cold.Left)
	if endpoint.Cold.Left > 0 {
		known.inferred = time.Time{}
	}
	control.applyCold(endpoint.ID, now)
}

// applyColdReport applies what an endpoint said in an answer to this node, unless it
// answered a later question.
func (control *Control) applyColdReport(endpoint fleet.Endpoint, askedAt, now time.Time) {
	if !control.usableCold(endpoint) {
		return
	}
	known := control.cold.incarnation(endpoint.ID, endpoint.StartedAt)
	if known == nil || askedAt.Before(known.ownAt) {
		return
	}
	known.own, known.ownAt = now.Add(endpoint.Cold.Left), askedAt
	control.applyCold(endpoint.ID, now)
}

// learnCold takes from another node's digest what that knows of cold endpoints.
func (control *Control) learnCold(cold []gossip.ColdEndpoint, now time.Time) {
	for _, told := range cold {
		known := control.cold.incarnation(told.Endpoint, time.UnixMilli(told.StartedAt))
		switch {
		case known == nil:
			continue
		case told.Sequence > known.sequence:
			known.sequence, known.row, known.inferred = told.Sequence, told.Until, time.Time{}
		case told.Sequence == 0 && told.Until.After(known.told):
			known.told = told.Until
		default:
			continue
		}
		control.applyCold(told.Endpoint, now)
	}
}

// coldDigest returns what this node knows of cold endpoints from their answers and starts and, if
// it reads the rows for others, from rows: these tell the others at once, before they have
// fetched the rows. What it knows from others is left out: a time that is passed on grows
// with each node.
func (control *Control) coldDigest(now time.Time) []gossip.ColdEndpoint {
	var listed []gossip.ColdEndpoint
	for id, known := range control.cold.known {
		until := known.own
		if known.inferred.After(until) {
			until = known.inferred
		}
		if until.After(now) {
			listed = append(listed, gossip.ColdEndpoint{Endpoint: id, StartedAt: known.startedAt.UnixMilli(), Until: until})
		}
		if known.row.After(now) && control.follows(tableEndpoints) {
			listed = append(listed, gossip.ColdEndpoint{Endpoint: id, StartedAt: known.startedAt.UnixMilli(), Until: known.row, Sequence: known.sequence})
		}
	}
	return listed
}

// refreshCold brings the shares of the quotas of all cold endpoints up to date. It runs
// before each snapshot is published, so that an endpoint is limited once it is a candidate.
func (control *Control) refreshCold(now time.Time) {
	control.inferCold(now)
	if len(control.cold.known) == 0 {
		return
	}
	control.updateOwners(now)
	for id, known := range control.cold.known {
		control.applyCold(id, now)
		if endpoint, found := control.endpoints.byID[id]; !found || endpoint.StartedAt.After(known.startedAt) {
			if until, _ := known.until(); !until.After(now) {
				delete(control.cold.known, id)
			}
		}
	}
}

// inferCold takes endpoints that have started during traffic for cold, until their rows say
// for how long they are. Those that this node finds when it starts are what their rows say.
func (control *Control) inferCold(now time.Time) {
	cold, traffic := &control.cold, control.hadRequests() || control.peersHadRequests()
	for id, endpoint := range control.endpoints.byID {
		seen, found := cold.incarnations[id]
		if found && !endpoint.StartedAt.After(seen) {
			continue
		}
		cold.incarnations[id] = endpoint.StartedAt
		service, configured := control.service(endpoint.Service)
		if !cold.seeded || !traffic || !configured || service.ColdPerSecond <= 0 || service.ColdTime <= 0 {
			continue
		}
		if known := cold.incarnation(id, endpoint.StartedAt); known != nil && !known.row.After(now) {
			known.inferred = now.Add(service.ColdTime)
		}
	}
	cold.seeded = cold.seeded || control.endpoints.loaded && control.config.index != nil
	if len(cold.incarnations) > maxIncarnations {
		for id := range cold.incarnations {
			if _, found := control.endpoints.byID[id]; !found {
				delete(cold.incarnations, id)
			}
		}
	}
}

// suspectCold takes an endpoint without an engine, of which this node has lost a connection,
// for cold for a while: another incarnation may answer at its address before its row says
// so. One with an engine has no replica after a start, and gets no request until its
// report shows one. Other nodes are not told, since the fault may be in this node's links.
func (control *Control) suspectCold(id string, now time.Time) {
	endpoint, found := control.endpoints.byID[id]
	service, configured := control.service(endpoint.Service)
	if !found || !configured || service.Engine != nil || service.ColdPerSecond <= 0 {
		return
	}
	if known := control.cold.incarnation(id, endpoint.StartedAt); known != nil {
		known.suspected = now.Add(suspectTime)
		control.applyCold(id, now)
	}
}

// updateOwners brings the list up to date of which some nodes own the quotas. It holds the
// nodes with a row, also those that do not answer; see limit.ColdShare.
func (control *Control) updateOwners(now time.Time) {
	cold := &control.cold
	sum := uint64(len(control.peers.rows))
	for name := range control.peers.rows {
		sum ^= xxhash.Sum64String(name)
	}
	if sum == cold.membersSum && cold.members != nil {
		return
	}
	cold.before, cold.changedAt = cold.members, now
	cold.members, cold.membersSum = make([]string, 0, len(control.peers.rows)), sum
	for name := range control.peers.rows {
		cold.members = append(cold.members, name)
	}
	slices.Sort(cold.members)
	clear(cold.owners)
	control.snapshotStale = control.snapshotStale || len(cold.shares) > 0
}

// ownersOf returns the nodes that may send requests to an endpoint if it is cold.
func (control *Control) ownersOf(id string, perSecond float64) []string {
	cold := &control.cold
	if _, isCold := cold.shares[id]; !isCold {
		return nil
	}
	owners, found := cold.owners[id]
	if !found {
		owners = limit.ColdOwners(id, control.coldQuota(perSecond), cold.members)
		cold.owners[id] = owners
	}
	return owners
}

// coldQuota returns what a cold endpoint of a service takes.
func (control *Control) coldQuota(perSecond float64) limit.Cold {
	return limit.Cold{PerSecond: perSecond, Over: control.settings.ColdOver, Slack: control.settings.ColdSlack}
}

// coldShare returns how many requests a second this node may send to a cold endpoint.
// Shortly after a change of the list it is what both lists permit: other nodes may still
// go by the one before. A node's first list may be one of few nodes, where all of them start again; at the
// first start no endpoint is cold yet.
func (control *Control) coldShare(id string, perSecond float64, now time.Time) float64 {
	cold, self, quota := &control.cold, control.settings.Node, control.coldQuota(perSecond)
	share := limit.ColdShare(id, self, quota, cold.members)
	switch settles := now.Before(cold.changedAt.Add(listSettleTime)); {
	case !settles || share == 0 || len(cold.before) == 0 && control.settings.FirstStart:
		return share
	case len(cold.before) == 0:
		return 0
	default:
		return min(share, limit.ColdShare(id, self, quota, cold.before))
	}
}

// firstTurn returns how long a node waits for its first turn at an endpoint that has turned
// cold: a part of the time between two turns that differs from node to node. Else all owners
// would send at once, while requests that were sent before still arrive.
func firstTurn(node, id string, share float64) time.Duration {
	return time.Duration(tieBreak(node, id) * float64(time.Second) / share)
}

// applyCold limits the requests of this node to an endpoint while that is cold, or ends
// that.
func (control *Control) applyCold(id string, now time.Time) {
	cold, known := &control.cold, control.cold.known[id]
	endpoint, found := control.endpoints.byID[id]
	service, configured := control.service(endpoint.Service)
	until, source := known.until()
	isCold := found && configured && service.ColdPerSecond > 0 && until.After(now) && !endpoint.StartedAt.After(known.startedAt)
	previous, wasCold := cold.shares[id]
	switch {
	case isCold:
		share := control.coldShare(id, service.ColdPerSecond, now)
		if !wasCold {
			event.Log(control.log, event.EndpointCold, zap.String("endpoint", id), zap.String("replica", endpoint.Membership.Replica), zap.Float64("share", share),
				zap.Duration("left", until.Sub(now)), zap.String("source", source))
		}
		if !wasCold || share != previous {
			cold.shares[id] = share
			if !wasCold && share > 0 {
				control.endpoints.load(id).HoldTurn(now.Add(firstTurn(control.settings.Node, id, share)))
			}
			control.setRate(id)
			control.snapshotStale = true // its owners are in the snapshot
		}
	case wasCold:
		delete(cold.shares, id)
		control.setRate(id)
		control.snapshotStale = true
		event.Log(control.log, event.EndpointWarm, zap.String("endpoint", id))
	}
}
