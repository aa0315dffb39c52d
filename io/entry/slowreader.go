package entry

import (
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// maxUnsentBytes limits what waits in a caller's connection and has not been sent. Without a limit, a write
// that waits goes on only when a third of a buffer of some megabytes is free, so that a
// caller that reads 160 KB a second looks like one that does not read at all.
const maxUnsentBytes = 16 << 10

// limitUnsent limits what waits in a connection. A connection that allows no limit is left as it is.
func limitUnsent(conn net.Conn) {
	syscallconn, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := syscallconn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes)
	})
}

// writeInTime writes part of a stream to the caller and flushes it. A caller that does not read it
// in time is dropped: the endpoint, which this node reads no faster than its caller, would cut
// the stream off, and the stream would be resumed for a caller that does not read.
func (request *request) writeInTime(part []byte) error {
	controller := http.NewResponseController(request.w)
	_ = controller.SetWriteDeadline(time.Now().Add(request.server.policy.CallerPatience))
	_, err := request.w.Write(part)
	if err == nil {
		err = controller.Flush()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		request.stoppedReading = true
		request.server.meter.Count("callers_dropped_unread", request.service)
	}
	return errors.Mark(errors.Wrap(err, "entry: writing to the caller"), errCallerConnection)
}

// endWriteDeadline lets what is written after a stream take any time: no endpoint waits for that.
func (request *request) endWriteDeadline() {
	_ = http.NewResponseController(request.w).SetWriteDeadline(time.Time{})
}
