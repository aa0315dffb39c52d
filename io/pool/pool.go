package pool

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// ErrUnsent marks errors after which no byte of the request has left this node.
var ErrUnsent = errors.New("pool: the request was not sent")

// ErrGivenUp marks errors of requests that could have been sent, but whose context had ended or
// that nobody wanted any more. They are marked by ErrUnsent too.
var ErrGivenUp = errors.New("pool: the request was given up")

// ErrIncompleteResponse marks errors after which the request may have arrived, but
// its response has not.
var ErrIncompleteResponse = errors.New("pool: the response is incomplete")

// ErrInvalidResponse marks errors of responses whose head is none of HTTP, or whose status is not one of a
// final response. They are marked by ErrIncompleteResponse too: the request may have run.
var ErrInvalidResponse = errors.New("pool: the response is invalid")

const (
	dialTimeout        = 500 * time.Millisecond // a round trip between zones takes 10 ms
	unackedDataTimeout = 3 * time.Second        // TCP_USER_TIMEOUT of connections to endpoints
	defaultIdleTimeout = 700 * time.Millisecond // if the endpoint states none; it may then close the connection after less than a second
	idleMargin         = 500 * time.Millisecond // subtracted from the timeout that the endpoint states
	maxIdleTimeout     = 20 * time.Second
	safeIdleFraction   = 0.8                    // of the timeout that the endpoint states, for a request that may run once at most
	maxSafeIdle        = 2 * time.Second        // for such a request: the endpoint's host may have been lost meanwhile
	resetWait          = 20 * time.Millisecond  // and twice the time that opening took, in which an endpoint resets a new connection
	maxIdlePerAddress  = 24                     // idle connections kept for each address
	resetWindow        = 100 * time.Millisecond // after opening, in which a reset means that the endpoint accepts no further connection
	bufferBytes        = 4 << 10
	maxHeadBytes       = 64 << 10 // of a response, with the interim responses before it
)

// Pool holds the connections by address.
type Pool struct {
	mutex     sync.Mutex
	endpoints map[string]*endpoint // by address
	budgets   map[string]Budget    // by address; replaced as a whole
	counts    map[string]*Counts   // by service
	onReset   func(Reset)
	onGivenUp func(GivenUp)
	onCopy    func(LateCopy)
	late      func(since time.Time) bool
	answerIDs func(http.Header) []string // nil if answers bear none
	dial      Dial
	dials     int64
}

// Reset says that an endpoint has reset a connection right after it was opened, as it
// does with those beyond the number that it accepts.
type Reset struct {
	Address string
	Open    int // connections that this node had open there, this one included
	At      time.Time
}

// GivenUp says that a request was given up while the endpoint had not acknowledged all of it.
type GivenUp struct {
	Address        string
	Waited         time.Duration // from the call of Send until the first byte was written
	Unacknowledged int           // bytes, which the endpoint will not get
}

// LateCopy says that an answer to an earlier request on a connection has come once more, in place of
// the one that was due.
type LateCopy struct {
	Address string
	ID      string // of the request whose answer was due; empty if it has none
	CopyID  string // of the request that the copy answers; empty if it has none
	Status  int
}

// connection is a TCP connection to an endpoint with its buffers.
type connection struct {
	conn       net.Conn
	head       *headLimit
	reader     *bufio.Reader // reads from head
	writer     *bufio.Writer
	openedAt   time.Time
	expiresAt  time.Time // when it may no longer be reused
	safeUntil  time.Time // when it may no longer be reused for a request that may run once at most
	history    history
	hasCopied  bool // the endpoint has sent a copy of an earlier answer on it
	hasInterim bool // the endpoint has sent an interim response on it, which no request asks for
	headOnly   bool // it carries HEAD requests only, whose answers have no bodies
}

// headLimit limits the bytes of a head, which net/http reads without a limit. It
// counts those that are read from the connection, so part of the body may count.
type headLimit struct {
	conn    net.Conn
	limited bool
	left    int
}

var errHeadTooLong = errors.Newf("pool: the head of the response has more than %d bytes", maxHeadBytes)

// Read reads from the connection.
func (headlimit *headLimit) Read(buffer []byte) (int, error) {
	if !headlimit.limited {
		return headlimit.conn.Read(buffer)
	}
	if headlimit.left <= 0 {
		return 0, errHeadTooLong
	}
	count, err := headlimit.conn.Read(buffer[:min(len(buffer), headlimit.left)])
	headlimit.left -= count
	return count, err
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Option configures a pool before it is used.
type Option func(*Pool)

// WithDial sets the function that opens connections. They have to be syscall.Conns.
func WithDial(dial Dial) Option { return func(pool *Pool) { pool.dial = dial } }

// WithAnswerIDs sets the function that returns the IDs of requests that the headers of an answer bear.
// Answers to earlier requests on a connection are skipped then, no connection carries two requests
// without an ID, and one that may run once at most gets a new connection.
func WithAnswerIDs(answerIDs func(http.Header) []string) Option {
	return func(pool *Pool) { pool.answerIDs = answerIDs }
}

// New creates an empty pool.
func New(options ...Option) *Pool {
	dialer := &net.Dialer{Control: TCPUserTimeout(unackedDataTimeout)}
	pool := &Pool{
		endpoints: map[string]*endpoint{}, counts: map[string]*Counts{}, onReset: func(Reset) {}, onGivenUp: func(GivenUp) {},
		onCopy: func(LateCopy) {}, late: func(time.Time) bool { return false }, dial: dialer.DialContext,
	}
	for _, option := range options {
		option(pool)
	}
	return pool
}

// OnReset sets the function that is called for a reset right after opening. It must be
// called before the pool is used.
func (pool *Pool) OnReset(onReset func(Reset)) { pool.onReset = onReset }

// OnGivenUp sets the function that is called for a request that was given up while bytes of it
// were on their way. It must be called before the pool is used.
func (pool *Pool) OnGivenUp(onGivenUp func(GivenUp)) { pool.onGivenUp = onGivenUp }

// OnCopy sets the function that is called for a copy of an earlier answer. It must be called before
// the pool is used.
func (pool *Pool) OnCopy(onCopy func(LateCopy)) { pool.onCopy = onCopy }

// Request is the request to send. Target, the path with its query, is sent byte for
// byte.
type Request struct {
	ID            string // which answers repeat; a connection carries each once. Empty if there is none
	Method        string
	Target        string
	Host          string
	Header        http.Header
	Body          []byte
	NewConnection bool // don't reuse an idle connection, which the endpoint may be closing
	AtMostOnce    bool // the request may run once at most, and may have run once a byte of it was sent
	Own           bool // one of this node's own requests: a probe or a command

	// Wanted is asked right before the first byte is sent; nil stands for always.
	Wanted func() bool
}

// Exchange is a request whose response body is still to be read.
type Exchange struct {
	Response      *http.Response
	NewConnection bool // the connection was opened for this request
	pool          *Pool
	address       string
	connection    *connection
	own           bool
	stop          func() bool   // detaches the connection from the context of Send
	waited        time.Duration // before the first byte was written
	once          sync.Once
}

// TCPUserTimeout returns a Control function for a dialer that limits how long sent
// bytes may stay unacknowledged, so that connections to an unresponsive peer are
// closed.
func TCPUserTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(descriptor uintptr) {
			optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		return errors.CombineErrors(err, optionErr)
	}
}

// Send sends a request and reads the headers of its response. Canceling the context
// ends the exchange at any time until the exchange is released or closed.
func (pool *Pool) Send(ctx context.Context, address string, request Request) (*Exchange, error) {
	startedAt := time.Now()
	if request.ID == "" && pool.answerIDs != nil {
		request.ID = noID
		request.NewConnection = request.NewConnection || request.AtMostOnce
	}
	connection, isNew, err := pool.get(ctx, address, request)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "pool: connecting to %s", address), ErrUnsent)
	}
	exchange := &Exchange{NewConnection: isNew, pool: pool, address: address, connection: connection, own: request.Own}
	if ctx.Err() != nil || request.Wanted != nil && !request.Wanted() {
		exchange.putBack()
		return nil, errors.Mark(errors.Mark(errors.Newf("pool: not sent to %s", address), ErrGivenUp), ErrUnsent)
	}
	exchange.waited = time.Since(startedAt)
	connection.history.add(request.ID)
	exchange.stop = context.AfterFunc(ctx, func() { _ = connection.conn.SetDeadline(time.Unix(1, 0)) })
	response, err := pool.roundTrip(address, connection, request)
	if err != nil {
		exchange.fail(err)
		return nil, errors.Mark(errors.Wrapf(err, "pool: at %s", address), ErrIncompleteResponse)
	}
	exchange.Response = response
	return exchange, nil
}

// fail closes the connection of an exchange without a response. If the endpoint has
// closed it, its place is free at once.
func (exchange *Exchange) fail(err error) {
	if !errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE) {
		exchange.Close()
		return
	}
	exchange.once.Do(func() {
		exchange.stop()
		_ = exchange.connection.conn.Close()
		if exchange.NewConnection && isReset(err) && time.Since(exchange.connection.openedAt) < resetWindow {
			exchange.pool.reportReset(exchange.address)
		}
		exchange.pool.release(exchange.address, exchange.own, true, nil)
	})
}

func isReset(err error) bool { return errors.IsAny(err, syscall.ECONNRESET, syscall.EPIPE) }

// reportReset counts a reset right after opening and calls the function of OnReset,
// while the connection still counts as open.
func (pool *Pool) reportReset(address string) {
	pool.mutex.Lock()
	pool.count(address).Resets++
	reset := Reset{Address: address, Open: pool.endpoint(address).open, At: time.Now()}
	pool.mutex.Unlock()
	pool.onReset(reset)
}

// roundTrip writes the request and reads the headers of the final response. It skips interim
// responses, whatever they say, and copies of responses to earlier requests.
func (pool *Pool) roundTrip(address string, connection *connection, request Request) (*http.Response, error) {
	httpRequest, err := request.httpRequest()
	if err != nil {
		return nil, err
	}
	if err := httpRequest.Write(connection.writer); err != nil {
		return nil, err
	}
	if err := connection.writer.Flush(); err != nil {
		return nil, err
	}
	connection.head.limited, connection.head.left = true, maxHeadBytes
	defer func() { connection.head.limited = false }()
	for {
		response, err := connection.readHead(httpRequest)
		switch {
		case err != nil:
			return nil, err
		case response.StatusCode < http.StatusOK:
			connection.hasInterim = true
			continue
		}
		switch skipped, err := pool.skipCopy(address, connection, request, response); {
		case err != nil:
			return nil, err
		case !skipped:
			return response, nil
		}
	}
}

var (
	errCopyEndsConnection = errors.New("pool: a copy of an earlier answer ends with the connection")
	errOthersAnswer       = errors.New("pool: the answer bears an ID, and the request has none")
)

// skipCopy reads the body of a copy of the answer to an earlier request, which together with the heads
// is limited by maxHeadBytes. It reports whether the answer is one.
func (pool *Pool) skipCopy(address string, connection *connection, request Request, response *http.Response) (bool, error) {
	if pool.answerIDs == nil {
		return false, nil
	}
	answerID := idOf(pool.answerIDs(response.Header))
	switch {
	case answerID == request.ID:
		return false, nil
	case connection.history.contains(answerID):
	case request.ID == noID:
		return false, errOthersAnswer
	default:
		return false, nil
	}
	pool.onCopy(LateCopy{Address: address, ID: strings.TrimPrefix(request.ID, noID), CopyID: strings.TrimPrefix(answerID, noID), Status: response.StatusCode})
	connection.hasCopied = true
	if endsWithConnection(response) {
		return true, errCopyEndsConnection
	}
	_, err := io.Copy(io.Discard, response.Body)
	return true, errors.CombineErrors(err, response.Body.Close())
}

// ReadBody reads the complete body. If that fails, or the body is longer than the
// limit, it closes the connection.
func (exchange *Exchange) ReadBody(limit int64) ([]byte, error) {
	body, err := ReadBody(exchange.Response.Body, limit)
	if err != nil {
		exchange.Close()
		return nil, errors.Mark(err, ErrIncompleteResponse)
	}
	return body, nil
}

// ReadBody reads a complete body. One that is longer than the limit is an error, so
// that a part of it does not pass for the whole.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	read, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(read)) > limit {
		err = errors.Newf("pool: the body has more than %d bytes", limit)
	}
	return read, err
}

// Release returns the connection to the pool, after the complete body was read. It
// closes a connection that can't be reused.
func (exchange *Exchange) Release() {
	exchange.once.Do(func() {
		_ = exchange.Response.Body.Close()
		timeout := idleTimeout(exchange.Response.Header)
		connection := exchange.connection
		if !exchange.stop() || exchange.Response.Close || connection.reader.Buffered() > 0 || exchange.EndsWithConnection() || connection.hasCopied || connection.hasInterim || connection.history.full() {
			timeout = 0
		}
		exchange.pool.put(exchange, timeout)
	})
}

// putBack gives back the connection of an exchange of which no byte was sent.
func (exchange *Exchange) putBack() {
	exchange.pool.release(exchange.address, exchange.own, false, func(endpoint *endpoint) {
		if exchange.NewConnection { // the endpoint has not stated how long it may be idle
			exchange.pool.retire(endpoint, exchange.connection)
			return
		}
		endpoint.idle = append(endpoint.idle, exchange.connection)
		exchange.pool.trim(endpoint)
	})
}

// Close resets the connection, which cancels the request at the endpoint. What the endpoint has
// not received of the request is not delivered.
func (exchange *Exchange) Close() {
	exchange.once.Do(func() {
		exchange.stop()
		if unacknowledged := unacknowledgedBytes(exchange.connection.conn); unacknowledged > 0 {
			exchange.pool.onGivenUp(GivenUp{Address: exchange.address, Waited: exchange.waited, Unacknowledged: unacknowledged})
		}
		exchange.pool.release(exchange.address, exchange.own, false, func(endpoint *endpoint) {
			exchange.pool.abort(endpoint, exchange.connection)
		})
	})
}

// SetReadDeadline sets the deadline for reading the response body.
func (exchange *Exchange) SetReadDeadline(deadline time.Time) {
	_ = exchange.connection.conn.SetReadDeadline(deadline)
}

// EndsWithConnection reports whether only the end of the connection marks the end of
// the response body.
func (exchange *Exchange) EndsWithConnection() bool { return endsWithConnection(exchange.Response) }

func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// HasUnread reports whether bytes have come on the connection beyond what was read of the
// response. After a complete response they belong to no request.
func (exchange *Exchange) HasUnread() bool {
	return exchange.connection.reader.Buffered() > 0 || HasUnread(exchange.connection.conn)
}

// Dials returns the number of connections opened so far.
func (pool *Pool) Dials() int64 {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.dials
}

// get returns an idle connection or dials a new one, and whether it is new.
func (pool *Pool) get(ctx context.Context, address string, request Request) (*connection, bool, error) {
	for {
		idle, err := pool.acquire(ctx, address, request)
		if err != nil {
			return nil, false, err
		}
		if idle == nil {
			break
		}
		if time.Now().Before(idle.expiresAt) && reusable(idle.conn) {
			_ = idle.conn.SetDeadline(time.Time{})
			return idle, false, nil
		}
		pool.release(address, request.Own, false, func(endpoint *endpoint) { pool.retire(endpoint, idle) })
	}
	startedAt := time.Now()
	conn, err := pool.open(ctx, address)
	if err != nil {
		pool.releaseFailed(address, request.Own, err)
		return nil, false, err
	}
	pool.mutex.Lock()
	pool.dials++
	pool.count(address).Opened++
	pool.mutex.Unlock()
	head := &headLimit{conn: conn}
	opened := &connection{
		conn: conn, head: head, reader: bufio.NewReaderSize(head, bufferBytes), writer: bufio.NewWriterSize(conn, bufferBytes), openedAt: time.Now(),
		headOnly: request.isHead(),
	}
	if request.AtMostOnce {
		if err := awaitReset(conn, min(resetWait+2*opened.openedAt.Sub(startedAt), resetWindow)); err != nil {
			_ = conn.Close()
			pool.releaseFailed(address, request.Own, err)
			return nil, false, err
		}
	}
	return opened, true, nil
}

// releaseFailed gives back the place of a new connection that the endpoint has not
// accepted.
func (pool *Pool) releaseFailed(address string, own bool, err error) {
	if isReset(err) {
		pool.reportReset(address)
	}
	pool.release(address, own, true, nil)
}

// awaitReset returns an error if the endpoint ends a new connection, or sends anything,
// within a time. Until then no byte of a request was sent, so that it has not run.
func awaitReset(conn net.Conn, wait time.Duration) error {
	if err := conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	var buffer [1]byte
	switch count, err := conn.Read(buffer[:]); {
	case count > 0:
		return errors.New("pool: the endpoint has sent bytes before the request")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return conn.SetReadDeadline(time.Time{})
	default:
		return err
	}
}

// put keeps the connection of an exchange for reuse. If its address has too many, or
// more than its budget, those that were idle for longest are closed.
func (pool *Pool) put(exchange *Exchange, idleTimeout time.Duration) {
	connection := exchange.connection
	pool.release(exchange.address, exchange.own, false, func(endpoint *endpoint) {
		if idleTimeout <= 0 {
			pool.retire(endpoint, connection)
			return
		}
		_ = connection.conn.SetDeadline(time.Time{})
		connection.expiresAt = time.Now().Add(idleTimeout)
		connection.safeUntil = time.Now().Add(safeIdleTimeout(exchange.Response.Header))
		endpoint.idle = append(endpoint.idle, connection)
		pool.trim(endpoint)
	})
}

// trim closes the idle connections that are too many. The mutex must be held.
func (pool *Pool) trim(endpoint *endpoint) {
	for len(endpoint.idle) > maxIdlePerAddress || len(endpoint.idle) > 0 && endpoint.hasBudget && endpoint.open-endpoint.closing > endpoint.budget.total() {
		pool.closeOldest(endpoint)
	}
}

// Sweep closes expired idle connections, those beyond the budgets, and all those to
// addresses not in use.
func (pool *Pool) Sweep(inUse map[string]bool) {
	now := time.Now()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for address := range pool.endpoints {
		endpoint := pool.endpoint(address)
		endpoint.idle = slices.DeleteFunc(endpoint.idle, func(connection *connection) bool {
			expired := !inUse[address] || !now.Before(connection.expiresAt)
			if expired {
				pool.retire(endpoint, connection)
			}
			return expired
		})
		pool.trim(endpoint)
		if endpoint.open == 0 && endpoint.waiting == 0 {
			delete(pool.endpoints, address)
		}
	}
}

// idleTimeout returns how long a connection may stay idle and still be reused,
// according to the response's Keep-Alive header.
func idleTimeout(header http.Header) time.Duration {
	if stated, found := statedIdleTimeout(header); found {
		return min(stated-idleMargin, maxIdleTimeout)
	}
	return defaultIdleTimeout
}

// safeIdleTimeout returns the same for a request that may run once at most. An endpoint
// that closes the connection meanwhile leaves open whether it has run, so that the
// endpoint must have stated its timeout.
func safeIdleTimeout(header http.Header) time.Duration {
	stated, _ := statedIdleTimeout(header)
	return min(time.Duration(safeIdleFraction*float64(stated)), stated-idleMargin, maxSafeIdle)
}

// statedIdleTimeout returns the timeout that a Keep-Alive header states, and whether it
// states one.
func statedIdleTimeout(header http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

// reusable reports whether an idle connection is open and has no unread bytes. Any
// such bytes belong to no request.
func reusable(conn net.Conn) bool {
	_, err := peek(conn)
	return errors.Is(err, unix.EAGAIN)
}

// Ended reports whether the other side of a connection has closed or reset it, also if nobody
// has read that yet.
func Ended(conn net.Conn) bool {
	count, err := peek(conn)
	return err == nil && count == 0 || errors.Is(err, unix.ECONNRESET)
}

// HasUnread reports whether bytes have come on a connection that nobody has read yet.
func HasUnread(conn net.Conn) bool {
	count, err := peek(conn)
	return err == nil && count > 0
}

// peek returns how many bytes of a connection can be read at once, one at most, and none at its
// end. The error is EAGAIN if there is neither a byte nor the end.
func peek(conn net.Conn) (count int, err error) {
	syscallconn, ok := conn.(syscall.Conn)
	if !ok {
		return 0, unix.ENOTSOCK
	}
	raw, err := syscallconn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var peekErr error
	var buffer [1]byte
	err = raw.Control(func(descriptor uintptr) {
		count, _, peekErr = unix.Recvfrom(int(descriptor), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return count, peekErr
}

// unacknowledgedBytes returns how many written bytes the other side has not acknowledged, or 0
// if that is not known.
func unacknowledgedBytes(conn net.Conn) int {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0
	}
	count := 0
	err = raw.Control(func(descriptor uintptr) {
		if queued, ioctlErr := unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ); ioctlErr == nil {
			count = queued
		}
	})
	if err != nil {
		return 0
	}
	return count
}
