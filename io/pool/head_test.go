package pool_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"hickorybend/io/pool"
)

// startCutEndpoint starts an endpoint that answers each request on a connection with the
// next of some texts, and closes the connection after the last, by a reset if reset is set.
func startCutEndpoint(t *testing.T, reset bool, answers ...string) string {
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
				reader := bufio.NewReader(conn)
				for _, answer := range answers {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(conn, answer)
				}
				if reset {
					time.Sleep(5 * time.Millisecond) // the text arrives before the reset
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// TestHalfHeadPassesForWholeAnswer guards against an endpoint that ends in the middle of
// its answer's head, which passes for a whole answer with an empty or a short body.
func TestHalfHeadPassesForWholeAnswer(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nKeep-Alive: timeout=9\r\n\r\nbody"
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9\r\nContent-Length: 1234\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Receipt: yes\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nConnection: close\r\nX-Receipt: yes\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nX-Receipt: yes\r\n\r\n",
	} {
		t.Run(head, func(t *testing.T) {
			t.Parallel()
			for length := range len(head) {
				for _, reset := range []bool{false, true} {
					for _, kept := range []bool{false, true} {
						expectIncomplete(t, head[:length], reset, kept, whole)
					}
				}
			}
		})
	}
}

// expectIncomplete checks that a part of a head is no answer, on a connection that is new or has
// carried a whole answer.
func expectIncomplete(t *testing.T, head string, reset, kept bool, whole string) {
	t.Helper()
	answers := []string{head}
	if kept {
		answers = []string{whole, head}
	}
	address, connections := startCutEndpoint(t, reset, answers...), pool.New()
	if kept {
		assert.NilError(t, sendAtMostOnce(connections, address))
	}
	err := sendAndRead(connections, address)
	assert.Assert(t, errors.Is(err, pool.ErrIncompleteResponse) || errors.Is(err, pool.ErrUnsent), "%q, reset %t, on a kept connection %t: %v", head, reset, kept, err)
}

func sendAndRead(connections *pool.Pool, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	exchange, err := connections.Send(ctx, address, pool.Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: []byte("{}"), AtMostOnce: true})
	if err != nil {
		return err
	}
	body, err := exchange.ReadBody(100)
	if err == nil {
		return errors.Newf("status %d and a body of %d bytes pass for whole", exchange.Response.StatusCode, len(body))
	}
	return err
}
