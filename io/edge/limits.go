package edge

import (
	"time"

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
	rateSampleInterval = time.Second
)

// limits is what this node knows of endpoints that limit the requests that they take
// from all nodes together. The maps are by endpoint ID, or by node name.
type limits struct {
	known        map[string]limit.Observation  // the newest of all nodes
	own          map[string]limit.Observation  // the newest of this node, which it tells the others
	shown        map[string]bool               // endpoints whose limit was logged
	counts       map[string]map[string]int64   // requests by node and service at the last sample
	rates        map[string]map[string]float64 // requests a second by node and service
	nextSampleAt time.Time
}

func newLimits() limits {
	return limits{
		known: map[string]limit.Observation{}, own: map[string]limit.Observation{}, shown: map[string]bool{},
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
	if !found || !endpoint.StartedAt.Equal(observation.StartedAt) || !observation.NewerThan(control.limits.known[id]) {
		return
	}
	control.limits.known[id] = observation
	control.setShare(id, now)
}

// shareLimits brings the shares of limited endpoints up to date, and forgets the limits
// that no longer hold.
func (control *Control) shareLimits(now time.Time) {
	control.sampleRates(now)
	for id := range control.limits.known {
		control.setShare(id, now)
	}
	for id, observation := range control.limits.own {
		if !observation.Limited && now.Sub(observation.At) > limitTold || now.Sub(observation.At) > limitTTL {
			delete(control.limits.own, id)
		}
	}
}

// setShare limits the requests of this node to an endpoint by its share of the limit,
// or ends that.
func (control *Control) setShare(id string, now time.Time) {
	limits := &control.limits
	observation := limits.known[id]
	endpoint, found := control.endpoints.byID[id]
	load := control.endpoints.load(id)
	if !found || !endpoint.StartedAt.Equal(observation.StartedAt) || now.Sub(observation.At) > limitTTL {
		delete(limits.known, id)
		observation.Limited = false
	}
	if !observation.Limited {
		load.RemoveRate()
		if limits.shown[id] {
			delete(limits.shown, id)
			event.Log(control.log, event.EndpointUnlimited, zap.String("endpoint", id), zap.Bool("stated", found && limits.known[id].At.Equal(observation.At)))
		}
		return
	}
	share := limit.Share(id, observation.PerSecond, control.requestRates(endpoint.Service, now))
	load.SetRate(share)
	if !limits.shown[id] {
		limits.shown[id] = true
		event.Log(control.log, event.EndpointLimited, zap.String("endpoint", id), zap.Float64("limit", observation.PerSecond), zap.Float64("share", share))
	}
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

// sampleRates brings the request rates of the nodes up to date.
func (control *Control) sampleRates(now time.Time) {
	limits := &control.limits
	if now.Before(limits.nextSampleAt) {
		return
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
