package soak

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOnlyConnectionsOfNodeAreCut guards against a cut that spares the connections of the node that
// is to be cut off, or hits those of another one.
func TestOnlyConnectionsOfNodeAreCut(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	proxy, err := NewProxy("127.0.0.1:0", strings.TrimPrefix(server.URL, "http://"))
	assert.NilError(t, err)
	defer proxy.Close()
	other := exec.Command("sleep", "60")
	assert.NilError(t, other.Start())
	defer func() { assert.Check(t, other.Process.Kill()); _ = other.Wait() }() // the error says that it was killed
	cluster := &cluster{timeline: newTimeline(), slots: []*slot{{proxy: proxy}}}
	for _, started := range []*os.Process{{Pid: os.Getpid()}, other.Process} {
		cluster.nodes = append(cluster.nodes, &node{process: &process{command: &exec.Cmd{Process: started}}})
	}
	proxy.SetCut(cluster.isCut)

	kept := dial(t, proxy)
	assert.NilError(t, exchange(kept, answerTimeout))
	cluster.cutOffNode(1, 1)
	assert.NilError(t, exchange(kept, answerTimeout))
	assert.NilError(t, exchange(dial(t, proxy), answerTimeout))

	cluster.cutOffNode(0, 1)
	assert.Check(t, exchange(kept, answerTimeout) != nil)
	unanswered := dial(t, proxy)
	assert.ErrorIs(t, exchange(unanswered, 300*time.Millisecond), os.ErrDeadlineExceeded)
	cluster.cutOffNode(0, -1)
	assert.Check(t, !errors.Is(exchange(unanswered, answerTimeout), os.ErrDeadlineExceeded), "not reset")
	assert.NilError(t, exchange(dial(t, proxy), answerTimeout))
}

const answerTimeout = 5 * time.Second

func dial(t *testing.T, proxy *Proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", proxy.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// exchange sends a request and reads the beginning of its answer.
func exchange(conn net.Conn, timeout time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: site.example\r\n\r\n"); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 1000))
	return err
}
