package gate_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/buffer"
	"hickorybend/io/drain"
	"hickorybend/io/gate"
)

const readTimeout = 100 * time.Millisecond

// startServer starts a server whose connections a gate admits, and returns its address.
func startServer(t *testing.T, limits gate.Limits, handler http.HandlerFunc) string {
	t.Helper()
	admitting := gate.New(limits, buffer.NewLedger(buffer.PolicyFor(64<<20)), func(gate.Closed) {})
	listener, err := drain.Listen("127.0.0.1:0", admitting)
	assert.NilError(t, err)
	server := &http.Server{Handler: gate.Handler(handler), ReadTimeout: readTimeout, IdleTimeout: time.Minute, ConnContext: gate.ConnContext, ConnState: drain.ConnState}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// exchange sends a text and returns the status of the response, and whether the connection ends after it.
func exchange(t *testing.T, address, text string) (status int, ended bool) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = io.WriteString(conn, text)
	assert.NilError(t, err)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, true
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = conn.SetDeadline(time.Now().Add(4 * readTimeout))
	_, err = reader.ReadByte()
	return response.StatusCode, err == io.EOF || response.Close
}

// TestTimeLimitOfBodyEndsResponse guards against responses that end with the time limit for reading the request, and against
// connections that stay open for a body that does not come.
func TestTimeLimitOfBodyEndsResponse(t *testing.T) {
	address := startServer(t, gate.Limits{}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unread" {
			return
		}
		_, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		time.Sleep(3 * readTimeout)
		if r.Context().Err() != nil {
			w.WriteHeader(http.StatusGatewayTimeout)
		}
	})
	for _, test := range []struct {
		path, rest string
		status     int
		ended      bool
	}{
		{"/slow", "\r\n", http.StatusOK, false},
		{"/slow", "Content-Length: 2\r\n\r\n{}", http.StatusOK, false},
		{"/slow", "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", http.StatusOK, false},
		{"/slow", "Content-Length: 3\r\n\r\n{}", http.StatusBadRequest, true},
		{"/unread", "Content-Length: 3\r\n\r\n{}", http.StatusOK, true},
		{"/unread", "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n", http.StatusOK, true},
	} {
		status, ended := exchange(t, address, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s", test.path, test.rest))
		assert.Check(t, status == test.status && ended == test.ended, "%s %q: status %d, ended %t", test.path, test.rest, status, ended)
	}
}

// TestRefusalOfFieldsIsLost guards against a client whose head has too many fields and that gets no answer.
func TestRefusalOfFieldsIsLost(t *testing.T) {
	address := startServer(t, gate.Limits{Fields: 50}, func(http.ResponseWriter, *http.Request) {})
	for fields, want := range map[int]int{40: http.StatusOK, 60: http.StatusRequestHeaderFieldsTooLarge} {
		status, _ := exchange(t, address, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("x:\r\n", fields)+"\r\n")
		assert.Equal(t, status, want, "%d fields", fields)
	}
}

// TestFullAddressAcceptsNoFurther guards against an address that, once it is full, accepts connections for which it has
// no room, or none ever again.
func TestFullAddressAcceptsNoFurther(t *testing.T) {
	address := startServer(t, gate.Limits{Connections: 2}, func(http.ResponseWriter, *http.Request) { time.Sleep(3 * readTimeout) })
	statuses := make(chan int, 4)
	for range cap(statuses) {
		go func() {
			status, _ := exchange(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			statuses <- status
		}()
		time.Sleep(10 * time.Millisecond)
	}
	served := 0
	for range cap(statuses) {
		if <-statuses == http.StatusOK {
			served++
		}
	}
	assert.Equal(t, served, 2)
	time.Sleep(readTimeout)
	status, _ := exchange(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.Equal(t, status, http.StatusOK)
}
