package engine_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"hickorybend/io/engine"
)

// startCopyingEngine starts an engine that gives the next of the answers to each request. Before it, the
// engine writes the answer before once more, if that was on the same connection.
func startCopyingEngine(t *testing.T, answers ...string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var mutex sync.Mutex
	next := func() string {
		mutex.Lock()
		defer mutex.Unlock()
		answer := answers[0]
		answers = answers[1:]
		return answer
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
				before := ""
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					answer := next()
					_, _ = io.WriteString(conn, before+answer)
					before = answer
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func answerOf(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
}

// TestCopyOfEnginesRejectionPasses guards against a caller who is told that a request has not run, or a
// request that a second replica runs, because the copy of an earlier rejection comes before the answer.
func TestCopyOfEnginesRejectionPasses(t *testing.T) {
	address := startCopyingEngine(t, answerOf(http.StatusTooManyRequests, ""), answerOf(http.StatusOK, "data: first\n\n"), answerOf(http.StatusOK, "data: second\n\n"))
	client := engine.New()
	generate := func() (*engine.Stream, error) {
		return client.Generate(t.Context(), engine.GenerateRequest{Address: address, Path: "/v1/completions"})
	}
	_, err := generate()
	assert.Assert(t, errors.Is(err, engine.ErrRejected), "%v", err)
	for _, want := range []string{"first", "second"} {
		stream, err := generate()
		assert.NilError(t, err)
		payload, err := stream.Next()
		assert.NilError(t, err)
		assert.Equal(t, string(payload), want)
		_, err = stream.Next()
		assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
		stream.Close()
	}
}

// TestCopyPassesForEnginesReply guards against a command that counts as carried out because of a copy of
// the reply to another one.
func TestCopyPassesForEnginesReply(t *testing.T) {
	address := startCopyingEngine(t, answerOf(http.StatusOK, ""), answerOf(http.StatusConflict, ""), answerOf(http.StatusOK, ""))
	client := engine.New()
	send := func() error {
		return client.SendCommand(t.Context(), address, engine.Command{FencingNumber: 1, Replica: "r", Deadline: time.Now().Add(time.Second)})
	}
	assert.NilError(t, send())
	assert.Assert(t, errors.Is(send(), engine.ErrRejected))
	assert.NilError(t, send())
}

// TestCopyPassesForEnginesStatus guards against an engine that counts as a member of a replica which it
// has left, because of a copy of an earlier status.
func TestCopyPassesForEnginesStatus(t *testing.T) {
	address := startCopyingEngine(t, answerOf(http.StatusOK, `{"host":"h","replica":"r","ready":true}`), answerOf(http.StatusOK, `{"host":"h"}`))
	client := engine.New()
	for _, want := range []string{"r", ""} {
		status, err := client.Probe(t.Context(), address)
		assert.NilError(t, err)
		assert.Equal(t, status.Replica, want)
	}
}
