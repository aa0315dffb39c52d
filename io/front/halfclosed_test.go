package front

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestHalfClosedCallerGetsNoEmptyAnswer has a caller close its sending side after
// the request, which net/http reports as a disconnected caller. The abandoned
// response, streamed or not, must not look complete: if the handler returned,
// net/http would send an empty body or the end of the stream.
func TestHalfClosedCallerGetsNoEmptyAnswer(t *testing.T) {
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprint("stream ", stream), func(t *testing.T) {
			harness := newHarness(t, 1)
			conn, err := net.Dial("tcp", strings.TrimPrefix(harness.listeners[0].URL, "http://"))
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			body := fmt.Sprintf(`{"model":"m","stream":%t,"max_tokens":2000,"messages":[{"role":"user","content":"hello"}]}`, stream)
			_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			assert.NilError(t, err)
			assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
			got, _ := io.ReadAll(conn) // the connection may end with or without an error
			text := string(got)
			complete := strings.Contains(text, "Content-Length: 0") || strings.HasSuffix(text, "\r\n0\r\n\r\n")
			assert.Assert(t, !complete || strings.Contains(text, "[DONE]"), text)
		})
	}
}
