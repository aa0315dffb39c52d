package entry

import (
	"time"

	"go.uber.org/zap"

	"hickorybend/io/event"
	"hickorybend/io/pool"
	"hickorybend/platform"
)

// A request is sent to a further endpoint without regard to its kind if it has not run. That
// is known in two cases only: no byte of it has left this node, or the endpoint that it was sent
// to states so, in an answer that bears the request's ID and agrees with the statement in
// everything else. Any other answer counts for what else it says.

// ignoreNotRun logs a statement that a request has not run, which counts for nothing, and removes
// it from the answer. The caller could take it for a promise.
func (request *request) ignoreNotRun(attempt *attempt, exchange *pool.Exchange) {
	request.logNotRun(event.NotRunContradicted, attempt, exchange)
	platform.DropNotExecuted(exchange.Response.Header)
}

// logNotRun logs a statement that a request has not run, with what it came with.
func (request *request) logNotRun(logged event.Event, attempt *attempt, exchange *pool.Exchange) {
	header := exchange.Response.Header
	responseheader := platform.ReadResponseHeader(exchange.Response)
	event.Log(request.server.log, logged, zap.String("request", request.header.RequestID), zap.String("endpoint", attempt.candidate.ID),
		zap.Bool("node", attempt.candidate.IsPeer), zap.String("outcome", header.Get(headerPeerOutcome)), zap.Int("status", exchange.Response.StatusCode),
		zap.Strings("ids", responseheader.RequestIDs), zap.Bool("receipt", responseheader.Receipt), zap.Bool("header", responseheader.SaysNotRun),
		zap.Bool("new-connection", exchange.NewConnection), zap.Bool("unread", exchange.HasUnread()), zap.Duration("took", time.Since(attempt.sentAt)))
}
