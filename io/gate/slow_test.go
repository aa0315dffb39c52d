package gate

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/buffer"
)

// slowClient is a client that sends a piece of its request again and again.
type slowClient struct {
	from  time.Duration // since start, when it comes
	head  string        // that it sends first
	begun bool          // the server has read that head
	piece int           // bytes of each further piece
	every time.Duration
}

// come has a client send until a time since start.
func (slowclient slowClient) come(t *testing.T, gate *Gate, until time.Duration) *fakeConn {
	t.Helper()
	conn := &fakeConn{source: "crowd"}
	gated := gate.Admit(conn, start.Add(slowclient.from))
	assert.Assert(t, gated != nil)
	assert.NilError(t, gated.Received([]byte(slowclient.head), start.Add(slowclient.from)))
	if slowclient.begun {
		gated.SetState(http.StateActive, start.Add(slowclient.from))
	}
	for at := slowclient.from + slowclient.every; at <= until; at += slowclient.every {
		assert.NilError(t, gated.Received([]byte(strings.Repeat("x", slowclient.piece)), start.Add(at)))
	}
	return conn
}

// TestSlowCrowdKeepsOthersOut guards against a node that says it is ready and takes no new connection for seconds, while
// clients that never send a whole request hold all its connections with a few bytes a second (RECOVER).
func TestSlowCrowdKeepsOthersOut(t *testing.T) {
	const incomplete, complete = "POST / HTTP/1.1\r\nX-Note: ", "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n"
	quarter := 250 * time.Millisecond
	for _, test := range []struct {
		name    string
		clients []slowClient
		closed  int // index of the client that is closed for a further one at 3 s; -1 if that is refused
	}{
		{"heads", []slowClient{{time.Second, incomplete, false, 1, quarter}, {0, incomplete, false, 1, quarter}, {2 * time.Second, incomplete, false, 1, quarter}}, 1},
		{"bodies", []slowClient{{time.Second, complete, true, 1, quarter}, {0, complete, true, 1, quarter}}, 1},
		{"clients that have just come", []slowClient{{2800 * time.Millisecond, incomplete, false, 1, quarter}, {2900 * time.Millisecond, incomplete, false, 1, quarter}}, -1},
		{"one of them sends fast enough", []slowClient{{0, incomplete, false, 2048, quarter}, {time.Second, incomplete, false, 1, quarter}}, 1},
		{"all send fast enough", []slowClient{{0, incomplete, false, 2048, quarter}, {time.Second, complete, true, 2048, quarter}}, -1},
	} {
		t.Run(test.name, func(t *testing.T) {
			gate := New(Limits{Connections: len(test.clients)}, buffer.NewLedger(buffer.Policy{Limit: 1 << 30, SourceShare: 1 << 30}), func(Closed) {})
			var conns []*fakeConn
			for _, client := range test.clients {
				conns = append(conns, client.come(t, gate, 3*time.Second))
			}
			admitted := gate.Admit(&fakeConn{source: "caller"}, start.Add(3*time.Second)) != nil
			assert.Equal(t, admitted, test.closed >= 0)
			for i, conn := range conns {
				assert.Equal(t, conn.closed, i == test.closed, "client %d", i)
			}
		})
	}
}

// TestFurtherVictims guards against a full gate that closes a connection which has carried a request, or has
// got one meanwhile, since it has chosen whom to close before.
func TestFurtherVictims(t *testing.T) {
	gate := New(Limits{Connections: 4}, buffer.NewLedger(buffer.Policy{Limit: 1 << 30, SourceShare: 1 << 30}), func(Closed) {})
	var conns []*fakeConn
	var gated []*Conn
	for i := range 4 {
		conns = append(conns, &fakeConn{source: "a"})
		gated = append(gated, gate.Admit(conns[i], start.Add(time.Duration(i)*stallStep)))
	}
	at := start.Add(10 * stallStep)
	expect := func(want ...bool) {
		t.Helper()
		assert.Assert(t, gate.Admit(&fakeConn{source: "a"}, at) != nil)
		for i, conn := range conns {
			assert.Equal(t, conn.closed, want[i], "connection %d", i)
		}
	}
	expect(true, false, false, false)
	assert.NilError(t, gated[1].Received([]byte("GET / HTTP/1.1\r\n\r\n"), at))
	gated[1].Whole()
	expect(true, false, true, false)
	gated[3].Closed()
	assert.Assert(t, gate.Admit(&fakeConn{source: "a"}, at) != nil)
	assert.Assert(t, gate.Admit(&fakeConn{source: "a"}, at) == nil)
}
