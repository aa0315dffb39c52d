package entry_test

import (
	"bytes"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// memoryConn is one end of a connection in memory, on which a bubble of testing/synctest can
// wait. What was written before a close or a reset can still be read.
type memoryConn struct {
	shared        *sharedState
	other         *memoryConn
	unread        bytes.Buffer // what the other end has written
	ended         bool         // the other end has closed
	wasReset      bool         // by the other end
	closed        bool
	resetsOnClose bool
	readDeadline  time.Time
	writeDeadline time.Time
}

// sharedState is what both ends of a connection lock and wait on.
type sharedState struct {
	mutex   sync.Mutex
	changed *sync.Cond
}

// newMemoryConns returns the two ends of a connection.
func newMemoryConns() (*memoryConn, *memoryConn) {
	shared := &sharedState{}
	shared.changed = sync.NewCond(&shared.mutex)
	a, b := &memoryConn{shared: shared}, &memoryConn{shared: shared}
	a.other, b.other = b, a
	return a, b
}

func passed(deadline time.Time) bool { return !deadline.IsZero() && !time.Now().Before(deadline) }

// Read waits for bytes, the end or the deadline.
func (memoryconn *memoryConn) Read(buffer []byte) (int, error) {
	memoryconn.shared.mutex.Lock()
	defer memoryconn.shared.mutex.Unlock()
	for {
		switch {
		case memoryconn.closed:
			return 0, net.ErrClosed
		case passed(memoryconn.readDeadline):
			return 0, os.ErrDeadlineExceeded
		case memoryconn.unread.Len() > 0:
			return memoryconn.unread.Read(buffer)
		case memoryconn.wasReset:
			return 0, syscall.ECONNRESET
		case memoryconn.ended:
			return 0, io.EOF
		}
		memoryconn.shared.changed.Wait()
	}
}

// Write never waits. An end that has closed resets the connection when it receives bytes.
func (memoryconn *memoryConn) Write(buffer []byte) (int, error) {
	memoryconn.shared.mutex.Lock()
	defer memoryconn.shared.mutex.Unlock()
	switch {
	case memoryconn.closed:
		return 0, net.ErrClosed
	case passed(memoryconn.writeDeadline):
		return 0, os.ErrDeadlineExceeded
	case memoryconn.wasReset:
		return 0, syscall.EPIPE
	case memoryconn.other.closed:
		memoryconn.wasReset = true
		return len(buffer), nil
	}
	memoryconn.other.unread.Write(buffer)
	memoryconn.shared.changed.Broadcast()
	return len(buffer), nil
}

// Close resets the connection after SetLinger(0), or if there are unread bytes, as TCP does.
func (memoryconn *memoryConn) Close() error {
	memoryconn.shared.mutex.Lock()
	defer memoryconn.shared.mutex.Unlock()
	if memoryconn.closed {
		return net.ErrClosed
	}
	memoryconn.closed = true
	if memoryconn.resetsOnClose || memoryconn.unread.Len() > 0 {
		memoryconn.other.wasReset = true
	} else {
		memoryconn.other.ended = true
	}
	memoryconn.shared.changed.Broadcast()
	return nil
}

// SetLinger makes Close reset the connection if seconds is 0.
func (memoryconn *memoryConn) SetLinger(seconds int) error {
	memoryconn.shared.mutex.Lock()
	defer memoryconn.shared.mutex.Unlock()
	memoryconn.resetsOnClose = seconds == 0
	return nil
}

func (memoryconn *memoryConn) SetDeadline(deadline time.Time) error {
	_ = memoryconn.SetWriteDeadline(deadline)
	return memoryconn.SetReadDeadline(deadline)
}

func (memoryconn *memoryConn) SetReadDeadline(deadline time.Time) error {
	memoryconn.shared.mutex.Lock()
	defer memoryconn.shared.mutex.Unlock()
	memoryconn.readDeadline = deadline
	memoryconn.shared.changed.Broadcast()
	if wait := time.Until(deadline); !deadline.IsZero() && wait > 0 {
		time.AfterFunc(wait, memoryconn.shared.changed.Broadcast)
	}
	return nil
}

func (memoryconn *memoryConn) SetWriteDeadline(deadline time.Time) error {
	memoryconn.shared.mutex.Lock()
	defer memoryconn.shared.mutex.Unlock()
	memoryconn.writeDeadline = deadline
	return nil
}

// awaitsSilence returns until when the end is read though nothing may come, and false if it isn't.
func (memoryconn *memoryConn) awaitsSilence() (time.Time, bool) {
	memoryconn.shared.mutex.Lock()
	defer memoryconn.shared.mutex.Unlock()
	return memoryconn.readDeadline, !memoryconn.closed && !memoryconn.readDeadline.IsZero() && !passed(memoryconn.readDeadline)
}

// isOpen reports whether neither end has closed.
func (memoryconn *memoryConn) isOpen() bool {
	memoryconn.shared.mutex.Lock()
	defer memoryconn.shared.mutex.Unlock()
	return !memoryconn.closed && !memoryconn.other.closed
}

func (memoryconn *memoryConn) LocalAddr() net.Addr  { return &net.TCPAddr{} }
func (memoryconn *memoryConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SyscallConn returns a connection that shows a socket in the state of this end.
func (memoryconn *memoryConn) SyscallConn() (syscall.RawConn, error) {
	return rawMemoryConn{memoryconn}, nil
}

// rawMemoryConn makes a pair of sockets for each call, so that what peeks at a socket can be
// tested on the clock of a bubble.
type rawMemoryConn struct{ memoryconn *memoryConn }

// Control calls a function with a socket that has bytes, has ended, was reset or is silent.
func (rawmemoryconn rawMemoryConn) Control(control func(descriptor uintptr)) error {
	memoryconn := rawmemoryconn.memoryconn
	memoryconn.shared.mutex.Lock()
	defer memoryconn.shared.mutex.Unlock()
	if memoryconn.closed {
		return net.ErrClosed
	}
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return err
	}
	defer func() { _, _ = unix.Close(pair[0]), unix.Close(pair[1]) }()
	if err := memoryconn.mirror(&pair); err != nil {
		return err
	}
	control(uintptr(pair[0]))
	return nil
}

// mirror brings the first of a pair of sockets into the state of the end.
func (memoryconn *memoryConn) mirror(pair *[2]int) error {
	var err error
	switch {
	case memoryconn.unread.Len() > 0:
		_, err = unix.Write(pair[1], []byte{0})
		return err
	case memoryconn.wasReset:
		_, err = unix.Write(pair[0], []byte{0}) // closing a socket with unread bytes resets it
	case !memoryconn.ended:
		return nil
	}
	err = errors.CombineErrors(err, unix.Close(pair[1]))
	pair[1] = -1
	return err
}

func (rawMemoryConn) Read(func(descriptor uintptr) bool) error  { return syscall.ENOTSUP }
func (rawMemoryConn) Write(func(descriptor uintptr) bool) error { return syscall.ENOTSUP }
