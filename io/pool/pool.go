package pool

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// ErrUnsent says that no byte of the request left this node.
var ErrUnsent = errors.New("pool: the request was not sent")

// ErrIncompleteResponse says that the request may have arrived and its answer did not.
var ErrIncompleteResponse = errors.New("pool: the answer did not come whole")

const (
	dialLimit     = 500 * time.Millisecond // to open a channel; a round trip between zones takes 10 ms
	unackedLimit  = 3 * time.Second        // TCP_USER_TIMEOUT towards endpoints
	idleUnstated  = 700 * time.Millisecond // an endpoint that states no time-out may close after less than a second
	idleMargin    = 500 * time.Millisecond // before the time-out that an endpoint states
	idleMost      = 20 * time.Second
	mostIdle      = 24 // channels kept for one address
	channelBuffer = 4 << 10
)

// Pool holds idle channels by address.
type Pool struct {
	mutex sync.Mutex
	idle  map[string][]*channel
	dials int64
}

type channel struct {
	conn   net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	until  time.Time // the latest moment of its next use
}

// New makes an empty pool.
func New() *Pool { return &Pool{idle: map[string][]*channel{}} }

// Request is what is sent, byte for byte; Target is the path with its query.
type Request struct {
	Method        string
	Target        string
	Host          string
	Header        http.Header
	Body          []byte
	NewConnection bool // not on a channel that the endpoint may be closing
}

// Exchange is an answer whose body is still to be read.
type Exchange struct {
	Response      *http.Response
	NewConnection bool
	pool          *Pool
	address       string
	channel       *channel
	stop          func() bool
	once          sync.Once
}

// TCPUserTimeout gives a dialer's control that bounds how long sent bytes may
// stay without acknowledgement, so that a silent peer ends the channel.
func TCPUserTimeout(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(descriptor uintptr) {
			failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		return errors.CombineErrors(err, failed)
	}
}

// Send sends a request and reads the head of its answer. It ends when the
// context does, at any time until the exchange is kept or dropped.
func (pool *Pool) Send(ctx context.Context, address string, request Request) (*Exchange, error) {
	channel, fresh, err := pool.take(ctx, address, request.NewConnection)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "pool: opening a channel to %s", address), ErrUnsent)
	}
	exchange := &Exchange{NewConnection: fresh, pool: pool, address: address, channel: channel}
	exchange.stop = context.AfterFunc(ctx, func() { _ = channel.conn.SetDeadline(time.Unix(1, 0)) })
	response, err := channel.roundTrip(request)
	if err != nil {
		exchange.Close()
		return nil, errors.Mark(errors.Wrapf(err, "pool: at %s", address), ErrIncompleteResponse)
	}
	exchange.Response = response
	return exchange, nil
}

func (channel *channel) roundTrip(request Request) (*http.Response, error) {
	sent, err := request.http()
	if err != nil {
		return nil, err
	}
	if err := sent.Write(channel.writer); err != nil {
		return nil, err
	}
	if err := channel.writer.Flush(); err != nil {
		return nil, err
	}
	for {
		response, err := http.ReadResponse(channel.reader, sent)
		if err != nil || response.StatusCode != http.StatusContinue {
			return response, err
		}
	}
}

// Release puts the channel back for another request once the whole body was read.
func (exchange *Exchange) Release() {
	exchange.once.Do(func() {
		_ = exchange.Response.Body.Close()
		if !exchange.stop() || exchange.Response.Close || exchange.channel.reader.Buffered() > 0 || unframed(exchange.Response) {
			_ = exchange.channel.conn.Close()
			return
		}
		exchange.pool.put(exchange.address, exchange.channel, idleTime(exchange.Response.Header))
	})
}

// Close closes the channel; an endpoint that works on the request notices.
func (exchange *Exchange) Close() {
	exchange.once.Do(func() {
		exchange.stop()
		_ = exchange.channel.conn.Close()
	})
}

// Reader gives the answer's channel a deadline for the next read.
func (exchange *Exchange) SetReadDeadline(deadline time.Time) {
	_ = exchange.channel.conn.SetReadDeadline(deadline)
}

// unframed tells whether the answer ends with its channel.
func unframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// Dials counts the channels opened so far.
func (pool *Pool) Dials() int64 {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.dials
}

func (pool *Pool) take(ctx context.Context, address string, fresh bool) (*channel, bool, error) {
	for !fresh {
		kept := pool.pop(address)
		if kept == nil {
			break
		}
		if time.Now().Before(kept.until) && quiet(kept.conn) {
			_ = kept.conn.SetDeadline(time.Time{})
			return kept, false, nil
		}
		_ = kept.conn.Close()
	}
	dialer := net.Dialer{Timeout: dialLimit, Control: TCPUserTimeout(unackedLimit)}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, false, err
	}
	pool.mutex.Lock()
	pool.dials++
	pool.mutex.Unlock()
	return &channel{conn: conn, reader: bufio.NewReaderSize(conn, channelBuffer), writer: bufio.NewWriterSize(conn, channelBuffer)}, true, nil
}

func (pool *Pool) pop(address string) *channel {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	kept := pool.idle[address]
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	pool.idle[address] = kept[:len(kept)-1]
	return last
}

func (pool *Pool) put(address string, channel *channel, idle time.Duration) {
	if idle <= 0 {
		_ = channel.conn.Close()
		return
	}
	_ = channel.conn.SetDeadline(time.Time{})
	channel.until = time.Now().Add(idle)
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	kept := pool.idle[address]
	if len(kept) >= mostIdle {
		_ = kept[0].conn.Close()
		kept = kept[1:]
	}
	pool.idle[address] = append(kept, channel)
}

// Sweep closes channels whose time is over, and all of addresses not in use.
func (pool *Pool) Sweep(used map[string]bool) {
	now := time.Now()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for address, kept := range pool.idle {
		var left []*channel
		for _, channel := range kept {
			if used[address] && now.Before(channel.until) {
				left = append(left, channel)
				continue
			}
			_ = channel.conn.Close()
		}
		if len(left) == 0 {
			delete(pool.idle, address)
			continue
		}
		pool.idle[address] = left
	}
}

// idleTime gives how long a channel may stay idle before its next use.
func idleTime(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return min(time.Duration(seconds)*time.Second-idleMargin, idleMost)
		}
	}
	return idleUnstated
}

// quiet tells whether a kept channel is open and has no bytes waiting; any that
// wait belong to no request.
func quiet(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	var waiting error
	var peek [1]byte
	err = raw.Read(func(descriptor uintptr) bool {
		_, _, waiting = unix.Recvfrom(int(descriptor), peek[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(waiting, unix.EAGAIN)
}
