package pool

import (
	"context"
	"io"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNoRoom marks errors of requests for which this node may have no further connection
// open to the endpoint. They are marked by ErrUnsent too.
var ErrNoRoom = errors.New("pool: no room for a further connection")

const (
	closeTimeout = 100 * time.Millisecond // until a connection that was closed here counts as closed at the endpoint, if that does not show it
	closeGrace   = 10 * time.Millisecond  // after the endpoint has closed its side, for it to count one connection less
	roomTimeout  = 150 * time.Millisecond // longest wait for such a place
	maxDrained   = 64 << 10               // bytes that are read from a connection that is being closed
)

// Budget is how many connections this node may have open to one endpoint: in use, being
// opened, idle, and closed here but not yet there.
type Budget struct {
	Service  string // of the endpoint, for the counts
	Requests int    // in use for callers' requests
	Own      int    // in use for this node's own: probes and commands
}

func (budget Budget) total() int { return budget.Requests + budget.Own }

// Counts are the connections to a service's endpoints.
type Counts struct {
	Open    int   // in use, being opened, idle and closing
	Idle    int   // kept for reuse
	Opened  int64 // since the start, as the following ones
	Resets  int64 // by the endpoint, right after opening
	Evicted int64 // idle ones that were closed to make room for another
	NoRoom  int64 // requests that were not sent for want of room
}

// endpoint is the connections to one address.
type endpoint struct {
	idle      []*connection // the last used one comes last
	open      int           // in use, being opened, idle and closing
	closing   int           // closed here, but perhaps not yet at the endpoint
	retiring  int           // those of them that carried no request any more
	inUse     int           // for callers' requests, those being opened included
	ownInUse  int           // the same for this node's own requests
	waiting   int           // requests that wait for a place
	changed   chan struct{} // closed when there may be a place
	hasBudget bool
	budget    Budget
}

// SetBudgets sets the budgets by address, and closes idle connections beyond them.
// Connections to other addresses have no budget.
func (pool *Pool) SetBudgets(budgets map[string]Budget) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.budgets = budgets
	for address := range pool.endpoints {
		pool.trim(pool.endpoint(address))
	}
}

// CountsByService returns the counts of all services that have had a budget.
func (pool *Pool) CountsByService() map[string]Counts {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	counts := map[string]Counts{}
	for service, known := range pool.counts {
		counts[service] = *known
	}
	for address, endpoint := range pool.endpoints {
		service := pool.budgets[address].Service
		sum := counts[service]
		sum.Open += endpoint.open
		sum.Idle += len(endpoint.idle)
		counts[service] = sum
	}
	return counts
}

// count returns the counts to which an address adds. The mutex must be held.
func (pool *Pool) count(address string) *Counts {
	service := pool.budgets[address].Service
	if pool.counts[service] == nil {
		pool.counts[service] = &Counts{}
	}
	return pool.counts[service]
}

// endpoint returns the connections to an address, with the present budget. The mutex
// must be held.
func (pool *Pool) endpoint(address string) *endpoint {
	if pool.endpoints[address] == nil {
		pool.endpoints[address] = &endpoint{changed: make(chan struct{})}
	}
	endpoint := pool.endpoints[address]
	endpoint.budget, endpoint.hasBudget = pool.budgets[address]
	return endpoint
}

// acquire takes a place for a request within the budget. It returns an idle connection,
// or nil if one may be opened. If the places are taken by idle connections, the oldest
// is closed; a place is free once the endpoint has closed it too.
func (pool *Pool) acquire(ctx context.Context, address string, request Request) (*connection, error) {
	timer := time.NewTimer(roomTimeout)
	defer timer.Stop()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for {
		endpoint := pool.endpoint(address)
		if endpoint.mayUse(request.Own) {
			if idle, granted := endpoint.take(request); granted {
				return idle, nil
			}
			if len(endpoint.idle) > 0 && endpoint.retiring <= endpoint.waiting {
				pool.count(address).Evicted++
				pool.closeOldest(endpoint)
			}
		}
		if !endpoint.mayGetPlace(request.Own) {
			pool.count(address).NoRoom++
			return nil, ErrNoRoom
		}
		if err := pool.awaitChange(ctx, endpoint, timer.C); err != nil {
			pool.count(address).NoRoom++
			return nil, err
		}
	}
}

// mayUse reports whether one more connection may be in use.
func (endpoint *endpoint) mayUse(own bool) bool {
	switch {
	case !endpoint.hasBudget:
		return true
	case own:
		return endpoint.ownInUse < endpoint.budget.Own
	default:
		return endpoint.inUse < endpoint.budget.Requests
	}
}

// mayGetPlace reports whether a request that has no place may soon get one. The node's
// own requests are short, so that the next one can wait for them.
func (endpoint *endpoint) mayGetPlace(own bool) bool {
	return endpoint.closing > 0 && endpoint.mayUse(own) || own && endpoint.ownInUse > 0
}

// take takes an idle connection, or the place for one that is to be opened. It reports
// false if neither can be had.
func (endpoint *endpoint) take(request Request) (*connection, bool) {
	if i, idle := endpoint.lastFor(request); idle != nil && request.mayReuse(idle) {
		endpoint.idle = slices.Delete(endpoint.idle, i, i+1)
		endpoint.addInUse(request.Own, 1)
		return idle, true
	}
	if endpoint.hasBudget && endpoint.open >= endpoint.budget.total() {
		return nil, false
	}
	endpoint.open++
	endpoint.addInUse(request.Own, 1)
	return nil, true
}

// lastFor returns the connection that was used last of the idle ones on which a late copy of an
// answer can be told from the answer to a request, with its index, or nil if there is none. The end of
// a copy's body is known only if all requests on the connection have answers with bodies, or none has.
func (endpoint *endpoint) lastFor(request Request) (int, *connection) {
	for i, idle := range slices.Backward(endpoint.idle) {
		if !idle.history.contains(request.ID) && idle.headOnly == request.isHead() {
			return i, idle
		}
	}
	return 0, nil
}

// mayReuse reports whether the request may be sent on an idle connection.
func (request Request) mayReuse(idle *connection) bool {
	return !request.NewConnection && (!request.AtMostOnce || time.Now().Before(idle.safeUntil))
}

func (endpoint *endpoint) addInUse(own bool, change int) {
	if own {
		endpoint.ownInUse += change
	} else {
		endpoint.inUse += change
	}
}

// awaitChange waits until there may be a place. The mutex must be held; it is not while
// waiting.
func (pool *Pool) awaitChange(ctx context.Context, endpoint *endpoint, timeout <-chan time.Time) error {
	endpoint.waiting++
	changed := endpoint.changed
	pool.mutex.Unlock()
	var err error
	select {
	case <-changed:
	case <-ctx.Done():
		err = errors.Mark(errors.Wrap(context.Cause(ctx), "pool: waiting for room"), ErrNoRoom) // nothing was dialed
	case <-timeout:
		err = ErrNoRoom
	}
	pool.mutex.Lock()
	endpoint.waiting--
	return err
}

// wake wakes the requests that wait for a place. The mutex must be held.
func (endpoint *endpoint) wake() {
	if endpoint.waiting > 0 {
		close(endpoint.changed)
		endpoint.changed = make(chan struct{})
	}
}

// release ends the use of a connection that is then idle, closing, or, with closed, no
// longer open.
func (pool *Pool) release(address string, own, closed bool, then func(*endpoint)) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	endpoint := pool.endpoint(address)
	endpoint.addInUse(own, -1)
	if closed {
		endpoint.open--
	} else {
		then(endpoint)
	}
	endpoint.wake()
}

// closeOldest closes the connection that was idle for longest. The mutex must be held.
func (pool *Pool) closeOldest(endpoint *endpoint) {
	oldest := endpoint.idle[0]
	endpoint.idle = slices.Delete(endpoint.idle, 0, 1)
	pool.retire(endpoint, oldest)
}

// retire closes a connection without a request, and waits until the endpoint has closed
// it too. The mutex must be held.
func (pool *Pool) retire(endpoint *endpoint, connection *connection) {
	endpoint.closing++
	endpoint.retiring++
	go func() {
		closeBothSides(connection.conn)
		time.Sleep(closeGrace)
		pool.mutex.Lock()
		defer pool.mutex.Unlock()
		endpoint.retiring--
		endpoint.closed()
	}()
}

// abort resets a connection in the middle of an exchange: an ordinary close would still deliver
// what stands in the send buffer. The mutex must be held.
func (pool *Pool) abort(endpoint *endpoint, connection *connection) {
	endpoint.closing++
	if conn, ok := connection.conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = conn.SetLinger(0) // if it fails, the connection has ended
	}
	_ = connection.conn.Close()
	time.AfterFunc(closeTimeout, func() {
		pool.mutex.Lock()
		defer pool.mutex.Unlock()
		endpoint.closed()
	})
}

// closed frees the place of a connection that is closed on both sides. The mutex must be
// held.
func (endpoint *endpoint) closed() {
	endpoint.closing--
	endpoint.open--
	endpoint.wake()
}

// closeBothSides closes a connection for writing, and closes it once the other side has
// done so too, or after closeTimeout.
func closeBothSides(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	tcp, ok := conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil || conn.SetReadDeadline(time.Now().Add(closeTimeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(conn, maxDrained)) // its error is the end of the wait
}
