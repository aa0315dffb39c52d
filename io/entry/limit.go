package entry

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"hickorybend/core/reach"
	"hickorybend/io/event"
	"hickorybend/platform"
)

// StatedLimit is what an endpoint said in an answer of the requests that it takes from
// all nodes together.
type StatedLimit struct {
	Endpoint  string
	StartedAt time.Time // of the incarnation of the endpoint
	Limited   bool      // it stated a limit
	PerSecond float64
	At        time.Time
}

// WithLimits sets the function that is called when an endpoint states a limit, and when
// it no longer does.
func WithLimits(stated func(StatedLimit)) Option {
	return func(server *Server) { server.limitStated = stated }
}

// readLimit applies the limit that an endpoint states in an answer. Only a success
// without one ends a limit: another endpoint may have answered at this address, or a
// process before it.
func (request *request) readLimit(candidate *reach.Candidate, status int, responseheader platform.ResponseHeader) {
	limit := responseheader.Limit
	if limit.Unusable != "" {
		request.server.unusableLimit.Do(func() {
			event.Log(request.server.log, event.LimitUnusable, zap.String("endpoint", candidate.ID), zap.String("value", limit.Unusable))
		})
	}
	ends := status < http.StatusMultipleChoices && responseheader.Receipt
	if status == http.StatusMisdirectedRequest || !limit.Stated && !ends {
		return
	}
	now := time.Now()
	if candidate.Load.RecordLimit(limit.Stated, limit.PerSecond, now) {
		request.server.limitStated(StatedLimit{Endpoint: candidate.ID, StartedAt: candidate.StartedAt, Limited: limit.Stated, PerSecond: limit.PerSecond, At: now})
	}
}
