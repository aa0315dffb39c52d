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

// Desk answers the nodes of a zone for its leader.
type Desk struct {
	mutex    sync.Mutex
	policy   queue.Policy
	view     View
	viewEnd  time.Time // when the view counts no longer
	epoch    int64     // since when this node has led, in Unix nanoseconds; 0 if it does not lead
	queues   map[string]*queue.Queue
	sessions map[string]session
	expired  int
}

// session is what a desk keeps of a node that reports.
type session struct {
	until  time.Time // when what it has reported counts no longer
	number int64     // of the last call with reports
}

// NewDesk creates a desk of a node that does not lead.
func NewDesk(policy queue.Policy) *Desk {
	return &Desk{policy: policy, queues: map[string]*queue.Queue{}, sessions: map[string]session{}}
}

// Update sets the view. A node that begins to lead knows nothing of the requests at replicas
// but what digests say, until the nodes of its zone have reported theirs.
func (desk *Desk) Update(view View, now time.Time) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	if !view.Leading {
		desk.epoch = 0
		clear(desk.queues)
		clear(desk.sessions)
		return
	}
	if desk.epoch == 0 {
		desk.epoch = now.UnixNano()
	}
	desk.view, desk.viewEnd = view, now.Add(viewTTL)
	desk.endSessions(now)
	for key, each := range desk.queues {
		if view.Pools[key] == nil { // for a moment, perhaps: its requests still run
			each.SetReplicas(nil)
			desk.expired += each.Expire(now)
		}
		if view.Pools[key] == nil && each.Empty() {
			delete(desk.queues, key)
		}
	}
	for key, replicas := range view.Pools {
		each := desk.queues[key]
		if each == nil {
			each = queue.New(desk.policy)
			desk.queues[key] = each
		}
		each.SetReplicas(replicas)
		desk.expired += each.Expire(now)
	}
	desk.setOthers()
}

// endSessions forgets the requests of nodes that have reported nothing for long.
func (desk *Desk) endSessions(now time.Time) {
	for node, session := range desk.sessions {
		if now.Before(session.until) {
			continue
		}
		delete(desk.sessions, node)
		for _, each := range desk.queues {
			each.DropNode(node)
		}
	}
}

// setOthers sets the requests of other zones, and of the nodes of this zone that do not
// report theirs.
func (desk *Desk) setOthers() {
	for key, replicas := range desk.view.Pools {
		for _, replica := range replicas {
			sum := desk.view.Others[replica.ID]
			for node, counts := range desk.view.Nodes {
				if _, reports := desk.sessions[node]; !reports {
					sum.InFlight += counts[replica.ID].InFlight
					sum.PendingTokens += counts[replica.ID].PendingTokens
				}
			}
			desk.queues[key].SetOthers(replica.ID, sum)
		}
	}
}

// InFlight returns the requests at each replica that nodes have reported or the desk has
// assigned, and whose they are: those of the nodes that report.
func (desk *Desk) InFlight() (counts map[string]queue.Counts, nodes map[string]bool) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	counts, nodes = map[string]queue.Counts{}, map[string]bool{}
	for _, each := range desk.queues {
		for id, count := range each.InFlight() {
			counts[id] = count
		}
	}
	for node := range desk.sessions {
		nodes[node] = true
	}
	return counts, nodes
}

// leads reports whether the desk answers now.
func (desk *Desk) leads(now time.Time) bool { return desk.epoch != 0 && now.Before(desk.viewEnd) }

// report handles a node's reports.
func (desk *Desk) report(_ context.Context, request *reportRequest) (*reportReply, error) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	reply := desk.accept(request, time.Now())
	return &reply, nil
}

// accept applies a node's reports.
func (desk *Desk) accept(request *reportRequest, now time.Time) reportReply {
	if !desk.leads(now) {
		return reportReply{}
	}
	session, known := desk.sessions[request.Node]
	if request.Epoch != desk.epoch {
		known = false
	}
	if request.Number > 0 && request.Number <= session.number {
		return reportReply{Epoch: desk.epoch, Unknown: !known} // its time was over, and the node has reported anew since
	}
	if request.Full {
		for _, each := range desk.queues {
			each.DropNode(request.Node)
		}
	}
	for _, report := range request.Reports {
		desk.apply(request.Node, report, now)
	}
	if known || request.Full {
		session.until, session.number = now.Add(sessionTTL), max(session.number, request.Number)
		desk.sessions[request.Node] = session
	}
	if !known && request.Full {
		desk.setOthers() // its digest counts no longer
	}
	return reportReply{Epoch: desk.epoch, Unknown: !known && !request.Full}
}

// apply applies a report.
func (desk *Desk) apply(node string, report report, now time.Time) {
	key := queue.Key{Node: node, ID: report.ID}
	if report.Stage == stageEnded {
		for _, each := range desk.queues {
			each.Ended(key)
		}
		return
	}
	each := desk.queues[reach.PoolKey(report.Service, report.Model)]
	if each == nil {
		return
	}
	each.Begun(key, report.Replica, batch.Work{PromptTokens: report.Prompt, AnswerTokens: report.Answer}, now.Add(time.Duration(report.Left)))
	if report.Stage == stageStarted {
		each.Started(key)
	}
}

// place decides on a request. Of a caller that has given up meanwhile it counts nothing.
func (desk *Desk) place(ctx context.Context, request *placeRequest) (*placeReply, error) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	now := time.Now()
	reply := &placeReply{reportReply: desk.accept(&request.reportRequest, now)}
	each := desk.queues[reach.PoolKey(request.Service, request.Model)]
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
func (request *placeRequest) question(now time.Time) queue.Request {
	return queue.Request{
		Key: queue.Key{Node: request.Node, ID: request.ID}, Work: batch.Work{PromptTokens: request.Prompt, AnswerTokens: request.Answer},
		FirstBy: now.Add(time.Duration(request.FirstLeft)), Deadline: now.Add(time.Duration(request.Left)), Pause: time.Duration(request.Pause),
		Priority: request.Priority, Team: request.Team, Resumed: request.Resumed, Unusable: request.Unusable,
	}
}
