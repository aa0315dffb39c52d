package pool

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"hickorybend/core/delay"
)

// ErrNotOpen marks errors of connections that were not open when the time for that, or the
// request, ended. Nothing has refused them.
var ErrNotOpen = errors.New("pool: the connection was not open in time")

// OnLate sets the function that reports whether this node was late at any time since a time. It
// must be called before the pool is used.
func (pool *Pool) OnLate(late func(since time.Time) bool) { pool.late = late }

// open opens a connection within dialTimeout. While this node is late, it goes on: the connection
// may be open, and this node has not come to see it.
func (pool *Pool) open(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go pool.limitDial(ctx, cancel)
	conn, err := pool.dial(ctx, "tcp", address)
	if errors.IsAny(err, os.ErrDeadlineExceeded, context.DeadlineExceeded, context.Canceled) {
		return nil, errors.Mark(err, ErrNotOpen)
	}
	return conn, err
}

// limitDial ends the context of a dial when its time has run out.
func (pool *Pool) limitDial(ctx context.Context, cancel context.CancelCauseFunc) {
	wait := delay.NewWait(dialTimeout, time.Now())
	timer := time.NewTimer(dialTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if now := time.Now(); !wait.Extend(pool.late(wait.Since), dialTimeout, now) {
			cancel(os.ErrDeadlineExceeded)
			return
		}
		timer.Reset(dialTimeout)
	}
}
