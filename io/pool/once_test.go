package pool_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"hickorybend/io/pool"
)

// sendAtMostOnce sends a request that may run once at most and reads its answer.
func sendAtMostOnce(connections *pool.Pool, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	exchange, err := connections.Send(ctx, address, pool.Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, AtMostOnce: true})
	if err != nil {
		return err
	}
	if _, err := exchange.ReadBody(100); err != nil {
		return err
	}
	exchange.Release()
	return nil
}

// TestConnectionsOfRequestsThatRunOnce checks that a request that may run once at most
// reuses a connection that has just carried an exchange, and no other: the endpoint may be
// closing one that was idle for long, or whose timeout it has not stated.
func TestConnectionsOfRequestsThatRunOnce(t *testing.T) {
	for _, test := range []struct {
		name   string
		header string
		idle   time.Duration
		dials  int64
	}{
		{"just used", "Keep-Alive: timeout=9\r\n", 0, 1},
		{"idle for two fifths of the timeout", "Keep-Alive: timeout=1\r\n", 400 * time.Millisecond, 1},
		{"idle for three fifths of a short timeout", "Keep-Alive: timeout=1\r\n", 600 * time.Millisecond, 2},
		{"idle for long", "Keep-Alive: timeout=9\r\n", 2100 * time.Millisecond, 2},
		{"no stated timeout", "", 0, 2},
		{"a timeout of zero", "Keep-Alive: timeout=0\r\n", 0, 2},
		{"closed by the response", "Keep-Alive: timeout=9\r\nConnection: close\r\n", 0, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			answer := "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + test.header + "\r\none"
			address, targets := startEndpoint(t, answer, answer)
			connections := pool.New()
			assert.NilError(t, sendAtMostOnce(connections, address))
			time.Sleep(test.idle)
			assert.NilError(t, sendAtMostOnce(connections, address))
			assert.Equal(t, connections.Dials(), test.dials)
			assert.Equal(t, len(targets()), 2)
		})
	}
}

// TestRequestThatRunsOnceIsNotSentIntoAReset checks that an endpoint that resets a new
// connection before any byte of such a request has come leaves no doubt that it has not
// run, and that a node gives it the time for that.
func TestRequestThatRunsOnceIsNotSentIntoAReset(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	empty := make(chan bool, 1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			time.Sleep(2 * time.Millisecond)
			isEmpty := !hasUnreadBytes(conn.(*net.TCPConn))
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			empty <- isEmpty
		}
	}()
	connections := newLimitedPool(listener.Addr().String(), pool.Budget{Service: "app", Requests: 2})
	resets, unsent := 0, 0
	connections.OnReset(func(pool.Reset) { resets++ })
	for range 20 {
		err := sendAtMostOnce(connections, listener.Addr().String())
		assert.Assert(t, err != nil && !errors.Is(err, pool.ErrNoRoom), "%v", err)
		if <-empty {
			unsent++
			assert.Assert(t, errors.Is(err, pool.ErrUnsent), "%v", err)
		}
	}
	t.Logf("%d of 20 not sent", unsent)
	assert.Assert(t, unsent > 0)
	assert.Equal(t, resets, 20)
	assert.Equal(t, connections.CountsByService()["app"].Open, 0)
}

// hasUnreadBytes reports whether anything has come on a connection.
func hasUnreadBytes(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	var buffer [1]byte
	count := 0
	_ = raw.Read(func(descriptor uintptr) bool {
		count, _, _ = unix.Recvfrom(int(descriptor), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return count > 0
}
