package drain

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"hickorybend/io/gate"
	"hickorybend/io/pool"
)

// connection is a server's connection to a client.
type connection struct {
	*net.TCPConn
	listener *Listener
	openedAt time.Time
	gated    *gate.Conn // nil without a gate

	mutex    sync.Mutex
	handled  bool // the server has begun a request
	used     bool // a byte has been read
	received bool // a byte has been read since the last one was written
	ending   bool // what comes from now on is not read
}

// Read reads from the client.
func (connection *connection) Read(buffer []byte) (int, error) {
	count, err := connection.TCPConn.Read(buffer)
	if connection.markRead(count) {
		return 0, io.EOF // a request that crosses the close must not be handled
	}
	if count > 0 && connection.gated != nil {
		if gateErr := connection.gated.Received(buffer[:count], time.Now()); gateErr != nil {
			return 0, gateErr
		}
	}
	return count, err
}

// markRead records that bytes were read. It reports whether they are not to be handled.
func (connection *connection) markRead(count int) (ending bool) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if count > 0 && !connection.ending {
		connection.used, connection.received = true, true
	}
	return connection.ending
}

// Write writes to the client.
func (connection *connection) Write(buffer []byte) (int, error) {
	connection.mutex.Lock()
	connection.received = false
	connection.mutex.Unlock()
	if connection.gated != nil {
		return connection.gated.Write(buffer)
	}
	return connection.TCPConn.Write(buffer)
}

// SetWriteDeadline sets until when the client has to take what is written.
func (connection *connection) SetWriteDeadline(deadline time.Time) error {
	if connection.gated != nil {
		return connection.gated.SetWriteDeadline(deadline)
	}
	return connection.TCPConn.SetWriteDeadline(deadline)
}

// Close closes the connection.
func (connection *connection) Close() error {
	connection.listener.forget(connection)
	if connection.gated != nil {
		connection.gated.Closed()
	}
	return connection.TCPConn.Close()
}

// RequestWhole records that the present request has come whole.
func (connection *connection) RequestWhole() {
	if connection.gated != nil {
		connection.gated.Whole()
	}
}

// Ends reports whether the connection is to be closed after the present response.
func (connection *connection) Ends() bool { return connection.gated != nil && connection.gated.Ends() }

func (connection *connection) setState(state http.ConnState) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.handled = state == http.StateActive
	if connection.gated != nil {
		connection.gated.SetState(state, time.Now())
	}
}

// endIfIdle closes the connection unless a request is in progress on it, or part of one has
// come, or the first one is to be expected. It reports whether it has.
func (connection *connection) endIfIdle(now time.Time) bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if connection.handled || connection.received || pool.HasUnread(connection.TCPConn) || !connection.used && now.Sub(connection.openedAt) < firstRequest {
		return false
	}
	connection.ending = true
	_ = connection.TCPConn.Close()
	return true
}
