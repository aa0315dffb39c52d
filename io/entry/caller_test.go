package entry

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBusyNodeMissesThatCallerLeft guards against a request that is sent to an endpoint since the
// node, being busy, has not read that its caller closed the connection.
func TestBusyNodeMissesThatCallerLeft(t *testing.T) {
	var left atomic.Int64
	var handled atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{ConnContext: ConnContext, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		request := &request{r: r.WithContext(context.WithoutCancel(r.Context()))} // as before the server has read the close
		if r.URL.Path == "/leaves" {
			for giveUpAt := time.Now().Add(time.Second); !request.callerLeft() && time.Now().Before(giveUpAt); {
				time.Sleep(time.Millisecond)
			}
		}
		if request.callerLeft() {
			left.Add(1)
		}
		handled.Add(1)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	for _, target := range []string{"/stays", "/leaves", "/stays"} {
		conn, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		_, err = conn.Write([]byte("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n"))
		assert.NilError(t, err)
		if target == "/stays" {
			_, err = http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
		}
		assert.NilError(t, conn.Close())
	}
	for handled.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, left.Load(), int64(1))
}
