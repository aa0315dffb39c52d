package pool_test

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"hickorybend/io/pool"
)

// TestLateNodeGivesUpSoundConnection guards against a node that runs late and gives up connections
// which its endpoints have accepted. It states the bound of one that nobody accepts.
func TestLateNodeGivesUpSoundConnection(t *testing.T) {
	const hour = time.Hour
	for _, test := range []struct {
		name    string
		lateFor time.Duration // from the beginning on
		opensAt time.Duration // when the node sees that the connection is open
		endsAt  time.Duration // when Send returns
		err     error
	}{
		{"calm, nobody accepts", 0, hour, 500 * time.Millisecond, pool.ErrNotOpen},
		{"late at first, nobody accepts", 400 * time.Millisecond, hour, time.Second, pool.ErrNotOpen},
		{"late all the time, nobody accepts", hour, hour, 2 * time.Second, pool.ErrNotOpen},
		{"late, the endpoint refuses", hour, 0, 0, syscall.ECONNREFUSED},
		{"calm, seen too late", 0, 700 * time.Millisecond, 500 * time.Millisecond, pool.ErrNotOpen},
		{"late, seen too late", 600 * time.Millisecond, 700 * time.Millisecond, 700 * time.Millisecond, errSeen},
		{"late all the time, seen too late", hour, 1900 * time.Millisecond, 1900 * time.Millisecond, errSeen},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				connections := pool.New(pool.WithDial(func(ctx context.Context, _, _ string) (net.Conn, error) {
					if errors.Is(test.err, syscall.ECONNREFUSED) {
						return nil, test.err
					}
					select {
					case <-ctx.Done():
						return nil, context.Canceled // as net.Dialer does
					case <-time.After(test.opensAt):
						return nil, errSeen // it is open; there are no sockets in this test
					}
				}))
				connections.OnLate(func(since time.Time) bool { return since.Before(began.Add(test.lateFor)) })
				_, err := connections.Send(t.Context(), "e:1", pool.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
				assert.Assert(t, errors.Is(err, test.err) && errors.Is(err, pool.ErrUnsent), "%v", err)
				assert.Equal(t, time.Since(began), test.endsAt)
			})
		})
	}
}

var errSeen = errors.New("the connection is open")
