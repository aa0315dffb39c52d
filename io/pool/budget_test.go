package pool_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"hickorybend/io/pool"
)

// countingEndpoint counts the connections that are open at an endpoint.
type countingEndpoint struct {
	address string
	mutex   sync.Mutex
	open    int
	most    int
	opened  int
}

// newCountingEndpoint starts an endpoint whose answers take a time. Those to the path
// /close end their connection.
func newCountingEndpoint(t *testing.T, answerTime time.Duration) *countingEndpoint {
	counting := &countingEndpoint{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(answerTime):
		case <-r.Context().Done():
		}
		if r.URL.Path == "/close" {
			w.Header().Set("Connection", "close")
		}
		w.Header().Set("Keep-Alive", "timeout=9")
		_, _ = io.WriteString(w, "answer")
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		counting.mutex.Lock()
		defer counting.mutex.Unlock()
		switch state {
		case http.StateNew:
			counting.open++
			counting.opened++
			counting.most = max(counting.most, counting.open)
		case http.StateClosed:
			counting.open--
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	counting.address = strings.TrimPrefix(server.URL, "http://")
	return counting
}

func (countingendpoint *countingEndpoint) counts() (open, most, opened int) {
	countingendpoint.mutex.Lock()
	defer countingendpoint.mutex.Unlock()
	return countingendpoint.open, countingendpoint.most, countingendpoint.opened
}

func newLimitedPool(address string, budget pool.Budget) *pool.Pool {
	connections := pool.New()
	connections.SetBudgets(map[string]pool.Budget{address: budget})
	return connections
}

// exchange sends a request and reads its answer.
func exchange(connections *pool.Pool, address, target string, timeout time.Duration, newConnection, own bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	exchange, err := connections.Send(ctx, address, pool.Request{Method: "GET", Target: target, Host: "h", Header: http.Header{}, NewConnection: newConnection, Own: own})
	if err != nil {
		return err
	}
	if _, err := exchange.ReadBody(100); err != nil {
		return err
	}
	exchange.Release()
	return nil
}

// TestNoMoreConnectionsThanTheBudget sends more requests at once than the budget allows,
// on new connections and kept ones, some of them given up midway, some with an answer
// that ends the connection: the endpoint never has more connections open, and a request
// that was not sent says so.
func TestNoMoreConnectionsThanTheBudget(t *testing.T) {
	endpoint := newCountingEndpoint(t, 5*time.Millisecond)
	connections := newLimitedPool(endpoint.address, pool.Budget{Service: "app", Requests: 4, Own: 1})
	var pending sync.WaitGroup
	var mutex sync.Mutex
	results := map[string]int{}
	for i := range 12 {
		pending.Go(func() {
			for j := range 40 {
				target, timeout, own := "/", time.Second, i == 0
				if j%5 == 1 {
					target = "/close"
				}
				if j%7 == 3 {
					timeout = 2 * time.Millisecond
				}
				err := exchange(connections, endpoint.address, target, timeout, (i+j)%2 == 0, own)
				result := "answered"
				switch {
				case errors.Is(err, pool.ErrNoRoom):
					assert.Check(t, errors.Is(err, pool.ErrUnsent))
					result = "no room"
				case err != nil && timeout < time.Second:
					result = "given up"
				case err != nil:
					result = err.Error()
				}
				mutex.Lock()
				results[result]++
				mutex.Unlock()
				time.Sleep(time.Millisecond)
			}
		})
	}
	pending.Wait()
	open, most, opened := endpoint.counts()
	t.Logf("%d open, %d at most, %d opened; %v; %+v", open, most, opened, results, connections.CountsByService()["app"])
	assert.Assert(t, most <= 5, "%d connections open at the endpoint, the budget is 5", most)
	assert.Assert(t, results["answered"] > 30, "%v", results)
	assert.Equal(t, results["answered"]+results["no room"]+results["given up"], 12*40, "%v", results)
	time.Sleep(200 * time.Millisecond)
	counts := connections.CountsByService()["app"]
	open, _, _ = endpoint.counts()
	assert.Equal(t, counts.Open, open)
	assert.Equal(t, counts.Idle, open)
}

// TestOldestIdleConnectionMakesRoom checks that a request that needs a new connection
// gets one while idle ones take all places.
func TestOldestIdleConnectionMakesRoom(t *testing.T) {
	endpoint := newCountingEndpoint(t, 0)
	connections := newLimitedPool(endpoint.address, pool.Budget{Service: "app", Requests: 2})
	for range 5 {
		assert.NilError(t, exchange(connections, endpoint.address, "/", time.Second, true, false))
	}
	_, most, opened := endpoint.counts()
	assert.Equal(t, most, 2)
	assert.Equal(t, opened, 5)
	assert.Equal(t, connections.CountsByService()["app"], pool.Counts{Open: 2, Idle: 2, Opened: 5, Evicted: 3})
	connections.SetBudgets(map[string]pool.Budget{endpoint.address: {Service: "app", Requests: 1}})
	time.Sleep(50 * time.Millisecond)
	open, _, _ := endpoint.counts()
	assert.Equal(t, open, 1, "a smaller budget closes idle connections")
}

// TestRequestWithoutRoom checks that a request that finds all places in use is not sent
// and does not wait, and that the node's own requests have a place that callers' requests
// do not take; a second one waits for it.
func TestRequestWithoutRoom(t *testing.T) {
	endpoint := newCountingEndpoint(t, 300*time.Millisecond)
	connections := newLimitedPool(endpoint.address, pool.Budget{Requests: 1, Own: 1})
	first := make(chan error, 1)
	go func() { first <- exchange(connections, endpoint.address, "/", time.Second, false, false) }()
	time.Sleep(50 * time.Millisecond)
	startedAt := time.Now()
	err := exchange(connections, endpoint.address, "/", time.Second, false, false)
	assert.Assert(t, errors.Is(err, pool.ErrNoRoom) && errors.Is(err, pool.ErrUnsent), "%v", err)
	assert.Assert(t, time.Since(startedAt) < 50*time.Millisecond, "%s", time.Since(startedAt))
	own := make(chan error, 2)
	go func() { own <- exchange(connections, endpoint.address, "/", time.Second, false, true) }()
	time.Sleep(200 * time.Millisecond)
	go func() { own <- exchange(connections, endpoint.address, "/", time.Second, false, true) }()
	assert.NilError(t, <-own)
	assert.NilError(t, <-own)
	assert.NilError(t, <-first)
	_, most, _ := endpoint.counts()
	assert.Equal(t, most, 2)
}

// TestResetRightAfterOpening checks that a reset of a new connection is reported, and
// that it leaves its place free.
func TestResetRightAfterOpening(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	address := listener.Addr().String()
	connections := newLimitedPool(address, pool.Budget{Service: "app", Requests: 2})
	var resets []pool.Reset
	connections.OnReset(func(reset pool.Reset) { resets = append(resets, reset) })
	for i := range 5 {
		err := exchange(connections, address, "/", time.Second, true, false)
		assert.Assert(t, err != nil && !errors.Is(err, pool.ErrNoRoom), "%v", err)
		assert.Equal(t, len(resets), i+1)
		assert.Equal(t, fmt.Sprint(resets[i].Address, resets[i].Open), fmt.Sprint(address, 1))
	}
	assert.Equal(t, connections.CountsByService()["app"].Resets, int64(5))
	assert.Equal(t, connections.CountsByService()["app"].Open, 0)
}

// TestEndpointThatNoticesLate guards against a connection that replaces one which the
// endpoint, slow to notice that it was closed, still counts: one that was idle, and one
// that was given up in the middle of a request.
func TestEndpointThatNoticesLate(t *testing.T) {
	const noticesAfter = 40 * time.Millisecond
	for _, test := range []struct {
		name    string
		answers bool
		timeout time.Duration
	}{
		{"idle", true, time.Second},
		{"given up", false, 10 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = listener.Close() }()
			counting := &countingEndpoint{}
			serve := func(conn net.Conn) {
				reader := bufio.NewReader(conn)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						break
					}
					if test.answers {
						_, _ = io.WriteString(conn, okResponse("answer", ""))
					}
				}
				time.Sleep(noticesAfter)
				counting.mutex.Lock()
				counting.open--
				counting.mutex.Unlock()
				_ = conn.Close()
			}
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					counting.mutex.Lock()
					counting.open++
					counting.opened++
					counting.most = max(counting.most, counting.open)
					counting.mutex.Unlock()
					go serve(conn)
				}
			}()
			address := listener.Addr().String()
			connections := newLimitedPool(address, pool.Budget{Requests: 1})
			for range 4 {
				err := exchange(connections, address, "/", test.timeout, true, false)
				assert.Equal(t, err == nil, test.answers, "%v", err)
				time.Sleep(20 * time.Millisecond)
			}
			_, most, opened := counting.counts()
			assert.Equal(t, most, 1)
			assert.Assert(t, opened > 1 || !test.answers, "%d opened", opened)
		})
	}
}

// TestWaitForRoomShowsEndpointUnreachable guards against a request whose time ends while it waits for a place, and
// that counts as one to which the endpoint opened no connection.
func TestWaitForRoomShowsEndpointUnreachable(t *testing.T) {
	endpoint := newCountingEndpoint(t, 300*time.Millisecond)
	connections := newLimitedPool(endpoint.address, pool.Budget{Requests: 1, Own: 1})
	first := make(chan error, 1)
	go func() { first <- exchange(connections, endpoint.address, "/", time.Minute, false, true) }()
	for opened := 0; opened == 0; time.Sleep(time.Millisecond) {
		_, _, opened = endpoint.counts()
	}
	err := exchange(connections, endpoint.address, "/", 50*time.Millisecond, false, true) // less than the longest wait for a place
	assert.Assert(t, errors.Is(err, pool.ErrNoRoom) && errors.Is(err, pool.ErrUnsent), "%v", err)
	assert.NilError(t, <-first)
}
