package assign

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"hickorybend/core/batch"
)

const (
	answerTimeout  = 25 * time.Millisecond // for the leader's answer; a round trip between zones takes 6 ms
	reportTimeout  = 500 * time.Millisecond
	reportInterval = 50 * time.Millisecond // after which what has happened is reported, unless a question takes it along
	renewInterval  = time.Second           // after which a node with requests at replicas reports, even if nothing has happened
	leaderBackoff  = time.Second           // for which a leader is not asked that says that it cannot lead, or does not answer
	maxUnanswered  = 3                     // questions in a row without an answer, after which the leader is not asked for a while
	maxConnections = 4                     // kept to the leader
	idleTimeout    = 30 * time.Second
)

// Question is what a node asks about a request.
type Question struct {
	Service  string
	Model    string
	Work     batch.Work
	FirstBy  time.Time // when its first event is due
	Deadline time.Time
	Pause    time.Duration // objective for the longest pause between two events; 0 for none
	Priority int           // 0 is the most urgent
	Team     string
	Resumed  bool     // part of its answer has been delivered
	Unusable []string // endpoints that the node cannot send it to
}

// Advice is Send, Reject or None.
type Advice interface {
	advice()
}

// Send says which endpoint should get a request. Its ticket must be passed to Begin or End.
type Send struct {
	Endpoint string
	Ticket   uint64
}

// Reject says that the request should be rejected; the caller may retry later.
type Reject struct {
	RetryAt time.Time
}

// None says that the node decides by itself.
type None struct{}

func (Send) advice()   {}
func (Reject) advice() {}
func (None) advice()   {}

// Client asks the leader of its node's zone, if there is one.
type Client struct {
	node string
	key  string
	http *http.Client

	mutex      sync.Mutex
	leader     leader // nil if none is to be asked
	leaderName string
	address    string
	askAfter   time.Time // before which the leader is not asked
	unanswered int       // questions in a row
	epoch      int64     // the leader's, as last heard
	full       bool      // the leader needs a report on all requests
	number     int64     // of the last call with reports
	reporting  bool      // a call that takes reports along is pending, so that they come in order
	lastID     uint64
	live       map[uint64]request
	changes    []change
	timer      *time.Timer
	timerAt    time.Time // when it fires; zero if it does not
}

// request is a request of this node at a replica.
type request struct {
	service  string
	model    string
	replica  string
	work     batch.Work
	deadline time.Time
	stage    int
}

// change is a stage that a request has got to.
type change struct {
	id    uint64
	stage int
}

// NewClient creates a client of a node that asks nobody.
func NewClient(node, peerKey string) *Client {
	dialer := &net.Dialer{Timeout: reportTimeout}
	return &Client{
		node: node, key: peerKey, live: map[uint64]request{}, number: time.Now().UnixNano(), // above that of the node's last process
		http: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxConnections, IdleConnTimeout: idleTimeout, DisableCompression: true}},
	}
}

// SetLeader sets the leader that the client asks, by its name and address. Without a name it asks
// nobody. A server is given if this node leads itself.
func (client *Client) SetLeader(name, address string, server *Server) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if name == client.leaderName && address == client.address {
		return
	}
	client.leaderName, client.address, client.leader = name, address, nil
	client.askAfter, client.unanswered, client.epoch, client.full = time.Time{}, 0, 0, true
	client.changes = nil
	switch {
	case server != nil:
		client.leader = server
	case name != "":
		client.leader = newRemote(client.http, address, client.key)
	}
	if client.leader != nil && len(client.live) > 0 {
		client.schedule(time.Now())
	}
}

// Place asks the leader about a request.
func (client *Client) Place(ctx context.Context, question Question) Advice {
	now := time.Now()
	client.mutex.Lock()
	if client.leader == nil || now.Before(client.askAfter) {
		client.mutex.Unlock()
		return None{}
	}
	client.lastID++
	id, leader := client.lastID, client.leader
	reports, carries := client.takeReports(now)
	client.mutex.Unlock()
	limited, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	reply, err := leader.place(limited, &placeRequest{
		reportRequest: reports, ID: id, Service: question.Service, Model: question.Model, Prompt: question.Work.PromptTokens, Answer: question.Work.AnswerTokens,
		FirstLeft: int64(question.FirstBy.Sub(now)), Left: int64(question.Deadline.Sub(now)), Pause: int64(question.Pause), Priority: question.Priority, Team: question.Team, Resumed: question.Resumed, Unusable: question.Unusable,
	})
	if err != nil {
		client.settle(leader, nil, carries)
		client.handleUnanswered(leader, id, err, ctx.Err() != nil)
		return None{}
	}
	client.settle(leader, &reply.reportReply, carries)
	switch {
	case reply.Rejected:
		return Reject{RetryAt: now.Add(time.Duration(reply.RetryAfter))}
	case reply.Endpoint != "":
		return Send{Endpoint: reply.Endpoint, Ticket: id}
	}
	return None{}
}

// handleUnanswered handles a question without an answer. The leader may have counted the
// request, or may do so yet. One of an older build does not know the call. A caller that has left
// says nothing of the leader.
func (client *Client) handleUnanswered(leader leader, id uint64, err error, callerLeft bool) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if leader != client.leader {
		return
	}
	client.record(id, stageEnded)
	if callerLeft {
		return
	}
	if client.unanswered++; client.unanswered >= maxUnanswered || connect.CodeOf(err) == connect.CodeUnimplemented {
		client.askAfter, client.unanswered = time.Now().Add(leaderBackoff), 0
	}
}

// takeReports returns what there is to report, and whether the call that takes it along must be
// settled. Only one call at a time does. The mutex must be held.
func (client *Client) takeReports(now time.Time) (reports reportRequest, carries bool) {
	reports = reportRequest{Node: client.node, Epoch: client.epoch}
	if client.reporting {
		return reports, false
	}
	client.reporting = true
	client.number++
	reports.Number = client.number
	if client.full {
		reports.Full, client.full, client.changes = true, false, client.changes[:0]
		for id, request := range client.live {
			reports.Reports = append(reports.Reports, request.report(id, request.stage, now))
		}
		return reports, true
	}
	for _, change := range client.changes {
		if change.stage == stageEnded {
			reports.Reports = append(reports.Reports, report{ID: change.id, Stage: stageEnded})
		} else if request, found := client.live[change.id]; found {
			reports.Reports = append(reports.Reports, request.report(change.id, change.stage, now))
		}
	}
	client.changes = client.changes[:0]
	return reports, true
}

func (request request) report(id uint64, stage int, now time.Time) report {
	return report{
		ID: id, Stage: stage, Service: request.service, Model: request.model, Replica: request.replica,
		Prompt: request.work.PromptTokens, Answer: request.work.AnswerTokens, Left: int64(request.deadline.Sub(now)),
	}
}

// settle handles the end of a call. Reports that may not have arrived are made up for by a full one.
func (client *Client) settle(leader leader, reply *reportReply, carries bool) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if carries {
		client.reporting = false
	}
	now := time.Now()
	if leader != client.leader {
		if client.leader != nil && len(client.live) > 0 {
			client.schedule(now) // a report to the new leader has waited for this call
		}
		return
	}
	switch {
	case reply == nil:
		client.full = client.full || carries
	case reply.Epoch == 0:
		client.askAfter, client.full = now.Add(leaderBackoff), true
	default:
		client.unanswered, client.epoch = 0, reply.Epoch
		client.full = client.full || reply.Unknown
	}
	switch {
	case now.Before(client.askAfter):
		client.schedule(client.askAfter)
	case len(client.changes) > 0 || client.full:
		client.schedule(now.Add(reportInterval))
	case len(client.live) > 0:
		client.schedule(now.Add(renewInterval))
	}
}

// schedule has the client report at a time at the latest. The mutex must be held.
func (client *Client) schedule(at time.Time) {
	if !client.timerAt.IsZero() && !at.Before(client.timerAt) {
		return
	}
	client.timerAt = at
	if client.timer == nil {
		client.timer = time.AfterFunc(time.Until(at), client.flush)
		return
	}
	client.timer.Reset(time.Until(at))
}

// flush reports what has happened.
func (client *Client) flush() {
	client.mutex.Lock()
	client.timerAt = time.Time{}
	leader, now := client.leader, time.Now()
	if leader == nil || client.reporting {
		client.mutex.Unlock()
		return // the call that is pending schedules the next report
	}
	if now.Before(client.askAfter) {
		client.schedule(client.askAfter)
		client.mutex.Unlock()
		return
	}
	reports, _ := client.takeReports(now)
	client.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	reply, err := leader.report(ctx, &reports)
	if err != nil {
		client.backOff(leader)
		reply = nil
	}
	client.settle(leader, reply, true)
}

// backOff keeps the client from asking a leader for a while that has not answered a report.
func (client *Client) backOff(leader leader) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if leader == client.leader {
		client.askAfter = time.Now().Add(leaderBackoff)
	}
}

// Begin records that a request is sent to a replica, and returns its ticket: the given one if
// the leader has assigned the request there, or a new one for 0.
func (client *Client) Begin(ticket uint64, service, model, replica string, work batch.Work, deadline time.Time) uint64 {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if ticket == 0 {
		client.lastID++
		ticket = client.lastID
	}
	client.live[ticket] = request{service: service, model: model, replica: replica, work: work, deadline: deadline, stage: stageBegun}
	client.record(ticket, stageBegun) // also of an assigned one, which a full report may have passed on its way
	return ticket
}

// Started records that the first event of a request has come.
func (client *Client) Started(ticket uint64) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	request, found := client.live[ticket]
	if !found || request.stage == stageStarted {
		return
	}
	request.stage = stageStarted
	client.live[ticket] = request
	client.record(ticket, stageStarted)
}

// End records that a request has ended, or is not sent where the leader has assigned it.
func (client *Client) End(ticket uint64) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	delete(client.live, ticket)
	client.record(ticket, stageEnded)
}

// record has a change reported. The mutex must be held.
func (client *Client) record(id uint64, stage int) {
	if client.leader == nil {
		return
	}
	client.changes = append(client.changes, change{id: id, stage: stage})
	client.schedule(time.Now().Add(reportInterval))
}
