package drain_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/io/drain"
)

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// server is an HTTP server that counts the requests that it handles.
type server struct {
	http     *http.Server
	listener *drain.Listener
	handled  atomic.Int64
}

// newServer returns a server that listens and does not accept connections yet.
func newServer(t *testing.T) *server {
	t.Helper()
	listener, err := drain.Listen("127.0.0.1:0", nil)
	assert.NilError(t, err)
	server := &server{listener: listener}
	server.http = &http.Server{ConnState: drain.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		server.handled.Add(1)
		_, _ = io.WriteString(w, "whole")
	})}
	t.Cleanup(func() { _ = server.http.Close() })
	return server
}

func (server *server) serve() { go func() { _ = server.http.Serve(server.listener) }() }

// drain drains the listener for up to two seconds and returns how many connections are left.
func (server *server) drain() int {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return server.listener.Drain(ctx)
}

// client is a kept connection to a server.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func (server *server) connect(t *testing.T) *client {
	t.Helper()
	conn, err := net.Dial("tcp", server.listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &client{Conn: conn, reader: bufio.NewReader(conn)}
}

// answered sends bytes and reports whether a whole answer comes.
func (client *client) answered(bytes string) bool {
	if _, err := io.WriteString(client, bytes); err != nil {
		return false
	}
	_ = client.SetReadDeadline(time.Now().Add(3 * time.Second))
	response, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(response.Body)
	return err == nil && string(body) == "whole"
}

// TestRequestThatHasComeIsCutByDrain guards against a drain that closes a connection on which
// a request, or a part of it, has come.
func TestRequestThatHasComeIsCutByDrain(t *testing.T) {
	for _, test := range []struct {
		name   string
		before []string // requests on the connection
		part   string   // of a request that has come when the drain begins
		rest   string
	}{
		{"half a head, first request", nil, request[:9], request[9:]},
		{"half a head, kept connection", []string{request}, request[:9], request[9:]},
		{"one byte, kept connection", []string{request, request}, request[:1], request[1:]},
		{"all but the last byte", []string{request}, request[:len(request)-1], request[len(request)-1:]},
		{"half a body", []string{request}, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab", "cd"},
		{"nothing yet, new connection", nil, "", request},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := newServer(t)
			server.serve()
			client := server.connect(t)
			for _, earlier := range test.before {
				assert.Assert(t, client.answered(earlier))
			}
			_, err := io.WriteString(client, test.part)
			assert.NilError(t, err)
			time.Sleep(20 * time.Millisecond)
			left := make(chan int)
			go func() { left <- server.drain() }()
			time.Sleep(100 * time.Millisecond)
			assert.Check(t, client.answered(test.rest))
			_ = client.Close()
			assert.Equal(t, <-left, 0)
		})
	}
}

// TestIdleConnectionHoldsUpDrain guards against a drain that waits for connections on which
// nothing comes.
func TestIdleConnectionHoldsUpDrain(t *testing.T) {
	server := newServer(t)
	server.serve()
	for range 20 {
		assert.Assert(t, server.connect(t).answered(request))
	}
	began := time.Now()
	assert.Equal(t, server.drain(), 0)
	assert.Check(t, time.Since(began) < time.Second, "%s", time.Since(began))
}

// TestDrainGivesUpAtDeadline guards against a drain that goes on for as long as a caller sends
// nothing more.
func TestDrainGivesUpAtDeadline(t *testing.T) {
	server := newServer(t)
	server.serve()
	_, err := io.WriteString(server.connect(t), request[:9])
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, server.drain(), 1)
}

// TestBacklogIsCutByDrain guards against a drain that resets connections which nobody has
// accepted yet.
func TestBacklogIsCutByDrain(t *testing.T) {
	server := newServer(t)
	var clients sync.WaitGroup
	var answered atomic.Int64
	for range 30 {
		client := server.connect(t)
		_, err := io.WriteString(client, request)
		assert.NilError(t, err)
		clients.Go(func() {
			if client.answered("") {
				answered.Add(1)
			}
			_ = client.Close()
		})
	}
	left := make(chan int)
	go func() { left <- server.drain() }()
	time.Sleep(50 * time.Millisecond)
	server.serve()
	clients.Wait()
	assert.Equal(t, answered.Load(), int64(30))
	assert.Equal(t, <-left, 0)
}

// TestHandledRequestLosesItsAnswer guards against a drain that closes a connection between the
// end of a request's head and its handler: callers send on kept connections all the while.
func TestHandledRequestLosesItsAnswer(t *testing.T) {
	for round := range 10 {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			t.Parallel()
			server := newServer(t)
			server.serve()
			var clients sync.WaitGroup
			var answered atomic.Int64
			for range 40 {
				client := server.connect(t)
				clients.Go(func() {
					for client.answered(request) {
						answered.Add(1)
						time.Sleep(time.Millisecond)
					}
				})
			}
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, server.drain(), 0)
			clients.Wait()
			assert.Equal(t, answered.Load(), server.handled.Load())
		})
	}
}

// TestAddressIsFreeAfterDrain guards against a server that cannot be closed after a drain.
func TestAddressIsFreeAfterDrain(t *testing.T) {
	server := newServer(t)
	server.serve()
	address := server.listener.Addr().String()
	assert.Equal(t, server.drain(), 0)
	assert.NilError(t, server.http.Shutdown(t.Context()))
	again, err := drain.Listen(address, nil)
	assert.NilError(t, err)
	assert.NilError(t, again.Close())
}
