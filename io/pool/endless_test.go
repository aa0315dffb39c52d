package pool_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"hickorybend/io/pool"
)

// startEndlessEndpoint starts an endpoint that sends a start to each connection and
// then repeats a text until the connection ends.
func startEndlessEndpoint(t *testing.T, start, repeated string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				block := []byte(strings.Repeat(repeated, 32<<10/len(repeated)))
				_, err := io.WriteString(conn, start)
				for err == nil {
					_, err = conn.Write(block)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// TestEndlessResponse guards against an endpoint that uses up the memory of a node,
// or holds an attempt until its deadline, by bytes that never become a response.
func TestEndlessResponse(t *testing.T) {
	const (
		head         = "HTTP/1.1 200 OK\r\n"
		chunked      = head + "Transfer-Encoding: chunked\r\n\r\n"
		bodyLimit    = 1 << 20
		maxAllocated = 12 << 20 // several times the limits of head and body
		maxTime      = time.Second
	)
	for _, test := range []struct{ name, start, repeated string }{
		{"status line", "", "x"},
		{"header line", head + "X: ", "x"},
		{"header lines", head, "X-Filler: y\r\n"},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"other interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"chunk header", chunked + "4;", "x"},
		{"chunk extensions", chunked, "1;extension=" + strings.Repeat("x", 200) + "\r\ny\r\n"},
		{"chunks", chunked, "4\r\nbody\r\n"},
		{"trailer", chunked + "0\r\n", "X-Filler: y\r\n"},
		{"body", head + "\r\n", "x"},
		{"body with a length", head + "Content-Length: 1000000000000\r\n\r\n", "x"},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := startEndlessEndpoint(t, test.start, test.repeated)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			startedAt := time.Now()
			exchange, err := pool.New().Send(ctx, address, pool.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
			if err == nil {
				_, err = exchange.ReadBody(bodyLimit)
			}
			runtime.ReadMemStats(&after)
			assert.Assert(t, errors.Is(err, pool.ErrIncompleteResponse), "%v", err)
			assert.Assert(t, time.Since(startedAt) < maxTime, "ended after %s", time.Since(startedAt))
			assert.Assert(t, after.TotalAlloc-before.TotalAlloc < maxAllocated, "%d bytes allocated", after.TotalAlloc-before.TotalAlloc)
		})
	}
}

// TestBodyUpToTheLimit guards against bodies that are cut at the limit and pass for
// whole.
func TestBodyUpToTheLimit(t *testing.T) {
	for _, test := range []struct {
		limit int64
		whole bool
	}{{3, false}, {4, true}, {5, true}} {
		address, _ := startEndpoint(t, okResponse("body", ""))
		exchange, err := pool.New().Send(context.Background(), address, pool.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
		assert.NilError(t, err)
		body, err := exchange.ReadBody(test.limit)
		assert.Equal(t, err == nil, test.whole)
		if test.whole {
			assert.Equal(t, string(body), "body")
			exchange.Release()
		}
	}
}

// FuzzResponse feeds a connection with arbitrary bytes. Whatever they are, the
// exchange ends, and a response is never longer than the limit.
func FuzzResponse(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	f.Add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: y\r\n\r\n")
	f.Fuzz(func(t *testing.T, answer string) {
		const limit = 1 << 10
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer func() { _ = listener.Close() }()
		go func() {
			if conn, err := listener.Accept(); err == nil {
				_, _ = io.WriteString(conn, answer)
				_ = conn.(*net.TCPConn).CloseWrite()
				_, _ = io.Copy(io.Discard, conn)
				_ = conn.Close()
			}
		}()
		exchange, err := pool.New().Send(context.Background(), listener.Addr().String(), pool.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
		if err != nil {
			return
		}
		body, err := exchange.ReadBody(limit)
		assert.Assert(t, err != nil || len(body) <= limit)
		exchange.Close()
	})
}
