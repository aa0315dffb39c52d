package entry

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"hickorybend/core/site"
)

// loss says where a late stream lost the most time.
type loss string

const (
	lossNone   loss = ""               // it was not late
	lossBefore loss = "before-sending" // until it was sent to the endpoint that answered
	lossFirst  loss = "first-event"    // in that endpoint's queue and prefill
	lossPause  loss = "pause"          // between two events
)

// lossOf returns where a stream lost the most time, given the time until it was sent, from then on
// until its first event, and its longest pause, with the objectives of its route.
func lossOf(before, first, pause time.Duration, route *site.Route) loss {
	stream, ok := route.Kind.(site.Stream)
	switch {
	case !ok:
		return lossNone
	case before+first > route.LatencyObjective && before > first:
		return lossBefore
	case before+first > route.LatencyObjective:
		return lossFirst
	case stream.PauseObjective > 0 && pause > stream.PauseObjective:
		return lossPause
	}
	return lossNone
}

// recordLoss adds a late stream to the histograms, and returns the fields of its log line.
func (request *request) recordLoss() []zap.Field {
	if request.route == nil || request.sentAt.IsZero() {
		return nil
	}
	before, first := request.sentAt.Sub(request.receivedAt), request.firstEventAt.Sub(request.sentAt)
	loss := lossOf(before, first, request.longestGap, request.route)
	if loss == lossNone {
		return nil
	}
	zone := "own-zone"
	if request.otherZone {
		zone = "other-zone"
	}
	losses := request.server.meter.Losses(strings.Join([]string{request.route.Name, request.header.Model, request.team, zone}, "/"))
	losses.BeforeSending.Update(before.Microseconds())
	losses.FirstEvent.Update(first.Microseconds())
	losses.Pause.Update(request.longestGap.Microseconds())
	return []zap.Field{zap.String("late", string(loss)), zap.Duration("before", before), zap.Bool("other-zone", request.otherZone)}
}
