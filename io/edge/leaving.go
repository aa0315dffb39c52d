package edge

import (
	"time"

	"go.uber.org/zap"

	"hickorybend/core/fleet"
	"hickorybend/io/event"
	"hickorybend/io/gossip"
)

// endpointLeaves reports that an endpoint has said in an answer that it leaves.
type endpointLeaves struct {
	endpoint  string
	startedAt time.Time // of the incarnation that said so; zero for the known one
}

func (endpointLeaves) message() {}

// Leaving records that an endpoint has said in an answer that it leaves. It does not
// wait for the control loop.
func (control *Control) Leaving(endpoint string, startedAt time.Time) {
	go control.enqueue(endpointLeaves{endpoint: endpoint, startedAt: startedAt})
}

// handleLeaving treats an endpoint like one whose row says that it is draining, until
// it starts again, and tells the other nodes by the digest.
func (control *Control) handleLeaving(leaves endpointLeaves, from source, now time.Time) {
	endpoints := &control.endpoints
	endpoint, found := endpoints.byID[leaves.endpoint]
	if !found || endpoints.saysLeaving(endpoint) || !leaves.startedAt.IsZero() && !leaves.startedAt.Equal(endpoint.StartedAt) {
		return
	}
	endpoints.leaving[endpoint.ID] = endpoint.StartedAt
	endpoints.load(endpoint.ID).MarkLeaving(endpoint.StartedAt)
	endpoint.Draining = true
	endpoints.byID[endpoint.ID] = endpoint
	control.snapshotStale = true
	event.Log(control.log, event.EndpointChanged, zap.String("endpoint", endpoint.ID), zap.String("address", endpoint.Address),
		zap.Bool("draining", true), zap.String("replica", endpoint.Membership.Replica), zap.String("from", string(from)),
		zap.Duration("age", control.copies.age(tableEndpoints, now)))
}

// saysLeaving reports whether the present incarnation of an endpoint has said that it
// leaves.
func (endpoints *endpoints) saysLeaving(endpoint fleet.Endpoint) bool {
	startedAt, found := endpoints.leaving[endpoint.ID]
	return found && startedAt.Equal(endpoint.StartedAt)
}

// forgetEarlierIncarnation forgets what an endpoint said before its present start.
func (endpoints *endpoints) forgetEarlierIncarnation(endpoint fleet.Endpoint) {
	if !endpoints.saysLeaving(endpoint) {
		delete(endpoints.leaving, endpoint.ID)
	}
}

// leavingList returns the endpoints that have said that they leave, for the digest.
func (endpoints *endpoints) leavingList() []gossip.Leaving {
	var listed []gossip.Leaving
	for id, startedAt := range endpoints.leaving {
		listed = append(listed, gossip.Leaving{Endpoint: id, StartedAt: startedAt.UnixMilli()})
	}
	return listed
}

// learnLeaving takes from another node's digest which endpoints have said that they
// leave.
func (control *Control) learnLeaving(digest gossip.Digest, now time.Time) {
	for _, leaving := range digest.Leaving {
		control.handleLeaving(endpointLeaves{endpoint: leaving.Endpoint, startedAt: time.UnixMilli(leaving.StartedAt)}, fromPeer, now)
	}
}
