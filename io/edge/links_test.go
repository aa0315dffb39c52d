package edge

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"hickorybend/core/fleet"
	"hickorybend/core/site"
)

var errNoAnswer = errors.New("no answer")

// newLinkNode returns the control of a node with one plain endpoint, app-1.
func newLinkNode(now time.Time) *Control {
	control := newZoneNode(true, 0, now)
	control.config.index = site.NewIndex(site.Config{Services: []site.Service{{Name: "app", HealthPath: "/health"}}})
	control.endpoints.byID["app-1"] = fleet.Endpoint{ID: "app-1", Service: "app", Zone: "a", StartedAt: time.UnixMilli(1)}
	return control
}

// TestLateNodeTakesPlainEndpointForUnreachable guards against a node that lags, sees too late that
// connections to plain endpoints are open, and turns requests away for want of an endpoint. It states
// the bound for an endpoint that is gone.
func TestLateNodeTakesPlainEndpointForUnreachable(t *testing.T) {
	for _, test := range []struct {
		name     string
		between  time.Duration // two runs of the periodic work
		lateDial bool          // the request that failed there was late as well
		refused  bool
		checks   int           // that fail until the endpoint counts as unreachable
		after    time.Duration // the first of them
	}{
		{"on time", tickInterval, false, false, 1, 200 * time.Millisecond},
		{"late", 3 * tickInterval, false, false, 4, 3000 * time.Millisecond},
		{"late, also at the request", 3 * tickInterval, true, false, 3, 2800 * time.Millisecond},
		{"late, and the endpoint refuses", 3 * tickInterval, true, true, 1, 400 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			began := time.Now()
			now := began
			control := newLinkNode(now)
			load := control.endpoints.load("app-1")
			control.handleUnreachable(endpointUnreachable{endpoint: "app-1", late: test.lateDial}, now)
			control.lateness.ticks.Tick(now)
			checks := 0
			for ; !load.Unreachable(now); checks++ {
				assert.Assert(t, checks < 10)
				unresponsive, _ := control.unresponsiveLists(now)
				inDoubt := control.endpoints.lateProbes["app-1"] > 0
				assert.Equal(t, len(unresponsive) == 0, inDoubt)
				_, silent := control.linkView(now).Silent["app-1"]
				assert.Equal(t, silent, !inDoubt)
				sentAt, dueAt := now, now.Add(linkCheckTimeout<<control.endpoints.lateProbes["app-1"])
				for ; now.Before(dueAt); now = now.Add(test.between) {
					control.lateness.ticks.Tick(now)
				}
				now = dueAt
				control.handleLinkChecked(linkChecked{endpoint: "app-1", sentAt: sentAt, timedOut: !test.refused, cause: errNoAnswer}, now)
			}
			assert.Equal(t, checks, test.checks)
			assert.Equal(t, now.Sub(began), test.after)
			control.handleLinkChecked(linkChecked{endpoint: "app-1", sentAt: now, reachable: true}, now)
			assert.Assert(t, !load.Unreachable(now) && control.endpoints.lateProbes["app-1"] == 0)
		})
	}
}
