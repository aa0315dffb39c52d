package edge

import (
	"time"

	"github.com/cockroachdb/errors"

	"hickorybend/core/crash"
	"hickorybend/core/fleet"
	"hickorybend/platform"
)

// Health checks take up a request slot of the endpoint, so they are sent only when it
// has broken off an attempt, until it is known whether it has ended.
const (
	healthTimeout       = 200 * time.Millisecond
	healthCheckInterval = 150 * time.Millisecond // between two checks whose outcome is not known
	healthCheckWindow   = time.Second            // after the attempt was broken off; later a new incarnation may answer
	healthRetryDelay    = 20 * time.Millisecond  // before a check that failed is confirmed by a second one
)

// healthChecked is the outcome of a health check of an endpoint that has broken off an
// attempt.
type healthChecked struct {
	incarnation crash.Incarnation
	alive       bool
	ended       bool // neither is set if the outcome is not known
}

func (healthChecked) message() {}

// checkHealth requests the health path of an endpoint. An endpoint that does not answer
// has not ended, it may have no free slot or stand still for a while.
func (control *Control) checkHealth(incarnation crash.Incarnation, broken *brokenAttempts, path string, now time.Time) {
	endpoint, found := control.endpoints.byID[incarnation.Endpoint]
	switch {
	case !found, endpoint.StartedAt.UnixMilli() != incarnation.StartedAt, path == "":
		return
	case broken.checking, now.Sub(broken.at) > healthCheckWindow, now.Sub(broken.checkedAt) < healthCheckInterval:
		return
	}
	broken.checking, broken.checkedAt = true, now
	go func() { control.enqueue(control.requestHealth(incarnation, endpoint, path)) }()
}

// requestHealth checks twice before an endpoint counts as ended: a connection may be
// reset for another reason.
func (control *Control) requestHealth(incarnation crash.Incarnation, endpoint fleet.Endpoint, path string) healthChecked {
	err := control.engineClient.CheckHealth(control.ctx, endpoint, path, healthTimeout)
	if errors.Is(err, platform.ErrEnded) {
		sleep(control.ctx, healthRetryDelay)
		err = control.engineClient.CheckHealth(control.ctx, endpoint, path, healthTimeout)
	}
	return healthChecked{incarnation: incarnation, alive: err == nil, ended: errors.Is(err, platform.ErrEnded)}
}

// handleHealthChecked applies the outcome of a health check. An endpoint that has ended for
// this node may still answer others: then this node's path to it is cut.
func (control *Control) handleHealthChecked(checked healthChecked, now time.Time) {
	broken := control.crashes.broken[checked.incarnation]
	if broken == nil {
		return
	}
	broken.checking = false
	switch {
	case checked.ended:
		broken.ended = true
		control.handleUnreachable(endpointUnreachable{endpoint: checked.incarnation.Endpoint}, now)
	case checked.alive:
		delete(control.crashes.broken, checked.incarnation)
	}
}
