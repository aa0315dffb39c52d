package pool_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"hickorybend/io/pool"
)

// delayMark splits a response into parts; the endpoint waits before each later part.
const delayMark = "\x00"

// startEndpoint starts an endpoint that sends the next of the answers to each
// request, byte for byte; an empty answer closes the connection. It returns the
// address and a function that returns the targets received.
func startEndpoint(t *testing.T, answers ...string) (string, func() []string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var mutex sync.Mutex
	var targets []string
	received := func() []string {
		mutex.Lock()
		defer mutex.Unlock()
		return slices.Clone(targets)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for len(received()) < len(answers) {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					mutex.Lock()
					answer := answers[len(targets)]
					targets = append(targets, request.RequestURI)
					mutex.Unlock()
					if answer == "" {
						return
					}
					for i, part := range strings.Split(answer, delayMark) {
						time.Sleep(time.Duration(i) * 10 * time.Millisecond)
						_, _ = io.WriteString(conn, part)
					}
				}
				<-time.After(5 * time.Second)
			}()
		}
	}()
	return listener.Addr().String(), received
}

// okResponse returns the text of a response that allows reuse of its connection.
func okResponse(body, extraHeader string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nKeep-Alive: timeout=9\r\n%s\r\n%s", len(body), extraHeader, body)
}

// get requests a target with escapes and returns the body.
func get(t *testing.T, connections *pool.Pool, address string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	exchange, err := connections.Send(ctx, address, pool.Request{Method: "GET", Target: "/a%2Fb?x=%20", Host: "h", Header: http.Header{}})
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(exchange.Response.Body)
	if err != nil {
		exchange.Close()
		return string(body), err
	}
	exchange.Release()
	return string(body), nil
}

// TestConnectionReuse guards against reusing a connection that the endpoint closes
// or on which bytes follow the response: those would be read as the response to
// the next request. Any other connection must be reused.
func TestConnectionReuse(t *testing.T) {
	for _, test := range []struct {
		name    string
		answers []string
		dials   int64
	}{
		{"reused", []string{okResponse("one", ""), okResponse("two", "")}, 1},
		{"closed by the response", []string{okResponse("one", "Connection: close\r\n"), okResponse("two", "")}, 2},
		{"bytes beyond the response", []string{okResponse("one", "") + "HTTP/1.1 200 OK\r\n", okResponse("two", "")}, 2},
		{"bytes some time after the response", []string{okResponse("one", "") + delayMark + "HTTP/1.1 200 OK\r\n", okResponse("two", "")}, 2},
		{"keep-alive timeout of zero", []string{strings.Replace(okResponse("one", ""), "timeout=9", "timeout=0", 1), okResponse("two", "")}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			address, targets := startEndpoint(t, test.answers...)
			connections := pool.New()
			for _, want := range []string{"one", "two"} {
				got, err := get(t, connections, address)
				assert.NilError(t, err)
				assert.Equal(t, got, want)
				time.Sleep(40 * time.Millisecond) // for bytes beyond the response to arrive
			}
			assert.Equal(t, connections.Dials(), test.dials)
			assert.DeepEqual(t, targets(), []string{"/a%2Fb?x=%20", "/a%2Fb?x=%20"})
		})
	}
}

// TestErrorsTellWhetherSent guards against wrong marks on errors. After a refused
// connection nothing was sent, but if the endpoint closes the connection without a
// response, the request may have run. A truncated body must be an error too.
func TestErrorsTellWhetherSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closedAddress := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = get(t, pool.New(), closedAddress)
	assert.Assert(t, errors.Is(err, pool.ErrUnsent))
	address, _ := startEndpoint(t, "")
	_, err = get(t, pool.New(), address)
	assert.Assert(t, errors.Is(err, pool.ErrIncompleteResponse))
	truncated, _ := startEndpoint(t, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
	_, err = get(t, pool.New(), truncated)
	assert.Assert(t, err != nil)
}

// TestContextCancelsExchange guards against a read that outlasts its caller: once
// the context is canceled, reading the body must end, although the endpoint sends
// nothing more and keeps the connection open.
func TestContextCancelsExchange(t *testing.T) {
	address, _ := startEndpoint(t, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
	ctx, cancel := context.WithCancel(context.Background())
	exchange, err := pool.New().Send(ctx, address, pool.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
	assert.NilError(t, err)
	startedAt := time.Now()
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err = io.ReadAll(exchange.Response.Body)
	assert.Assert(t, err != nil && time.Since(startedAt) < time.Second)
	exchange.Close()
}

// TestInvalidTargetsAreRejected sends targets that are not a path; none may reach
// the endpoint.
func TestInvalidTargetsAreRejected(t *testing.T) {
	address, received := startEndpoint(t, okResponse("x", ""))
	for _, target := range []string{"", "*", "//other.example/x", "http://other.example/"} {
		_, err := pool.New().Send(context.Background(), address, pool.Request{Method: "GET", Target: target, Host: "h", Header: http.Header{}})
		assert.Assert(t, err != nil, target)
	}
	assert.Equal(t, len(received()), 0)
}
