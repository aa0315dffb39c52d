package engine_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"bufio"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"hickorybend/io/engine"
)

// startStayingEngine starts an engine that gives the same answer to each request and leaves the connection
// open. It returns the address and the number of its connections.
func startStayingEngine(t *testing.T, answer string) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	connections := &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(conn, answer)
				}
			}()
		}
	}()
	return listener.Addr().String(), connections
}

// TestInvalidStatusOfEnginePasses guards against callers who get a status outside 200 to 599 or wait for a
// response that has ended, against commands that count as rejected by it, and against its connection being reused.
func TestInvalidStatusOfEnginePasses(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999", "-01", "+99", "abc", "101"} {
		for _, rest := range []string{"\r\n", "Content-Length: 0\r\n\r\n", "Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"} {
			expectInvalidAtEngine(t, fmt.Sprintf("HTTP/1.1 %s Text\r\n%s", status, rest))
		}
	}
	for _, rest := range []string{"Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"} {
		expectInvalidAtEngine(t, "HTTP/1.1 103 Early Hints\r\n"+rest)
	}
}

// expectInvalidAtEngine checks that each kind of request to an engine with an answer ends at once, as one that may
// have taken effect.
func expectInvalidAtEngine(t *testing.T, answer string) {
	t.Helper()
	const limit, most = 2 * time.Second, 500 * time.Millisecond
	address, connections := startStayingEngine(t, answer)
	client := engine.New()
	for name, send := range map[string]func(context.Context) error{
		"call": func(ctx context.Context) error {
			_, err := client.Call(ctx, engine.Call{Address: address, Method: http.MethodPost, Target: "/", Header: http.Header{}, Body: []byte("{}")})
			return err
		},
		"stream": func(ctx context.Context) error {
			_, err := client.Generate(ctx, engine.GenerateRequest{Address: address, Path: "/v1/completions"})
			return err
		},
		"command": func(ctx context.Context) error {
			return client.SendCommand(ctx, address, engine.Command{Deadline: time.Now().Add(limit)})
		},
		"probe": func(ctx context.Context) error {
			_, err := client.Probe(ctx, address)
			return err
		},
	} {
		for range 2 {
			before := connections.Load()
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			startedAt := time.Now()
			err := send(ctx)
			took := time.Since(startedAt)
			cancel()
			assert.Check(t, errors.Is(err, engine.ErrIncompleteResponse) && !errors.IsAny(err, engine.ErrUnreached, engine.ErrRejected), "%s, %q: %v", name, answer, err)
			assert.Check(t, took < most, "%s, %q: %s", name, answer, took)
			assert.Check(t, connections.Load() > before, "%s, %q: the connection is reused", name, answer)
		}
	}
}
