package assign

import (
	"context"
	"sync"
	"time"

	"hickorybend/core/batch"
	"hickorybend/core/queue"
	"hickorybend/core/reach"
)

const (
	viewTTL    = 600 * time.Millisecond  // after which a leader whose view is not renewed counts as late; the control loop renews it every 100 ms
	sessionTTL = 2500 * time.Millisecond // after which a node that has reported nothing is counted by its digest; clients report every second while they have requests at replicas
)

// View is what a leader knows of the replicas and of the requests there, by digests.
type View struct {
	Leading bool                               // this node leads its zone, and can serve it
	Pools   map[string][]queue.Replica         // replicas by reach.PoolKey
	Others  map[string]queue.Counts            // requests of other zones, by replica
	Nodes   map[string]map[string]queue.Counts // requests of this zone's nodes, by node and replica
}

// Server answers the nodes of a zone for its leader.
type Server struct {
	mutex    sync.Mutex
	policy   queue.Policy
	view     View
	viewEnd  time.Time // when the view counts no longer
	epoch    int64     // since when this node has led, in Unix nanoseconds; 0 if it does not lead
	queues   map[string]*queue.Queue
	sessions map[string]session
	expired  int
}

// session is what a server keeps of a node that reports.
type session struct {
	until  time.Time // when what it has reported counts no longer
	number int64     // of the last call with reports
}

// NewServer creates a server of a node that does not lead.
func NewServer(policy queue.Policy) *Server {
	return &Server{policy: policy, queues: map[string]*queue.Queue{}, sessions: map[string]session{}}
}

// Update sets the view. A node that begins to lead knows nothing of the requests at replicas
// but what digests say, until the nodes of its zone have reported theirs.
func (server *Server) Update(view View, now time.Time) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if !view.Leading {
		server.epoch = 0
		clear(server.queues)
		clear(server.sessions)
		return
	}
	if server.epoch == 0 {
		server.epoch = now.UnixNano()
	}
	server.view, server.viewEnd = view, now.Add(viewTTL)
	server.endSessions(now)
	for key, each := range server.queues {
		if view.Pools[key] == nil { // for a moment, perhaps: its requests still run
			each.SetReplicas(nil)
			server.expired += each.Expire(now)
		}
		if view.Pools[key] == nil && each.Empty() {
			delete(server.queues, key)
		}
	}
	for key, replicas := range view.Pools {
		each := server.queues[key]
		if each == nil {
			each = queue.New(server.policy)
			server.queues[key] = each
		}
		each.SetReplicas(replicas)
		server.expired += each.Expire(now)
	}
	server.setOthers()
}

// endSessions forgets the requests of nodes that have reported nothing for long.
func (server *Server) endSessions(now time.Time) {
	for node, session := range server.sessions {
		if now.Before(session.until) {
			continue
		}
		delete(server.sessions, node)
		for _, each := range server.queues {
			each.DropNode(node)
		}
	}
}

// setOthers sets the requests of other zones, and of the nodes of this zone that do not
// report theirs.
func (server *Server) setOthers() {
	for key, replicas := range server.view.Pools {
		for _, replica := range replicas {
			sum := server.view.Others[replica.ID]
			for node, counts := range server.view.Nodes {
				if _, reports := server.sessions[node]; !reports {
					sum.InFlight += counts[replica.ID].InFlight
					sum.PendingTokens += counts[replica.ID].PendingTokens
				}
			}
			server.queues[key].SetOthers(replica.ID, sum)
		}
	}
}

// InFlight returns the requests at each replica that nodes have reported or the server has
// assigned, and whose they are: those of the nodes that report.
func (server *Server) InFlight() (counts map[string]queue.Counts, nodes map[string]bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	counts, nodes = map[string]queue.Counts{}, map[string]bool{}
	for _, each := range server.queues {
		for id, count := range each.InFlight() {
			counts[id] = count
		}
	}
	for node := range server.sessions {
		nodes[node] = true
	}
	return counts, nodes
}

// leads reports whether the server answers now.
func (server *Server) leads(now time.Time) bool {
	return server.epoch != 0 && now.Before(server.viewEnd)
}

// report handles a node's reports.
func (server *Server) report(_ context.Context, request *reportRequest) (*reportReply, error) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	reply := server.accept(request, time.Now())
	return &reply, nil
}

// accept applies a node's reports.
func (server *Server) accept(request *reportRequest, now time.Time) reportReply {
	if !server.leads(now) {
		return reportReply{}
	}
	session, known := server.sessions[request.Node]
	if request.Epoch != server.epoch {
		known = false
	}
	if request.Number > 0 && request.Number <= session.number {
		return reportReply{Epoch: server.epoch, Unknown: !known} // its time was over, and the node has reported anew since
	}
	if request.Full {
		for _, each := range server.queues {
			each.DropNode(request.Node)
		}
	}
	for _, report := range request.Reports {
		server.apply(request.Node, report, now)
	}
	if known || request.Full {
		session.until, session.number = now.Add(sessionTTL), max(session.number, request.Number)
		server.sessions[request.Node] = session
	}
	if !known && request.Full {
		server.setOthers() // its digest counts no longer
	}
	return reportReply{Epoch: server.epoch, Unknown: !known && !request.Full}
}

// apply applies a report.
func (server *Server) apply(node string, report report, now time.Time) {
	key := queue.Key{Node: node, ID: report.ID}
	if report.Stage == stageEnded {
		for _, each := range server.queues {
			each.Ended(key)
		}
		return
	}
	each := server.queues[reach.PoolKey(report.Service, report.Model)]
	if each == nil {
		return
	}
	each.Begun(key, report.Replica, batch.Work{PromptTokens: report.Prompt, AnswerTokens: report.Answer}, now.Add(time.Duration(report.Left)))
	if report.Stage == stageStarted {
		each.Started(key)
	}
}

// place decides on a request. Of a caller that has given up meanwhile it counts nothing.
func (server *Server) place(ctx context.Context, request *placeRequest) (*placeReply, error) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	now := time.Now()
	reply := &placeReply{reportReply: server.accept(&request.reportRequest, now)}
	each := server.queues[reach.PoolKey(request.Service, request.Model)]
	if reply.Epoch == 0 || each == nil || ctx.Err() != nil {
		return reply, nil
	}
	switch decision := each.Place(request.question(now), now).(type) {
	case queue.Assign:
		reply.Endpoint = decision.Replica
	case queue.Reject:
		reply.Rejected, reply.RetryAfter = true, int64(decision.RetryAt.Sub(now))
	}
	return reply, nil
}

// question returns the request as the queue needs to know it.
func (placerequest *placeRequest) question(now time.Time) queue.Request {
	return queue.Request{
		Key: queue.Key{Node: placerequest.Node, ID: placerequest.ID}, Work: batch.Work{PromptTokens: placerequest.Prompt, AnswerTokens: placerequest.Answer},
		FirstBy: now.Add(time.Duration(placerequest.FirstLeft)), Deadline: now.Add(time.Duration(placerequest.Left)), Pause: time.Duration(placerequest.Pause),
		Priority: placerequest.Priority, Team: placerequest.Team, Resumed: placerequest.Resumed, Unusable: placerequest.Unusable,
	}
}
