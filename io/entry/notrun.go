package entry

import (
	"time"

	"go.uber.org/zap"

	"hickorybend/io/event"
	"hickorybend/io/pool"
	"hickorybend/platform"
)

// logNotRun logs a statement that a request has not run, with what it came with. The outcome is
// that of another node, or empty.
func (request *request) logNotRun(attempt *attempt, exchange *pool.Exchange, outcome string) {
	responseheader := platform.ReadResponseHeader(exchange.Response)
	event.Log(request.server.log, event.AttemptNotRun, zap.String("request", request.header.RequestID), zap.String("endpoint", attempt.candidate.ID),
		zap.Bool("node", attempt.candidate.IsPeer), zap.String("outcome", outcome), zap.Int("status", exchange.Response.StatusCode),
		zap.Strings("ids", responseheader.RequestIDs), zap.Bool("receipt", responseheader.Receipt), zap.Bool("header", responseheader.SaysNotRun),
		zap.Bool("new-connection", exchange.NewConnection), zap.Int("unread", exchange.Unread()), zap.Duration("took", time.Since(attempt.sentAt)))
}
