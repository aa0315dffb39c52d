package entry

import (
	"context"
	"net"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/reach"
	"hickorybend/core/site"
	"hickorybend/io/pool"
	"hickorybend/platform"
	"hickorybend/platform/fakes"
)

// reported is what a server reports of an endpoint.
type reported struct {
	unreachable bool // it gets no requests for a while
	checked     bool
	late        bool // as the check is asked for
	failed      bool // it counts as a failure of the endpoint
}

// TestLateNodeBlamesEndpointForSlowDial guards against a node that keeps requests away from an endpoint
// which has accepted the connection, because the node itself was too late to see that.
func TestLateNodeBlamesEndpointForSlowDial(t *testing.T) {
	const seenAfter = 650 * time.Millisecond // longer than a connection may take to open
	text := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + fakes.IDLine("mine") + fakes.ReceiptLine + "\r\nok"
	for _, test := range []struct {
		name     string
		timeLeft time.Duration
		lateBy   time.Duration
		refused  bool
		answered bool
		reported reported
	}{
		{"calm", time.Minute, 0, false, false, reported{unreachable: true, checked: true, failed: true}},
		{"late", time.Minute, 400 * time.Millisecond, false, true, reported{}},
		{"late, and the request's time ends first", 300 * time.Millisecond, 400 * time.Millisecond, false, false, reported{checked: true, late: true}},
		{"late, and the endpoint refuses", time.Minute, 400 * time.Millisecond, true, false, reported{unreachable: true, checked: true, failed: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			connections := pool.New(pool.WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := new(net.Dialer).DialContext(ctx, network, address)
				if test.refused {
					return nil, syscall.ECONNREFUSED
				}
				select {
				case <-time.After(seenAfter):
					return conn, err
				case <-ctx.Done():
					_ = conn.Close()
					return nil, ctx.Err()
				}
			}))
			connections.OnLate(func(time.Time) bool { return test.lateBy > 0 })
			var got reported
			server := New(connections, nil, WithLateness(func(time.Time) time.Duration { return test.lateBy }),
				WithUnreachable(func(_ string, late bool) { got.checked, got.late = true, late }))
			request := &request{
				server: server, r: httptest.NewRequest("GET", "/", nil), snapshot: &reach.Snapshot{}, deadline: time.Now().Add(test.timeLeft), service: "app",
				route: &site.Route{Kind: site.Idempotent{}, MaxAttempts: 1}, header: platform.RequestHeader{RequestID: "mine"},
			}
			request.counted.Store(true)
			ctx, cancelDeadline := context.WithDeadline(t.Context(), request.deadline)
			defer cancelDeadline()
			ctx, cancel := context.WithCancelCause(ctx)
			defer cancel(nil)
			candidate := &reach.Candidate{ID: "e-1", Address: answerWith(t, text), Load: &reach.Load{}}
			outcome := request.exchange(&attempt{candidate: candidate, ctx: ctx, cancel: cancel, sentAt: time.Now()})
			_, isAnswer := outcome.(answered)
			assert.Equal(t, isAnswer, test.answered, "%#v", outcome)
			got.unreachable, got.failed = candidate.Load.Unreachable(time.Now()), candidate.Load.FailureRate(time.Now()) > 0
			assert.Equal(t, got, test.reported)
		})
	}
}
