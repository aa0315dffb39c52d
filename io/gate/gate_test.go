package gate

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"hickorybend/core/buffer"
)

var start = time.Unix(1000, 0)

// fakeConn is a connection of a source that records whether it was closed.
type fakeConn struct {
	net.Conn
	source string
	closed bool
}

func (fakeconn *fakeConn) RemoteAddr() net.Addr             { return address(fakeconn.source + ":1") }
func (fakeconn *fakeConn) SetDeadline(time.Time) error      { return nil }
func (fakeconn *fakeConn) SetWriteDeadline(time.Time) error { return nil }
func (fakeconn *fakeConn) Write(data []byte) (int, error)   { return len(data), nil }
func (fakeconn *fakeConn) Close() error                     { fakeconn.closed = true; return nil }

type address string

func (address address) Network() string { return "tcp" }
func (address address) String() string  { return string(address) }

// client is a client of a case.
type client struct {
	source string
	at     int    // milliseconds after start, when it sends
	text   string // what it sends
	whole  bool   // its request has come whole
	idle   bool   // and has been answered
}

// expectClosed has clients come one after the other and a further one after them, and checks which are closed.
func expectClosed(t *testing.T, limits Limits, clients []client, at int, admitted bool, want ...int) {
	t.Helper()
	gate := New(limits, buffer.NewLedger(buffer.Policy{Limit: 1 << 30, SourceShare: 1 << 30}), func(Closed) {})
	var conns []*fakeConn
	for _, client := range clients {
		now := start.Add(time.Duration(client.at) * time.Millisecond)
		conn := &fakeConn{source: client.source}
		conns = append(conns, conn)
		gated := gate.Admit(conn, now)
		assert.Assert(t, gated != nil)
		assert.NilError(t, gated.Received([]byte(client.text), now))
		if client.whole {
			gated.Whole()
		}
		if client.idle {
			gated.SetState(http.StateIdle, now)
		}
	}
	got := gate.Admit(&fakeConn{source: "a"}, start.Add(time.Duration(at)*time.Millisecond))
	assert.Equal(t, got != nil, admitted)
	var closed []int
	for i, conn := range conns {
		if conn.closed {
			closed = append(closed, i)
		}
	}
	assert.DeepEqual(t, closed, want)
	assert.Assert(t, gate.Open() <= max(limits.Connections, limits.PerSource))
}

// TestFullGateClosesBehavingClient guards against a node without room for a further connection that closes one with
// a request in progress, or an ordinary idle one while others hold theirs without a request.
func TestFullGateClosesBehavingClient(t *testing.T) {
	three := Limits{Connections: 3}
	const head = "GET / HTTP/1.1\r\n"
	for _, test := range []struct {
		name     string
		limits   Limits
		clients  []client
		at       int
		admitted bool
		want     []int
	}{
		{"room", three, []client{{"a", 0, head, false, false}}, 5000, true, nil},
		{"longest without progress", three, []client{{"a", 0, head, true, false}, {"a", 900, head, false, false}, {"a", 2000, head, false, false}}, 5000, true, []int{1}},
		{"largest", three, []client{{"a", 0, head, false, false}, {"a", 0, head + strings.Repeat("x:\r\n", 9), false, false}, {"a", 0, head, false, false}}, 5000, true, []int{1}},
		{"of the source with most", three, []client{{"b", 0, head, false, false}, {"a", 0, head, false, false}, {"a", 0, head, true, false}}, 5000, true, []int{1}},
		{"idle ones last", three, []client{{"a", 0, head, true, true}, {"a", 3000, head, false, false}, {"a", 0, head, true, true}}, 5000, true, []int{1}},
		{"the longest idle one", three, []client{{"a", 900, head, true, true}, {"a", 0, head, true, true}, {"a", 0, head, true, false}}, 5000, true, []int{1}},
		{"all in progress", three, []client{{"a", 0, head, true, false}, {"a", 0, head, true, false}, {"a", 0, head, true, false}}, 5000, false, nil},
		{"all make progress", three, []client{{"a", 4900, head, false, false}, {"a", 4900, head, false, false}, {"a", 4900, head, false, false}}, 5000, false, nil},
		{"a source's own limit", Limits{Connections: 9, PerSource: 2}, []client{{"b", 0, head, false, false}, {"a", 900, head, false, false}, {"a", 2000, head, false, false}}, 5000, true, []int{1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			expectClosed(t, test.limits, test.clients, test.at, test.admitted, test.want...)
		})
	}
}

// TestHeadIsCountedWrongly guards against bodies whose lines count as fields, against fields that are not counted because
// they come in pieces, and against counts that go on from one request to the next.
func TestHeadIsCountedWrongly(t *testing.T) {
	for _, test := range []struct {
		text   string
		fields int
	}{
		{"GET / HTTP/1.1\r\nA: b\r\nC:\r\n\r\n", 3},
		{"GET / HTTP/1.1\nA: b\nC:\n\n", 3},
		{"\r\n\r\nGET / HTTP/1.1\r\n\r\n", 3},
		{"POST / HTTP/1.1\r\nA: b\r\n\r\nline\nline\n\n\nline\n", 2},
		{"POST / HTTP/1.1\r\nA: b\r\n \r\n\r\n\r\n", 3},
	} {
		for piece := 1; piece <= len(test.text); piece++ {
			gate := New(Limits{Fields: 100}, buffer.NewLedger(buffer.Policy{}), func(Closed) {})
			conn := gate.Admit(&fakeConn{source: "a"}, start)
			for range 2 {
				for rest := test.text; rest != ""; rest = rest[min(piece, len(rest)):] {
					assert.NilError(t, conn.Received([]byte(rest[:min(piece, len(rest))]), start))
				}
				assert.Equal(t, conn.fields, test.fields, "%q in pieces of %d", test.text, piece)
				conn.SetState(http.StateIdle, start)
			}
		}
	}
}

// TestTooManyFieldsPass guards against a head with more fields than the limit, and against one at the limit that is refused.
func TestTooManyFieldsPass(t *testing.T) {
	for _, fields := range []int{10, 11} {
		var closed []Closed
		gate := New(Limits{Fields: 10}, buffer.NewLedger(buffer.Policy{}), func(one Closed) { closed = append(closed, one) })
		conn := &fakeConn{source: "a"}
		err := gate.Admit(conn, start).Received([]byte("GET / HTTP/1.1\r\n"+strings.Repeat("x:\r\n", fields)+"\r\n"), start)
		refused := fields > 10
		assert.Equal(t, errors.Is(err, net.ErrClosed), refused, "%v", err)
		assert.Assert(t, !errors.Is(err, io.EOF), "a body that breaks off counts as whole")
		assert.Equal(t, conn.closed, refused)
		assert.Equal(t, len(closed), map[bool]int{true: 1}[refused])
	}
}

// TestHeadsTakeMoreThanBudget guards against heads that take more than the node may hold, and against a whole request
// that is closed for them.
func TestHeadsTakeMoreThanBudget(t *testing.T) {
	ledger := buffer.NewLedger(buffer.Policy{Limit: 1 << 20, SourceShare: 1 << 20})
	gate := New(Limits{}, ledger, func(Closed) {})
	text := []byte("GET / HTTP/1.1\r\n" + strings.Repeat("x1a:\r\n", 2600))
	sound := &fakeConn{source: "b"}
	conn := gate.Admit(sound, start)
	assert.NilError(t, conn.Received(text, start))
	conn.Whole()
	closed := 0
	for i := range 20 {
		conn := &fakeConn{source: fmt.Sprint(i)}
		now := start.Add(time.Duration(i) * time.Second)
		_ = gate.Admit(conn, now).Received(text, now)
		held, ended := ledger.Held()
		assert.Assert(t, held <= 1<<20, "%d bytes", held)
		closed = int(ended)
	}
	assert.Assert(t, closed > 10 && !sound.closed, "%d closed", closed)
	conn.Closed()
	held, _ := ledger.Held()
	assert.Assert(t, held > 0 && held <= 1<<20)
}

// TestPipelinedRequestsGoOn guards against a client that pipelines requests without end, and against one that waits for
// each response and has its connection closed.
func TestPipelinedRequestsGoOn(t *testing.T) {
	const head = "GET / HTTP/1.1\r\n\r\n"
	for _, waits := range []bool{false, true} {
		ended := 0
		gate := New(Limits{}, buffer.NewLedger(buffer.Policy{}), func(Closed) { ended++ })
		conn := gate.Admit(&fakeConn{source: "a"}, start)
		for number := range 3 * maxPipelined {
			if waits || number == 0 {
				assert.NilError(t, conn.Received([]byte(head), start))
			}
			conn.SetState(http.StateActive, start)
			conn.Whole()
			if conn.Ends() {
				break
			}
			conn.SetState(http.StateIdle, start)
		}
		assert.Equal(t, ended, map[bool]int{false: 1}[waits])
	}
}

// TestBodyOfClosedConnectionCountsAsWhole guards against a body that breaks off as the gate closes its connection,
// counts as whole since the read ends like one at the end, and is sent to an endpoint that runs it.
func TestBodyOfClosedConnectionCountsAsWhole(t *testing.T) {
	gate := New(Limits{}, buffer.NewLedger(buffer.Policy{}), func(Closed) {})
	conn := gate.Admit(&fakeConn{source: "a"}, start)
	assert.NilError(t, conn.Received([]byte("POST / HTTP/1.1\r\nContent-Length: 8\r\n\r\nfour"), start))
	conn.end(ReasonMemory)
	err := conn.Received([]byte("more"), start)
	assert.Assert(t, errors.Is(err, net.ErrClosed) && !errors.Is(err, io.EOF), "%v", err)
}

// TestShorterWriteDeadlineIsLost guards against a slow reader of a stream that is dropped only after
// WriteTime, since each write replaces the deadline that the server has set for it.
func TestShorterWriteDeadlineIsLost(t *testing.T) {
	gate := New(Limits{WriteTime: 20 * time.Second}, buffer.NewLedger(buffer.Policy{}), func(Closed) {})
	conn := gate.Admit(&fakeConn{source: "a"}, start)
	for _, test := range []struct{ set, want time.Time }{
		{time.Time{}, start.Add(20 * time.Second)}, {start.Add(2 * time.Second), start.Add(2 * time.Second)}, {start.Add(time.Minute), start.Add(20 * time.Second)},
	} {
		assert.NilError(t, conn.SetWriteDeadline(test.set))
		assert.Equal(t, conn.writeDeadline(start), test.want)
	}
}
