package edge

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"hickorybend/core/limit"
	"hickorybend/io/entry"
	"hickorybend/io/event"
	"hickorybend/io/gossip"
)

const (
	limitTTL           = 30 * time.Second // after the last answer that stated a limit, it no longer holds
	limitTold          = 5 * time.Second  // for which the end of a limit is told to other nodes
	rateSmoothing      = 0.3              // weight of a new sample in a node's request rate
	rateSampleInterval = time.Second      // between two samples of the rates, with which all shares are computed
)

// limits is what this node knows of endpoints that limit the requests that they take
// from all nodes together. The maps are by endpoint ID, or by node name.
type limits struct {
	known        map[string]limit.Observation  // the newest of all nodes
	shares       map[string]float64            // requests a second that this node may send, by endpoint that has stated a limit
	users        uint64                        // fingerprint of the nodes among which the shares were computed
	own          map[string]limit.Observation  // the newest of this node, which it tells the others
	shown        map[string]bool               // endpoints whose limit was logged
	counts       map[string]map[string]int64   // requests by node and service at the last sample
	rates        map[string]map[string]float64 // requests a second by node and service
	nextSampleAt time.Time
}

func newLimits() limits {
	return limits{
		known: map[string]limit.Observation{}, own: map[string]limit.Observation{}, shown: map[string]bool{}, shares: map[string]float64{},
		counts: map[string]map[string]int64{}, rates: map[string]map[string]float64{},
	}
}

// limitStated carries what an endpoint said of its limit in an answer.
type limitStated struct {
	entry.StatedLimit
}

func (limitStated) message() {}

// LimitStated records what an endpoint said of its limit in an answer. It does not wait
// for the control loop.
func (control *Control) LimitStated(stated entry.StatedLimit) {
	go control.enqueue(limitStated{stated})
}

// handleLimitStated records what an endpoint said to this node. Without a start, the
// present incarnation said so.
func (control *Control) handleLimitStated(stated limitStated, now time.Time) {
	endpoint, found := control.endpoints.byID[stated.Endpoint]
	if !found {
		return
	}
	if stated.StartedAt.IsZero() {
		stated.StartedAt = endpoint.StartedAt
	}
	observation := limit.Observation{StartedAt: stated.StartedAt, Limited: stated.Limited, PerSecond: stated.PerSecond, At: stated.At}
	if observation.NewerThan(control.limits.own[stated.Endpoint]) {
		control.limits.own[stated.Endpoint] = observation
	}
	control.applyLimit(stated.Endpoint, observation, now)
}

// learnLimits takes from another node's digest what endpoints said to it.
func (control *Control) learnLimits(limits []gossip.EndpointLimit, now time.Time) {
	for _, told := range limits {
		control.applyLimit(told.Endpoint, limit.Observation{
			StartedAt: time.UnixMilli(told.StartedAt), Limited: told.Limited, PerSecond: told.PerSecond, At: told.At,
		}, now)
	}
}

// applyLimit applies an observation if it is newer than the known one, and of the
// endpoint's present incarnation.
func (control *Control) applyLimit(id string, observation limit.Observation, now time.Time) {
	endpoint, found := control.endpoints.byID[id]
	if !found || !endpoint.StartedAt.Equal(observation.StartedAt) || !observation.NewerThan(control.limits.known[id]) || now.Sub(observation.At) > limitTTL {
		return
	}
	previous := control.limits.known[id]
	control.limits.known[id] = observation
	if !previous.SaysTheSame(observation) {
		control.setShare(id, control.requestRates(endpoint.Service, now))
	}
}

// shareLimits forgets the limits that no longer hold, and brings the shares of the
// others up to date: once a second, with the rates of requests, and when a node has
// come or gone.
func (control *Control) shareLimits(now time.Time) {
	limits := &control.limits
	due := control.sampleRates(now)
	if len(limits.known) > 0 {
		users := control.limitUsers(now)
		due = due || users != limits.users
		limits.users = users
	}
	nodes := map[string][]limit.Node{} // by service
	for id, observation := range limits.known {
		if control.endIfOver(id, now) || !due || !observation.Limited {
			continue
		}
		service := control.endpoints.byID[id].Service
		if nodes[service] == nil {
			nodes[service] = control.requestRates(service, now)
		}
		control.setShare(id, nodes[service])
	}
	for id, observation := range limits.own {
		if !observation.Limited && now.Sub(observation.At) > limitTold || now.Sub(observation.At) > limitTTL {
			delete(limits.own, id)
		}
	}
}

// endIfOver ends the limit of an endpoint that is gone, has restarted, or of which no
// node has heard for long. It reports whether it did.
func (control *Control) endIfOver(id string, now time.Time) bool {
	observation := control.limits.known[id]
	endpoint, found := control.endpoints.byID[id]
	if found && endpoint.StartedAt.Equal(observation.StartedAt) && now.Sub(observation.At) <= limitTTL {
		return false
	}
	delete(control.limits.known, id)
	control.endLimit(id, false)
	return true
}

// endLimit lets this node send any number of requests to an endpoint. stated says
// whether the endpoint has stated the end.
func (control *Control) endLimit(id string, stated bool) {
	delete(control.limits.shares, id)
	control.setRate(id)
	if control.limits.shown[id] {
		delete(control.limits.shown, id)
		event.Log(control.log, event.EndpointUnlimited, zap.String("endpoint", id), zap.Bool("stated", stated))
	}
}

// setShare limits the requests of this node to an endpoint by its share of the limit,
// or ends that.
func (control *Control) setShare(id string, nodes []limit.Node) {
	limits := &control.limits
	observation := limits.known[id]
	if !observation.Limited {
		control.endLimit(id, true)
		return
	}
	share := limit.Share(id, observation.PerSecond, nodes)
	limits.shares[id] = share
	control.setRate(id)
	if !limits.shown[id] {
		limits.shown[id] = true
		event.Log(control.log, event.EndpointLimited, zap.String("endpoint", id), zap.Float64("limit", observation.PerSecond), zap.Float64("share", share))
	}
}

// setRate limits the requests of this node to an endpoint by the lower of its shares of the
// limit that the endpoint has stated and of what it takes while it is cold.
func (control *Control) setRate(id string) {
	stated, limited := control.limits.shares[id]
	cold, isCold := control.cold.shares[id]
	load := control.endpoints.load(id)
	switch {
	case limited && isCold:
		load.SetRate(min(stated, cold))
	case limited:
		load.SetRate(stated)
	case isCold:
		load.SetRate(cold)
	default:
		load.RemoveRate()
	}
}

// limitUsers returns a fingerprint of the nodes that requestRates returns, whatever
// their order.
func (control *Control) limitUsers(now time.Time) uint64 {
	peers := control.peers
	users := uint64(0)
	for name, peer := range peers.nodes {
		if !peers.role.Mesh || peer.fresh(now) {
			users ^= xxhash.Sum64String(name)
		}
	}
	return users
}

// requestRates returns the nodes that send requests to a service with the rates at
// which they receive them, this node first. Where the nodes form no mesh, this node
// knows the rates of few, and all count alike.
func (control *Control) requestRates(service string, now time.Time) []limit.Node {
	peers, rates := control.peers, control.limits.rates
	mesh := peers.role.Mesh
	nodes := []limit.Node{{Name: peers.self}}
	for name, peer := range peers.nodes {
		if !mesh || peer.fresh(now) {
			nodes = append(nodes, limit.Node{Name: name})
		}
	}
	for i := range nodes {
		if mesh {
			nodes[i].Rate = rates[nodes[i].Name][service]
		}
	}
	return nodes
}

// sampleRates brings the request rates of the nodes up to date, once a second. It
// reports whether it did.
func (control *Control) sampleRates(now time.Time) bool {
	limits := &control.limits
	if now.Before(limits.nextSampleAt) {
		return false
	}
	limits.nextSampleAt = now.Add(rateSampleInterval)
	limits.sample(control.settings.Node, control.digest.Load().Requests)
	for name, peer := range control.peers.nodes {
		limits.sample(name, peer.digest.Requests)
	}
	for name := range limits.rates {
		if control.peers.nodes[name] == nil && name != control.peers.self {
			delete(limits.rates, name)
			delete(limits.counts, name)
		}
	}
	return true
}

// sample updates a node's rates by its counts of requests. Counts that are lower than
// the last ones are those of another process, and add nothing this time.
func (limits *limits) sample(node string, counts map[string]int64) {
	rates := limits.rates[node]
	if rates == nil {
		rates = map[string]float64{}
		limits.rates[node] = rates
	}
	for service, count := range counts {
		rate := max(0, float64(count-limits.counts[node][service])) / rateSampleInterval.Seconds()
		if _, known := limits.counts[node][service]; !known {
			rate = 0
		}
		rates[service] += rateSmoothing * (rate - rates[service])
	}
	limits.counts[node] = counts
}

// limitDigest returns what endpoints have stated to this node, for the other nodes.
func (control *Control) limitDigest() []gossip.EndpointLimit {
	var listed []gossip.EndpointLimit
	for id, observation := range control.limits.own {
		listed = append(listed, gossip.EndpointLimit{
			Endpoint: id, StartedAt: observation.StartedAt.UnixMilli(), Limited: observation.Limited, PerSecond: observation.PerSecond, At: observation.At,
		})
	}
	return listed
}
