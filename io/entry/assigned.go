package entry

import (
	"hickorybend/core/batch"
	"hickorybend/core/reach"
	"hickorybend/core/site"
	"hickorybend/io/assign"
)

// WithAssigner sets the client that asks the leader of this node's zone which replica should
// serve a request. Without one this node decides by itself.
func WithAssigner(assigner *assign.Client) Option {
	return func(server *Server) { server.assigner = assigner }
}

// chooseAlone picks an endpoint without the leader.
func (request *request) chooseAlone(servicepool *reach.ServicePool, routed reach.Request) reach.Decision {
	return reach.Choose(request.server.routing, servicepool, routed)
}

// advised picks the endpoint that the leader of this node's zone assigns, if the request may be
// sent there, and otherwise one by itself.
func (request *request) advised(servicepool *reach.ServicePool, routed reach.Request) reach.Decision {
	if request.server.assigner == nil || servicepool == nil || !(batch.Replica{Engine: servicepool.Engine}).Known() {
		return request.chooseAlone(servicepool, routed)
	}
	request.returnTicket()
	switch advice := request.server.assigner.Place(request.r.Context(), request.question(servicepool, routed)).(type) {
	case assign.Send:
		request.ticket, request.ticketFor = advice.Ticket, advice.Endpoint
		if candidate := reach.Take(servicepool, routed, advice.Endpoint); candidate != nil {
			request.assigned++
			request.server.meter.Count("assignments", "assigned")
			return reach.Send{Candidate: candidate}
		}
		request.returnTicket()
		request.server.meter.Count("assignments", "not-usable")
	case assign.Reject:
		request.server.meter.Count("assignments", "rejected")
		return reach.Reject{Reason: reach.ReasonLate, RetryAt: advice.RetryAt}
	case assign.None:
		request.server.meter.Count("assignments", "decided-alone")
	}
	return request.chooseAlone(servicepool, routed)
}

// question describes the request for the leader.
func (request *request) question(servicepool *reach.ServicePool, routed reach.Request) assign.Question {
	question := assign.Question{
		Service: request.service, Model: routed.Model, Work: request.work(), FirstBy: routed.Deadline, Deadline: request.deadline,
		Priority: request.priority, Team: request.team, Resumed: routed.Resumed, Unusable: reach.Unusable(servicepool, routed),
	}
	if stream, ok := request.route.Kind.(site.Stream); ok {
		question.Pause = stream.PauseObjective
	}
	return question
}

// work returns what the request asks of a replica.
func (request *request) work() batch.Work {
	return batch.Work{PromptTokens: request.header.PromptTokens, AnswerTokens: request.answerTokens()}
}

// beginAssigned has the leader told of an attempt that begins now, and returns its ticket.
func (request *request) beginAssigned(candidate *reach.Candidate) uint64 {
	service := request.snapshot.Services[request.service]
	if request.server.assigner == nil || candidate.IsPeer || service == nil || service.Engine == nil {
		return 0
	}
	ticket := uint64(0)
	if request.ticketFor == candidate.ID {
		ticket, request.ticket, request.ticketFor = request.ticket, 0, ""
	}
	return request.server.assigner.Begin(ticket, request.service, request.header.Model, candidate.ID, request.work(), request.deadline)
}

// startAssigned has the leader told that the first event of an attempt has come.
func (server *Server) startAssigned(attempt *attempt) {
	if attempt.ticket != 0 {
		server.assigner.Started(attempt.ticket)
	}
}

// endAssigned has the leader told that an attempt has ended.
func (server *Server) endAssigned(attempt *attempt) {
	if attempt.ticket != 0 {
		server.assigner.End(attempt.ticket)
	}
}

// returnTicket has the leader told that the request is not sent to the endpoint that was assigned.
func (request *request) returnTicket() {
	if request.ticket != 0 {
		request.server.assigner.End(request.ticket)
		request.ticket, request.ticketFor = 0, ""
	}
}
