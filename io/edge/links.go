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
	late     bool // this node was late meanwhile, so that it may not have seen the connection open
}

// linkChecked is the outcome of a check of an unreachable endpoint.
type linkChecked struct {
	endpoint  string
	sentAt    time.Time
	timeout   time.Duration
	reachable bool
	timedOut  bool  // nothing has refused the connection
	cause     error // of a check that failed
}

func (endpointUnreachable) message() {}
func (linkChecked) message()         {}

// Unreachable reports an endpoint to which no connection could be opened, and whether this node was late
// meanwhile. It never blocks.
func (control *Control) Unreachable(endpoint string, late bool) {
	select {
	case control.messages <- endpointUnreachable{endpoint: endpoint, late: late}:
	default: // the queue is full; the next request that fails there reports it again
	}
}

// handleUnreachable checks an endpoint without an engine from now on.
func (control *Control) handleUnreachable(unreachable endpointUnreachable, now time.Time) {
	control.suspectCold(unreachable.endpoint, now)
	if _, known := control.endpoints.linkChecks[unreachable.endpoint]; known || !control.isPlain(unreachable.endpoint) {
		return
	}
	if unreachable.late {
		control.endpoints.lateProbes[unreachable.endpoint] = 1
	}
	control.endpoints.linkChecks[unreachable.endpoint] = now
	control.checkLinks(now)
}

// linkInDoubt reports whether nothing but what this node was late to see speaks against an endpoint.
func (control *Control) linkInDoubt(id string, now time.Time) bool {
	return control.endpoints.lateProbes[id] > 0 && !control.endpoints.load(id).Unreachable(now)
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
			delete(control.endpoints.lateProbes, id)
		case !now.Before(dueAt):
			timeout := linkCheckTimeout << control.endpoints.lateProbes[id]
			control.endpoints.linkChecks[id] = now.Add(linkCheckInterval + timeout - linkCheckTimeout)
			go func() { control.enqueue(control.checkLink(endpoint, service.HealthPath, timeout, now)) }()
		}
	}
}

// checkLink asks an endpoint for its health on a new connection. One that accepts it is
// reachable, whether or not it answers in time.
func (control *Control) checkLink(endpoint fleet.Endpoint, path string, timeout time.Duration, now time.Time) linkChecked {
	err := control.engineClient.CheckHealth(control.ctx, endpoint, path, timeout)
	return linkChecked{
		endpoint: endpoint.ID, sentAt: now, timeout: timeout, reachable: !errors.IsAny(err, pool.ErrUnsent, platform.ErrEnded) || errors.Is(err, pool.ErrNoRoom),
		timedOut: errors.Is(err, pool.ErrNotOpen), cause: err,
	}
}

func (control *Control) handleLinkChecked(checked linkChecked, now time.Time) {
	endpoints, load := &control.endpoints, control.endpoints.load(checked.endpoint)
	if checked.reachable {
		control.suspectCold(checked.endpoint, now)
		load.MarkUnreachable(time.Time{})
		delete(endpoints.linkChecks, checked.endpoint)
		delete(endpoints.lateProbes, checked.endpoint)
		return
	}
	putOff := checked.timedOut && control.extendProbe(checked.endpoint, checked.sentAt, now) && !load.Unreachable(now)
	control.logUnreached(checked, putOff, now)
	if putOff {
		endpoints.linkChecks[checked.endpoint] = now
		control.checkLinks(now)
		return
	}
	load.MarkUnreachable(now.Add(unreachableFor + linkCheckTimeout<<endpoints.lateProbes[checked.endpoint] - linkCheckTimeout))
	endpoints.failedAt[checked.endpoint] = checked.sentAt
}

// logUnreached logs a check that failed, and whether another one is to decide what that means, once a second.
func (control *Control) logUnreached(checked linkChecked, putOff bool, now time.Time) {
	endpoints := &control.endpoints
	if now.Before(endpoints.nextLinkLogAt) {
		endpoints.linkLogsLeftOut++
		return
	}
	event.Log(control.log, event.EndpointUnreached, zap.String("endpoint", checked.endpoint), zap.String("from", "check"), zap.Duration("took", now.Sub(checked.sentAt)),
		zap.Duration("due", checked.timeout), zap.Duration("late-by", control.lateness.lateBy(checked.sentAt, now)), zap.Bool("put-off", putOff), zap.String("error", checked.cause.Error()), zap.Int("count", endpoints.linkLogsLeftOut))
	endpoints.linkLogsLeftOut, endpoints.nextLinkLogAt = 0, now.Add(linkLogInterval)
}
