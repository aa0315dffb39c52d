package drain

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"hickorybend/io/gate"
)

const (
	backlogWait  = 5 * time.Millisecond   // without a new connection, after which the backlog is empty
	pollInterval = 10 * time.Millisecond  // between two looks at the connections
	firstRequest = 300 * time.Millisecond // in which a new connection's first request comes
)

// Listener accepts the connections of one server, and keeps track of them.
type Listener struct {
	*net.TCPListener
	mutex       sync.Mutex
	connections map[*connection]bool
	gate        *gate.Gate // nil for none
	stopping    bool
	closed      chan struct{} // by Close
	stopped     chan struct{} // once no further connection is accepted
	closeOnce   sync.Once
	stopOnce    sync.Once
}

// Listen listens on a TCP address. A gate, which may be nil, admits the connections.
func Listen(address string, gate *gate.Gate) (*Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "drain: listening")
	}
	return &Listener{
		TCPListener: listener.(*net.TCPListener), gate: gate, connections: map[*connection]bool{}, closed: make(chan struct{}), stopped: make(chan struct{}),
	}, nil
}

// Accept returns the next connection. During a drain it returns those of the backlog, closes
// the address, and then waits for Close, so that the server goes on with its connections.
func (listener *Listener) Accept() (net.Conn, error) {
	accepted := true // since the last time-out
	for {
		conn, err := listener.AcceptTCP()
		switch {
		case err == nil:
			if connection := listener.track(conn); connection != nil {
				return connection, nil
			}
			accepted = true
			continue
		case !listener.isStopping() || !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		case !accepted:
			listener.stopOnce.Do(func() { close(listener.stopped) })
			_ = listener.TCPListener.Close()
			<-listener.closed
			return nil, net.ErrClosed
		}
		accepted = false // the next call looks at the backlog before it waits
		_ = listener.SetDeadline(time.Now().Add(backlogWait))
	}
}

// Close closes the address. The connections stay open.
func (listener *Listener) Close() error {
	err := listener.TCPListener.Close()
	listener.closeOnce.Do(func() { close(listener.closed) })
	if errors.Is(err, net.ErrClosed) {
		return nil // Drain has closed it
	}
	return err
}

// Drain accepts what stands in the backlog, closes the address, and closes each connection
// once it is idle. It returns how many are left when the context ends.
func (listener *Listener) Drain(ctx context.Context) (left int) {
	listener.mutex.Lock()
	listener.stopping = true
	listener.mutex.Unlock()
	_ = listener.SetDeadline(time.Now().Add(backlogWait))
	select {
	case <-listener.stopped:
	case <-listener.closed:
	case <-ctx.Done():
	}
	for {
		left = listener.closeIdle(time.Now())
		if left == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return left
		case <-time.After(pollInterval):
		}
	}
}

// closeIdle closes the idle connections and returns how many others there are.
func (listener *Listener) closeIdle(now time.Time) (left int) {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	for connection := range listener.connections {
		if connection.endIfIdle(now) {
			delete(listener.connections, connection)
			continue
		}
		left++
	}
	return left
}

func (listener *Listener) isStopping() bool {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	return listener.stopping
}

// track keeps track of a connection. It closes it and returns nil if the gate has no room for it.
func (listener *Listener) track(conn *net.TCPConn) *connection {
	connection := &connection{TCPConn: conn, listener: listener, openedAt: time.Now()}
	if listener.gate != nil {
		if connection.gated = listener.gate.Admit(conn, connection.openedAt); connection.gated == nil {
			_ = conn.Close()
			return nil
		}
	}
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	listener.connections[connection] = true
	return connection
}

func (listener *Listener) forget(connection *connection) {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	delete(listener.connections, connection)
}

// ConnState keeps track of which connections are with a handler; it is for http.Server.
func ConnState(conn net.Conn, state http.ConnState) {
	if connection, tracked := conn.(*connection); tracked {
		connection.setState(state)
	}
}
