package entry

import (
	"cmp"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"hickorybend/core/reach"
	"hickorybend/io/event"
	"hickorybend/io/pool"
	"hickorybend/platform"
)

// A node that does not reach the endpoints which a request needs sends the request to
// another node, which serves it like one of its own callers': it chooses the endpoint,
// and the request counts toward its limits and budgets. The request keeps its headers,
// with the caller's key. A request is sent on once, so that nodes that are all cut off
// reject it rather than pass it around. The other node has it run by one endpoint at most:
// the first node counts the attempts, also those whose outcome it never learns.

// Headers between nodes. Those of a caller or an endpoint with these names are dropped.
// An outcome also bears the ID of its request.
const (
	peerHeaderPrefix  = "Hickorybend-Peer-"
	headerPeerKey     = peerHeaderPrefix + "Key"     // authenticates nodes to each other
	headerPeerNode    = peerHeaderPrefix + "Node"    // the node that sends the request on
	headerPeerCounted = peerHeaderPrefix + "Counted" // set if another node has counted the request
	headerPeerOutcome = peerHeaderPrefix + "Outcome" // of a request that no endpoint has answered
)

// The values of headerPeerOutcome.
const (
	peerRejected = "rejected" // the request has not run and will not
	peerFailed   = "failed"   // it may have run
)

const (
	maxPeers        = 2            // nodes that a request is sent to, one after the other
	peerIdleTimeout = "timeout=55" // less than the listener for other nodes keeps idle connections open
)

// errPeerFailed means that another node could not get an answer to a request, which may
// have run. Its text can reach the caller in the body of a 502.
var errPeerFailed = errors.New("entry: another node got no answer")

// WithPeers sets the function that returns the other nodes, this node's name and the key
// with which nodes authenticate to each other.
func WithPeers(peers func() *reach.Peers, self, key string) Option {
	return func(server *Server) { server.peers, server.self, server.peerKey = peers, self, key }
}

// IsPeerRequest reports whether a request comes from another node, which has the key.
func (server *Server) IsPeerRequest(r *http.Request) bool {
	key := r.Header.Get(headerPeerKey)
	return key != "" && subtle.ConstantTimeCompare([]byte(key), []byte(server.peerKey)) == 1
}

// ServePeer answers a request that another node has sent on. IsPeerRequest must hold.
func (server *Server) ServePeer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Keep-Alive", peerIdleTimeout)
	request := &request{server: server, w: w, r: r, from: cmp.Or(r.Header.Get(headerPeerNode), "unknown"), receivedAt: time.Now()}
	request.counted.Store(r.Header.Get(headerPeerCounted) != "")
	server.serve(request)
}

// isPeerHeader reports whether a header is one between nodes.
func isPeerHeader(name string) bool { return strings.HasPrefix(name, peerHeaderPrefix) }

// choosePeer returns the node that the request is sent to because this node does not reach
// the endpoints, or nil if there is none.
func (request *request) choosePeer(snapshot *reach.Snapshot, resumed bool) *reach.Candidate {
	if !request.mayTryPeer() {
		return nil
	}
	routing, peers, servicepool, routed := request.server.routing, request.server.peers(), snapshot.Services[request.service], request.routingRequest(resumed)
	if peer := reach.ChoosePeer(routing, peers, servicepool, routed); peer != nil {
		return peer
	}
	return reach.ChooseOwner(routing, peers, servicepool, routed)
}

// mayTryPeer reports whether the request may be sent to a further node.
func (request *request) mayTryPeer() bool {
	return request.from == "" && request.peersTried < maxPeers
}

// send sends the request to the candidate of an attempt. It counts the request unless no byte
// has left this node; another node counts what it receives, if nobody has before.
func (request *request) send(attempt *attempt) (*pool.Exchange, error) {
	server, candidate := request.server, attempt.candidate
	if !request.mayGet(candidate) {
		return nil, errors.Mark(errNotHome, pool.ErrGivenUp)
	}
	if !candidate.SameZone {
		server.meter.Count("sent_to_other_zones", request.service)
	}
	if !candidate.IsPeer {
		exchange, err := server.pool.Send(attempt.ctx, candidate.Address, request.forwardedRequest(candidate, attempt.resumeAfter))
		if !errors.Is(err, pool.ErrUnsent) {
			request.count()
		}
		return exchange, err
	}
	countsThere := request.counted.CompareAndSwap(false, true)
	exchange, err := server.pool.Send(attempt.ctx, candidate.Address, request.peerRequest(attempt, countsThere))
	if countsThere && errors.Is(err, pool.ErrUnsent) {
		request.counted.Store(false)
	}
	return exchange, err
}

// peerRequest returns the request as it is sent to another node.
func (request *request) peerRequest(attempt *attempt, countsThere bool) pool.Request {
	header := make(http.Header, len(request.r.Header)+len(peerHeaderPrefix))
	copyHeaders(header, request.r.Header)
	platform.SetPeerHeader(header, time.Until(request.deadline), attempt.resumeAfter)
	header.Set(headerPeerKey, request.server.peerKey)
	header.Set(headerPeerNode, request.server.self)
	if !countsThere {
		header.Set(headerPeerCounted, "1")
	}
	return pool.Request{
		ID: request.header.RequestID, Method: request.r.Method, Target: request.r.RequestURI, Host: request.r.Host, Header: header, Body: request.body,
		AtMostOnce: request.atMostOnce(), Wanted: request.callerStays,
	}
}

// readPeerOutcome returns the result of an attempt at another node that has no endpoint's
// answer, or nil if it has one. An endpoint has no outcome to report, whatever its headers
// are.
func (request *request) readPeerOutcome(attempt *attempt, exchange *pool.Exchange) result {
	outcome := exchange.Response.Header.Get(headerPeerOutcome)
	if outcome == "" || !attempt.candidate.IsPeer {
		return nil
	}
	if !request.belongsTo(platform.ReadResponseHeader(exchange.Response)) {
		exchange.Close()
		return request.handleFailure(attempt, errors.Mark(errors.New("entry: the node's outcome is another request's"), pool.ErrIncompleteResponse))
	}
	if _, err := exchange.ReadBody(maxUnsignedBytes); err != nil {
		return request.handleFailure(attempt, causeOf(attempt.ctx, err))
	}
	if outcome != peerRejected {
		exchange.Release()
		return incomplete{cause: errPeerFailed}
	}
	request.logNotRun(event.AttemptNotRun, attempt, exchange)
	exchange.Release()
	now := time.Now()
	attempt.candidate.Load.Avoid(now.Add(request.server.policy.FullBackoff))
	request.peerRetryAt.Store(now.Add(platform.ReadResponseHeader(exchange.Response).RetryAfter.Delay).UnixNano())
	return notExecuted{}
}

// markPeerOutcome tells the node that has sent the request on whether it may have run.
func (request *request) markPeerOutcome() {
	if request.from == "" {
		return
	}
	outcome := peerRejected
	if request.mayHaveRun {
		outcome = peerFailed
	}
	request.w.Header().Set(headerPeerOutcome, outcome)
	platform.SetRequestID(request.w.Header(), request.header.RequestID)
}

// count counts the request toward the limits and budgets of this node, unless that has been
// done, here or at another node.
func (request *request) count() {
	if !request.counted.CompareAndSwap(false, true) {
		return
	}
	request.server.recordRequest(request.service, request.receivedAt)
	request.recordDemand()
}
