package edge

import (
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"hickorybend/core/fleet"
	"hickorybend/io/event"
	"hickorybend/io/pool"
	"hickorybend/platform"
)

// An endpoint without an engine has no report that could be asked for. If this node could
// open no connection to it, the node checks its health until it can again, so that
// requests do not find out one after the other.

const (
	linkCheckInterval = 500 * time.Millisecond
	linkCheckTimeout  = 200 * time.Millisecond
	unreachableFor    = 1500 * time.Millisecond // after a check that failed; longer than until the next one has
	linkLogInterval   = time.Second             // between two lines about checks that failed
)

// endpointUnreachable names an endpoint to which no connection could be opened.
type endpointUnreachable struct {
	endpoint string
}

// linkChecked is the outcome of a check of an unreachable endpoint.
type linkChecked struct {
	endpoint  string
	sentAt    time.Time
	reachable bool
	cause     error // of a check that failed
}

func (endpointUnreachable) message() {}
func (linkChecked) message()         {}

// Unreachable reports an endpoint to which no connection could be opened. It never blocks.
func (control *Control) Unreachable(endpoint string) {
	select {
	case control.messages <- endpointUnreachable{endpoint: endpoint}:
	default: // the queue is full; the next request that fails there reports it again
	}
}

// handleUnreachable checks an endpoint without an engine from now on.
func (control *Control) handleUnreachable(unreachable endpointUnreachable, now time.Time) {
	if _, known := control.endpoints.linkChecks[unreachable.endpoint]; known || !control.isPlain(unreachable.endpoint) {
		return
	}
	control.endpoints.linkChecks[unreachable.endpoint] = now
	control.checkLinks(now)
}

// isPlain reports whether an endpoint is one of a service without an engine that can be
// asked for its health.
func (control *Control) isPlain(id string) bool {
	service, found := control.service(control.endpoints.byID[id].Service)
	return found && service.Engine == nil && service.HealthPath != ""
}

// checkLinks starts the checks of unreachable endpoints that are due.
func (control *Control) checkLinks(now time.Time) {
	for id, dueAt := range control.endpoints.linkChecks {
		endpoint, found := control.endpoints.byID[id]
		service, configured := control.service(endpoint.Service)
		switch {
		case !found, !configured:
			delete(control.endpoints.linkChecks, id)
		case !now.Before(dueAt):
			control.endpoints.linkChecks[id] = now.Add(linkCheckInterval)
			go func() { control.enqueue(control.checkLink(endpoint, service.HealthPath, now)) }()
		}
	}
}

// checkLink asks an endpoint for its health on a new connection. One that accepts it is
// reachable, whether or not it answers in time.
func (control *Control) checkLink(endpoint fleet.Endpoint, path string, now time.Time) linkChecked {
	err := control.engineClient.CheckHealth(control.ctx, endpoint, path, linkCheckTimeout)
	return linkChecked{endpoint: endpoint.ID, sentAt: now, reachable: !errors.IsAny(err, pool.ErrUnsent, platform.ErrEnded) || errors.Is(err, pool.ErrNoRoom), cause: err}
}

func (control *Control) handleLinkChecked(checked linkChecked, now time.Time) {
	load := control.endpoints.load(checked.endpoint)
	if !checked.reachable {
		control.logUnreached(checked, now)
		load.MarkUnreachable(now.Add(unreachableFor))
		control.endpoints.failedAt[checked.endpoint] = checked.sentAt
		return
	}
	load.MarkUnreachable(time.Time{})
	delete(control.endpoints.linkChecks, checked.endpoint)
}

// logUnreached logs a check that failed, once a second.
func (control *Control) logUnreached(checked linkChecked, now time.Time) {
	endpoints := &control.endpoints
	if now.Before(endpoints.nextLinkLogAt) {
		endpoints.linkLogsLeftOut++
		return
	}
	event.Log(control.log, event.EndpointUnreached, zap.String("endpoint", checked.endpoint), zap.String("from", "check"), zap.Duration("took", now.Sub(checked.sentAt)),
		zap.Duration("due", linkCheckTimeout), zap.Duration("late-by", control.lateness.lateBy(checked.sentAt, now)), zap.String("error", checked.cause.Error()), zap.Int("count", endpoints.linkLogsLeftOut))
	endpoints.linkLogsLeftOut, endpoints.nextLinkLogAt = 0, now.Add(linkLogInterval)
}
