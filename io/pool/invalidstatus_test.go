package pool_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"hickorybend/io/pool"
)

// maxInvalidWait is how long the head of an invalid response may keep a request, whose time limit is 2 s.
const maxInvalidWait = 500 * time.Millisecond

// TestInvalidStatusPassesForInterimOrFinal guards against a status outside 200 to 599 that is skipped like an
// interim response, so that the request waits until its time limit, or that is returned as a response.
func TestInvalidStatusPassesForInterimOrFinal(t *testing.T) {
	const valid = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nKeep-Alive: timeout=9\r\n\r\nbody"
	for _, status := range []string{"000", "001", "099", "600", "601", "999", "-01", "-00", "+00", "+99", "+20", "00", "0", "1000", "2000", "abc", "2.0", "", "101"} {
		for _, rest := range []string{
			"\r\n",
			"Content-Length: 0\r\n\r\n",
			"Content-Length: 4\r\n\r\nbody",
			"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
			"Content-Length: 0\r\nKeep-Alive: timeout=9\r\nX-Id: a\r\nX-Receipt: r\r\n\r\n",
			"Content-Length: 0\r\n\r\n" + valid,
		} {
			expectInvalid(t, "HTTP/1.1 "+status+" Text\r\n"+rest)
		}
		expectInvalid(t, "HTTP/1.1 "+status+"\r\n\r\n")
		expectInvalid(t, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 "+status+" Text\r\nContent-Length: 0\r\n\r\n")
	}
	for _, line := range []string{"HTTP/1.1 200OK", "HTTP/1.1", "200 OK", "GET / HTTP/1.1", "\x00\x00\x00\x00"} {
		expectInvalid(t, line+"\r\nContent-Length: 0\r\n\r\n")
	}
}

// TestInterimResponseWithBodyIsAwaited guards against a request that waits until its time limit after a response
// whose status is an interim one, though it has a length or chunks, as only final responses have.
func TestInterimResponseWithBodyIsAwaited(t *testing.T) {
	for _, status := range []string{"100", "102", "103", "199"} {
		for _, rest := range []string{"Content-Length: 0\r\n\r\n", "Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"} {
			expectInvalid(t, "HTTP/1.1 "+status+" Interim\r\n"+rest)
			expectInvalid(t, "HTTP/1.1 "+status+" Interim\r\n"+rest+okResponse("body", ""))
		}
	}
	expectInvalid(t, strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 10_000))
}

// expectInvalid checks that a request whose answer begins with a text ends at once, as one that may have run,
// and that its connection is not used again.
func expectInvalid(t *testing.T, answer string) {
	t.Helper()
	address, _ := startEndpoint(t, answer, okResponse("next", ""))
	connections := pool.New()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	startedAt := time.Now()
	exchange, err := connections.Send(ctx, address, pool.Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: []byte("{}")})
	took := time.Since(startedAt)
	status := 0
	if err == nil {
		status = exchange.Response.StatusCode
		exchange.Close()
	}
	assert.Check(t, errors.Is(err, pool.ErrInvalidResponse) && errors.Is(err, pool.ErrIncompleteResponse), "%.80q: status %d, error %v after %s", answer, status, err, took)
	assert.Check(t, !errors.IsAny(err, pool.ErrUnsent, pool.ErrNotOpen, pool.ErrNoRoom) && took < maxInvalidWait, "%.80q: error %v after %s", answer, err, took)
	body, err := get(t, connections, address)
	assert.Check(t, err == nil && body == "next" && connections.Dials() == 2, "%.80q: body %q, error %v, %d connections", answer, body, err, connections.Dials())
}

// TestConnectionIsReusedAfterUnsolicitedInterim guards against a connection that is reused although the endpoint
// has sent interim responses on it that nobody asked for: a further one would come before another answer.
func TestConnectionIsReusedAfterUnsolicitedInterim(t *testing.T) {
	for _, interim := range []string{"100 Continue", "102 Processing", "103 Early Hints"} {
		address, _ := startEndpoint(t, "HTTP/1.1 "+interim+"\r\n\r\n"+okResponse("one", ""), okResponse("two", ""))
		connections := pool.New()
		for _, want := range []string{"one", "two"} {
			got, err := get(t, connections, address)
			assert.NilError(t, err)
			assert.Equal(t, got, want)
		}
		assert.Equal(t, connections.Dials(), int64(2), interim)
	}
}
