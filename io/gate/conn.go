package gate

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"hickorybend/core/buffer"
	"hickorybend/io/pool"
)

// errClosed ends the reading of a connection that the gate has closed. It is no end of what the client
// sends: a body that breaks off so has not come whole.
var errClosed = errors.Mark(errors.New("gate: the connection was closed"), net.ErrClosed)

// refusal answers a head with too many fields. It promises nothing.
const refusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// Conn is one client's connection.
type Conn struct {
	gate   *Gate
	tcp    net.Conn
	source string
	last   standing // when the gate last looked; guarded by the gate's mutex

	mutex      sync.Mutex
	inHead     bool // a head is being read or awaited
	lineEmpty  bool // no byte of the present line but \r has come
	begun      bool // a byte of a head has come
	served     bool // a request was whole
	whole      bool // the present request is
	ended      bool
	bytes      int64
	fields     int
	begunAt    time.Time // when the first byte of the present request came; zero before
	size       int64     // bytes of it that have come
	progressAt time.Time
	writeBy    time.Time // when the server wants what it writes to have been taken; zero for no such time
	claim      *buffer.Claim

	received  bool // bytes have come since the last response
	waiting   bool // bytes were waiting to be read when it had been written
	pipelined int  // requests in a row that had come before the response to the one before
}

// Received counts bytes that have come. It returns an error if the connection is to be read no more.
func (conn *Conn) Received(data []byte, now time.Time) error {
	conn.mutex.Lock()
	conn.progressAt, conn.received = now, true
	if conn.begunAt.IsZero() {
		conn.begunAt = now
	}
	conn.size += int64(len(data))
	if conn.inHead {
		conn.scan(data)
	}
	// The line of the request counts as one of conn.fields.
	tooMany, cost, ended := conn.gate.limits.Fields > 0 && conn.fields > conn.gate.limits.Fields+1, conn.cost(), conn.ended
	if conn.claim == nil && cost > uncountedCost && !conn.whole && !ended {
		conn.claim = conn.gate.ledger.Begin(buffer.Source{Address: conn.source}, true, now, func() { conn.end(ReasonMemory) })
	}
	claim := conn.claim
	conn.mutex.Unlock()
	switch {
	case ended:
		return errClosed
	case tooMany:
		conn.refuse()
		return errClosed
	case claim != nil && !claim.Grow(cost, now) && !conn.isWhole():
		conn.end(ReasonMemory)
		return errClosed
	}
	return nil
}

// scan counts the bytes and the fields of a head, until the empty line at its end. The server's reader may already
// have the beginning of a head that was pipelined, so that some of its fields are not counted.
func (conn *Conn) scan(data []byte) {
	for i, character := range data {
		switch {
		case character == '\n' && conn.lineEmpty && conn.begun:
			conn.inHead = false
			conn.bytes += int64(i + 1)
			return
		case character == '\n':
			conn.fields++
			conn.lineEmpty = true
		case character != '\r':
			conn.lineEmpty, conn.begun = false, true
		}
	}
	conn.bytes += int64(len(data))
}

// cost returns the bytes that the head takes. The mutex must be held.
func (conn *Conn) cost() int64 { return textFactor*conn.bytes + fieldCost*int64(conn.fields) }

// SetState follows the state of the server's connection.
func (conn *Conn) SetState(state http.ConnState, now time.Time) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.progressAt = now
	switch state {
	case http.StateActive:
		conn.inHead = false
		conn.countPipelined()
	case http.StateIdle, http.StateClosed, http.StateHijacked:
		conn.received, conn.waiting = false, state == http.StateIdle && pool.HasUnread(conn.tcp)
		conn.inHead, conn.lineEmpty, conn.begun, conn.whole, conn.bytes, conn.fields = true, true, false, false, 0, 0
		conn.begunAt, conn.size = time.Time{}, 0
		if conn.claim != nil {
			conn.claim.Release()
			conn.claim = nil
		}
	}
}

// countPipelined counts the requests in a row for which the client has not waited. The mutex must be held.
func (conn *Conn) countPipelined() {
	if conn.served && (conn.waiting || !conn.received) {
		conn.pipelined++
	} else {
		conn.pipelined = 0
	}
}

// Ends reports whether the connection is to be closed after the present response, as its client pipelines requests
// without end. It reports that once.
func (conn *Conn) Ends() bool {
	conn.mutex.Lock()
	ends := conn.pipelined == maxPipelined
	conn.mutex.Unlock()
	if ends {
		conn.gate.onClosed(Closed{Reason: ReasonPipelined, Source: conn.source})
	}
	return ends
}

// Whole records that the present request has come whole. Its connection is not closed any more for want of room.
func (conn *Conn) Whole() {
	if !conn.markWhole() {
		conn.end(ReasonMemory) // it was to be closed before
	}
}

// markWhole reports whether the connection was not to be closed for want of room.
func (conn *Conn) markWhole() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.whole, conn.served = true, true
	return conn.claim == nil || conn.claim.Complete()
}

func (conn *Conn) isWhole() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.whole
}

// SetWriteDeadline sets until when the client has to take what is written, or ends that with the zero time.
func (conn *Conn) SetWriteDeadline(deadline time.Time) error {
	conn.mutex.Lock()
	conn.writeBy = deadline
	conn.mutex.Unlock()
	return conn.tcp.SetWriteDeadline(deadline)
}

// writeDeadline returns until when the client has to take the next piece: within WriteTime, and by the time that
// the server has set.
func (conn *Conn) writeDeadline(now time.Time) time.Time {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	deadline := conn.writeBy
	if limit := conn.gate.limits.WriteTime; limit > 0 && (deadline.IsZero() || now.Add(limit).Before(deadline)) {
		deadline = now.Add(limit)
	}
	return deadline
}

// Write writes to the client piece by piece, each of which it has to take within WriteTime.
func (conn *Conn) Write(data []byte) (written int, err error) {
	for err == nil && written < len(data) {
		_ = conn.tcp.SetWriteDeadline(conn.writeDeadline(time.Now())) // if it fails, so does the write
		var count int
		count, err = conn.tcp.Write(data[written:min(len(data), written+writePiece)])
		written += count
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		conn.end(ReasonUnread)
	}
	return written, err
}

// Closed forgets the connection.
func (conn *Conn) Closed() {
	conn.gate.mutex.Lock()
	conn.gate.remove(conn)
	conn.gate.mutex.Unlock()
	conn.SetState(http.StateClosed, time.Now())
}

// standing returns what decides whether the connection is closed first, and whether it may be at all.
func (conn *Conn) standing(others int, now time.Time) (standing, bool) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	stalled := conn.stalledFor(now) / stallStep
	return standing{served: conn.served, stalled: stalled, cost: conn.cost(), others: others}, !conn.whole && stalled > 0
}

// stalledFor returns for how long the connection has made no progress, or too little: a request that comes
// more slowly than slowRate has made none since its first byte. The mutex must be held.
func (conn *Conn) stalledFor(now time.Time) time.Duration {
	begunFor := now.Sub(conn.begunAt)
	if !conn.begunAt.IsZero() && float64(conn.size) < slowRate*begunFor.Seconds() {
		return begunFor
	}
	return now.Sub(conn.progressAt)
}

// refuse answers a head with too many fields and gives the client time to read the answer.
func (conn *Conn) refuse() {
	_ = conn.tcp.SetDeadline(time.Now().Add(refusalTime))
	_, _ = io.WriteString(conn.tcp, refusal)
	if half, ok := conn.tcp.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, conn.tcp) // its error is the end of the wait
	}
	conn.end(ReasonFields)
}

// end closes the connection, once. What has not been read or sent is dropped.
func (conn *Conn) end(reason Reason) {
	conn.mutex.Lock()
	ended := conn.ended
	conn.ended = true
	closed := Closed{Reason: reason, Source: conn.source, Cost: conn.cost(), Fields: conn.fields}
	conn.mutex.Unlock()
	if ended {
		return
	}
	if tcp, ok := conn.tcp.(interface{ SetLinger(seconds int) error }); ok && reason != ReasonFields {
		_ = tcp.SetLinger(0)
	}
	_ = conn.tcp.Close()
	conn.gate.onClosed(closed)
}
