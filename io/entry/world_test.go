package entry_test

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing/synctest"
	"time"

	"hickorybend/core/reach"
	"hickorybend/core/retry"
	"hickorybend/core/site"
	"hickorybend/io/entry"
	"hickorybend/io/pool"
	"hickorybend/platform"
)

const (
	worldTimeout     = 10 * time.Second
	worldAttempts    = 2
	worldWait        = 800 * time.Millisecond // of one event; longer than AnswerPatience, the timeout of dials and two of them than StallAfter
	worldReturnDelay = 310 * time.Millisecond // after a rejection; longer than FullBackoff and the shortest Retry-After
	maxSendings      = 2                      // of a request by its caller
	maxCopies        = 2                      // of earlier answers
	maxWaits         = 2
	worldGrace       = 1500 * time.Millisecond // from the start of a planned stop to its end
)

// scenario is what an exploration starts from.
type scenario struct {
	nodes      int // the first of which gets each request first, and can send it on to the second
	kind       site.RequestKind
	otherKind  site.RequestKind // as the second node's version of the route has it; nil if it is the same
	endpoints  int
	oneAddress bool // the endpoints have the same address, as one that came back under another ID
	requests   int
	headFirst  bool // the first request has the method HEAD
	budget     int  // connections in use for requests to one endpoint; 0 for no budget
}

// world is callers, nodes and endpoints in one bubble of testing/synctest. The events happen one
// at a time: each is followed by all that the nodes do about it.
type world struct {
	scenario  scenario
	nodes     []*worldNode
	requests  []*worldRequest
	startedAt time.Time
	copies    int
	waits     int
	stopsAt   time.Time // when the first node stops; zero unless it does
	lost      string    // the endpoint that was reported as lost, and when; empty if none was
	finishing bool
	finding   string // the first property that did not hold; empty if all did

	mutex sync.Mutex // guards what goroutines of nodes and of endpoints change
	dials []*worldDial
	conns []*worldConn  // to endpoints, in the order of their opening
	links []*memoryConn // to nodes, their ends
	uses  int           // of connections

	peerNotes []string // what happened when between the nodes
}

// worldNode is a node with its load of the endpoints.
type worldNode struct {
	name       string
	server     *entry.Server
	pool       *pool.Pool
	candidates []*reach.Candidate
	http       *http.Server // for other nodes
	listener   memoryListener
}

// worldRequest is a request, which its caller may send again after a rejection.
type worldRequest struct {
	id       string
	method   string
	sendings []*sending
	arrivals []*arrival
	comings  []string // when it came and its caller left
}

// sending is a request as its caller has sent it once.
type sending struct {
	request *worldRequest
	cancel  context.CancelFunc
	answer  *callerAnswer
	node    *worldNode  // that got it first
	conn    *memoryConn // the caller's end
	left    bool
	failed  bool        // an endpoint has failed it
	done    atomic.Bool // the node has answered or aborted it
	aborted bool
	checked bool
}

// callerAnswer is what a caller has got.
type callerAnswer struct {
	mutex    sync.Mutex
	recorder *httptest.ResponseRecorder
}

func (calleranswer *callerAnswer) Header() http.Header { return calleranswer.recorder.Header() }
func (calleranswer *callerAnswer) Flush()              {}

func (calleranswer *callerAnswer) WriteHeader(status int) {
	calleranswer.mutex.Lock()
	defer calleranswer.mutex.Unlock()
	calleranswer.recorder.WriteHeader(status)
}

func (calleranswer *callerAnswer) Write(text []byte) (int, error) {
	calleranswer.mutex.Lock()
	defer calleranswer.mutex.Unlock()
	return calleranswer.recorder.Write(text)
}

func (calleranswer *callerAnswer) status() int {
	calleranswer.mutex.Lock()
	defer calleranswer.mutex.Unlock()
	return calleranswer.recorder.Code
}

func (calleranswer *callerAnswer) text() string {
	calleranswer.mutex.Lock()
	defer calleranswer.mutex.Unlock()
	return calleranswer.recorder.Body.String()
}

// worldDial is a connection that a node opens.
type worldDial struct {
	address string // the name of the endpoint or node
	sending *sending
	begun   string // by whom, where, for what and when
	decided chan dialResult
}

type dialResult struct {
	conn net.Conn
	err  error
}

// worldConn is a connection as its endpoint sees it.
type worldConn struct {
	endpoint   string
	conn       *memoryConn
	pending    []*arrival
	answers    []worldAnswer // that were written as a whole, and bear the ID of their request
	transcript []string
	usedAt     int // which of all uses of connections was its last one
}

// worldAnswer is an answer to the request with an ID.
type worldAnswer struct{ id, text string }

// arrival is a request that an endpoint has received. Unless the endpoint has refused it, it counts as
// run: no node can tell.
type arrival struct {
	sending *sending
	after   string // the ID of the event that the stream goes on after
	refused bool
	hinted  bool   // an interim answer was written
	begun   bool   // the first event of a stream was written
	status  int    // of the whole answer that was written to it; 0 before
	body    string // of that answer
}

type sendingKey struct{}

const peerKey = "key"

func newWorld(scenario scenario) *world {
	world := &world{scenario: scenario, startedAt: time.Now()}
	for i := range scenario.requests {
		request := &worldRequest{id: fmt.Sprint("r", i+1), method: http.MethodPost}
		if i == 0 && scenario.headFirst {
			request.method = http.MethodHead
		}
		world.requests = append(world.requests, request)
	}
	for i := range scenario.nodes {
		world.addNode(fmt.Sprint("n", i+1))
	}
	return world
}

// addNode starts a node.
func (world *world) addNode(name string) {
	node := &worldNode{name: name, listener: memoryListener{conns: make(chan net.Conn, maxSendings), closed: make(chan struct{})}}
	world.nodes = append(world.nodes, node)
	for i := range world.scenario.endpoints {
		id := fmt.Sprint("e", i+1)
		address := id
		if world.scenario.oneAddress {
			address = "e1"
		}
		node.candidates = append(node.candidates, &reach.Candidate{ID: id, Address: address, Slots: 4, SameZone: true, TieBreak: float64(i) / 10, Load: &reach.Load{}})
	}
	snapshot := &atomic.Pointer[reach.Snapshot]{}
	snapshot.Store(&reach.Snapshot{
		Nodes: world.scenario.nodes, Services: map[string]*reach.ServicePool{"app": {Service: "app", Plain: node.candidates}},
		Index: site.NewIndex(site.Config{Services: []site.Service{{Name: "app"}}, Routes: []site.Route{{
			Name: "app", Host: "h", Prefix: "/", Kind: world.scenario.kind, Timeout: worldTimeout, LatencyObjective: worldTimeout, MaxAttempts: worldAttempts,
			Targets: []site.Target{{Service: "app", Weight: 1}},
		}}}),
	})
	index := snapshot.Load().Index
	if route, _ := index.Route("h", "/"); len(world.nodes) == 2 && world.scenario.otherKind != nil {
		route.Kind = world.scenario.otherKind
	}
	peers := &reach.Peers{}
	if len(world.nodes) == 1 && world.scenario.nodes == 2 {
		peers.List = []reach.Peer{{Candidate: &reach.Candidate{ID: "n2", Address: "n2", IsPeer: true, Slots: 4, SameZone: true, Load: &reach.Load{}}, Usable: map[string]int{"app": world.scenario.endpoints}}}
	}
	node.pool = pool.New(pool.WithAnswerIDs(platform.AnswerIDs), pool.WithDial(func(ctx context.Context, _, address string) (net.Conn, error) {
		return world.dial(ctx, node, address)
	}))
	node.pool.SetBudgets(world.budgets())
	node.server = entry.New(node.pool, snapshot, entry.WithRetryBudget(retry.Policy{Extra: 100, Window: time.Second, UsableShare: 1}),
		entry.WithPeers(func() *reach.Peers { return peers }, name, peerKey))
	node.http = &http.Server{Handler: world.peerHandler(node)}
	go func() { _ = node.http.Serve(node.listener) }()
}

// budgets returns the budgets of connections, by address.
func (world *world) budgets() map[string]pool.Budget {
	budgets := map[string]pool.Budget{}
	for i := range world.scenario.endpoints {
		if world.scenario.budget > 0 {
			budgets[fmt.Sprint("e", i+1)] = pool.Budget{Service: "app", Requests: world.scenario.budget}
		}
	}
	return budgets
}

// peerHandler returns the handler of requests that other nodes send on.
func (world *world) peerHandler(node *worldNode) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		world.mutex.Lock()
		sending := world.sendingOf(r)
		if sending == nil || !node.server.IsPeerRequest(r) {
			world.report("%s received a request that no node has sent on", node.name)
		}
		world.peerNotes = append(world.peerNotes, r.URL.Path+world.clock())
		world.mutex.Unlock()
		node.server.ServePeer(w, r.WithContext(context.WithValue(r.Context(), sendingKey{}, sending)))
	})
}

// memoryListener accepts connections in memory.
type memoryListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (memorylistener memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-memorylistener.conns:
		return conn, nil
	case <-memorylistener.closed:
		return nil, net.ErrClosed
	}
}

func (memorylistener memoryListener) Close() error {
	close(memorylistener.closed)
	return nil
}

func (memorylistener memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial opens a connection once an event has decided about it.
func (world *world) dial(ctx context.Context, node *worldNode, address string) (net.Conn, error) {
	sending, _ := ctx.Value(sendingKey{}).(*sending)
	dial := &worldDial{address: address, sending: sending, begun: node.name + address + sending.request.id + world.clock(), decided: make(chan dialResult, 1)}
	world.mutex.Lock()
	world.dials = append(world.dials, dial)
	world.mutex.Unlock()
	select {
	case result := <-dial.decided:
		return result.conn, result.err
	case <-ctx.Done():
		world.mutex.Lock()
		defer world.mutex.Unlock()
		world.dials = slices.DeleteFunc(world.dials, func(other *worldDial) bool { return other == dial })
		return nil, ctx.Err()
	}
}

// settle waits until the nodes wait for an event, and lets the time pass in which they wait for a
// new connection to be reset.
func (world *world) settle() {
	for {
		synctest.Wait()
		until, found := world.nextSilence()
		if !found {
			return
		}
		time.Sleep(time.Until(until))
	}
}

// nextSilence returns when a node stops waiting for a reset of one of the connections.
func (world *world) nextSilence() (time.Time, bool) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	for _, conn := range world.nodesEnds() {
		if until, waits := conn.awaitsSilence(); waits {
			return until, true
		}
	}
	return time.Time{}, false
}

// nodesEnds returns the ends of all connections at the nodes that have opened them. The mutex must be held.
func (world *world) nodesEnds() []*memoryConn {
	var ends []*memoryConn
	for _, conn := range world.conns {
		ends = append(ends, conn.conn.other)
	}
	for _, link := range world.links {
		ends = append(ends, link.other)
	}
	return ends
}

// send sends a request to a node.
func (world *world) send(request *worldRequest, node *worldNode) {
	sending := &sending{request: request, node: node, answer: &callerAnswer{recorder: httptest.NewRecorder()}}
	world.mutex.Lock()
	request.sendings = append(request.sendings, sending)
	request.comings = append(request.comings, node.name+world.clock())
	world.mutex.Unlock()
	ctx, cancel := context.WithCancel(context.WithValue(context.Background(), sendingKey{}, sending))
	sending.cancel = cancel
	caller, conn := newMemoryConns()
	sending.conn, ctx = caller, entry.ConnContext(ctx, conn)
	question := "question"
	if request.method == http.MethodHead {
		question = ""
	}
	r := httptest.NewRequestWithContext(ctx, request.method, "/"+request.id, strings.NewReader(question))
	r.Host = "h"
	platform.SetRequestID(r.Header, request.id)
	r.Header.Set("Sending", fmt.Sprint(len(request.sendings)))
	go func() {
		defer sending.done.Store(true)
		defer func() {
			if cause := recover(); cause == http.ErrAbortHandler {
				sending.aborted = true
			} else if cause != nil {
				panic(cause)
			}
		}()
		node.server.ServeHTTP(sending.answer, r)
	}()
}

// latest returns the last sending of a request, or nil if there was none.
func (worldrequest *worldRequest) latest() *sending {
	if len(worldrequest.sendings) == 0 {
		return nil
	}
	return worldrequest.sendings[len(worldrequest.sendings)-1]
}

func (sending *sending) inProgress() bool { return sending != nil && !sending.done.Load() }

// promisesNotRun reports whether the caller was told that the request has not run.
func (sending *sending) promisesNotRun() bool {
	if !sending.done.Load() || sending.aborted || sending.left {
		return false
	}
	switch sending.answer.status() {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// mayHaveRun counts the times that a request may have run.
func (worldrequest *worldRequest) mayHaveRun() int {
	count := 0
	for _, arrival := range worldrequest.arrivals {
		if !arrival.refused {
			count++
		}
	}
	return count
}

// receive reads the requests of a connection to an endpoint.
func (world *world) receive(conn *worldConn) {
	reader := bufio.NewReader(conn.conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		world.mutex.Lock()
		world.recordArrival(conn, r)
		world.mutex.Unlock()
	}
}

// recordArrival records a request that an endpoint has received. The mutex must be held.
func (world *world) recordArrival(conn *worldConn, r *http.Request) {
	sending := world.sendingOf(r)
	if sending == nil {
		world.report("%s received a request that nobody has sent", conn.endpoint)
		return
	}
	request := sending.request
	if sending.left || sending.done.Load() {
		world.report("%s was sent after its caller had left or was answered", request.id)
	}
	arrival := &arrival{sending: sending, after: platform.ReadRequestHeader(r.Header).LastEventID}
	request.arrivals = append(request.arrivals, arrival)
	conn.pending = append(conn.pending, arrival)
	world.note(conn, "%s/%s after %q", request.id, r.Header.Get("Sending"), arrival.after)
}

// sendingOf returns the sending that a request comes from, or nil if there is none. The mutex must
// be held.
func (world *world) sendingOf(r *http.Request) *sending {
	id, number := platform.ReadRequestHeader(r.Header).RequestID, 0
	_, _ = fmt.Sscan(r.Header.Get("Sending"), &number)
	for _, request := range world.requests {
		if request.id == id && number >= 1 && number <= len(request.sendings) {
			return request.sendings[number-1]
		}
	}
	return nil
}

// note adds a line to the transcript of a connection. The mutex must be held.
func (world *world) note(conn *worldConn, format string, values ...any) {
	conn.transcript = append(conn.transcript, fmt.Sprintf(format, values...)+world.clock())
	world.uses++
	conn.usedAt = world.uses
}

// clock returns the time, as it stands in transcripts.
func (world *world) clock() string { return fmt.Sprint(" at ", time.Since(world.startedAt)) }

// report records that a property does not hold.
func (world *world) report(format string, values ...any) {
	if world.finding == "" {
		world.finding = fmt.Sprintf(format, values...)
	}
}

// accept opens a connection for a pending dial, and resets it before anything can be sent on it if wanted.
// The mutex must be held.
func (world *world) accept(dial *worldDial, resets bool) {
	opener, other := newMemoryConns()
	if resets {
		reset(other)
	}
	if i := slices.IndexFunc(world.nodes, func(node *worldNode) bool { return node.name == dial.address }); i >= 0 {
		world.links = append(world.links, other)
		world.peerNotes = append(world.peerNotes, "accepted"+world.clock())
		world.nodes[i].listener.conns <- other
	} else {
		conn := &worldConn{endpoint: dial.address, conn: other}
		world.note(conn, "%s", dial.begun)
		world.conns = append(world.conns, conn)
		go world.receive(conn)
	}
	dial.decided <- dialResult{conn: opener}
}

// decideDial handles an event of a pending dial.
func (world *world) decideDial(dial *worldDial, action string) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.dials = slices.DeleteFunc(world.dials, func(other *worldDial) bool { return other == dial })
	switch action {
	case "accepts":
		world.accept(dial, false)
	case "resets":
		dial.sending.failed = true
		world.accept(dial, true)
	case "rejects":
		dial.decided <- dialResult{err: syscall.ECONNREFUSED}
	}
}

// reset closes a connection so that the other end is told of a reset.
func reset(conn *memoryConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// breakLink resets a connection to a node.
func (world *world) breakLink(link *memoryConn) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	for _, request := range world.requests {
		if latest := request.latest(); latest.inProgress() {
			latest.failed = true // before the reset, after which it can end at any time
		}
	}
	reset(link)
	world.peerNotes = append(world.peerNotes, "broken"+world.clock())
}

// finish lets the time limits of all requests pass, and checks that nothing is left.
func (world *world) finish() {
	world.finishing = true
	time.Sleep(worldTimeout + worldWait)
	synctest.Wait()
	for _, request := range world.requests {
		for i, sending := range request.sendings {
			if sending.inProgress() {
				world.report("sending %d of %s does not end", i+1, request.id)
			}
		}
	}
	world.check()
	for _, node := range world.nodes {
		world.checkNothingLeft(node)
	}
	for _, request := range world.requests {
		for _, sending := range request.sendings {
			sending.cancel()
		}
	}
	for _, node := range world.nodes {
		node.pool.Sweep(nil)
		_ = node.http.Close()
	}
	for _, conn := range world.conns {
		_ = conn.conn.Close()
	}
	time.Sleep(worldWait)
}

// checkNothingLeft checks that nothing counts as in use.
func (world *world) checkNothingLeft(node *worldNode) {
	for _, counts := range node.pool.CountsByService() {
		if counts.Open != counts.Idle {
			world.report("%d connections stay in use", counts.Open-counts.Idle)
		}
	}
	if count := node.server.InFlight(); count != 0 {
		world.report("%d requests stay in flight at %s", count, node.name)
	}
	for _, candidate := range node.candidates {
		if count := candidate.Load.OwnInFlight(); count != 0 {
			world.report("%d attempts stay in flight at %s", count, candidate.ID)
		}
	}
}

// check checks the properties after an event.
func (world *world) check() {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	for _, request := range world.requests {
		if runs := request.mayHaveRun(); runs > 1 && !site.Retryable(world.scenario.kind) {
			world.report("%s may have run %d times", request.id, runs)
		}
		for _, sending := range request.sendings {
			if sending.done.Load() && !sending.checked {
				sending.checked = true
				world.checkAnswer(sending)
			}
			if sending.inProgress() && len(sending.answer.text()) == 0 && world.hasStopped(sending.node) {
				world.report("%s has no answer, and the node has stopped", request.id)
			}
		}
	}
	world.checkBudgets()
}

// stops reports whether the first node has begun to stop.
func (world *world) stops() bool { return !world.stopsAt.IsZero() }

// hasStopped reports whether the time of a node that stops is over.
func (world *world) hasStopped(node *worldNode) bool {
	return node == world.nodes[0] && world.stops() && !time.Now().Before(world.stopsAt)
}

// checkBudgets checks how many connections the nodes have open. The mutex must be held.
func (world *world) checkBudgets() {
	open := map[string]int{}
	for _, conn := range world.conns {
		if conn.conn.isOpen() {
			open[conn.endpoint]++
		}
	}
	for endpoint, count := range open {
		if allowed := world.scenario.budget * world.scenario.nodes; allowed > 0 && count > allowed {
			world.report("%d connections to %s are open", count, endpoint)
		}
	}
}

// checkAnswer checks what a caller got. The mutex must be held.
func (world *world) checkAnswer(sending *sending) {
	request, code := sending.request, sending.answer.status()
	if runs := sending.mayHaveRun(); runs > worldAttempts {
		world.report("%s may have run at %d endpoints", request.id, runs)
	}
	switch {
	case sending.left:
	case sending.promisesNotRun():
		if runs := request.mayHaveRun(); runs > 0 {
			world.report("the caller of %s was told %d, and it may have run %d times", request.id, code, runs)
		}
	case sending.aborted, code == http.StatusBadGateway, code == http.StatusGatewayTimeout:
		if !sending.failed && !world.finishing && !world.stops() {
			world.report("%s failed with %d, and no endpoint has failed it", request.id, code)
		}
	case !sending.hasOwnAnswer():
		world.report("the caller of %s got %d with %q, which is no answer to it", request.id, code, sending.answer.text())
	}
}

// mayHaveRun counts the times that one sending of a request may have run.
func (sending *sending) mayHaveRun() int {
	count := 0
	for _, arrival := range sending.request.arrivals {
		if arrival.sending == sending && !arrival.refused {
			count++
		}
	}
	return count
}

// hasOwnAnswer reports whether the caller has got an answer that an endpoint has written to this
// sending of the request, whole.
func (sending *sending) hasOwnAnswer() bool {
	return slices.ContainsFunc(sending.request.arrivals, func(arrival *arrival) bool { return arrival.isAnswerOf(sending) })
}

// isAnswerOf reports whether the answer to an arrival is what the caller of a sending has got.
func (arrival *arrival) isAnswerOf(sending *sending) bool {
	return arrival.sending == sending && arrival.status != 0 && sending.answer.status() == arrival.status && sending.answer.text() == arrival.body
}

// state describes the world so that what can happen from equal states is equal: what happened when on
// each connection and to each request, which connection was used last, the loads and the time.
func (world *world) state() string {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	now := time.Now()
	parts := append(world.connStates(), world.peerNotes...)
	for _, dial := range world.dials {
		parts = append(parts, "dial "+dial.begun)
	}
	for _, request := range world.requests {
		parts = append(parts, fmt.Sprint(request.comings))
		for _, sending := range request.sendings {
			parts = append(parts, fmt.Sprint(request.id, sending.done.Load(), sending.left, sending.failed, sending.answer.status(), len(sending.answer.text())))
		}
	}
	for _, node := range world.nodes {
		for _, candidate := range node.candidates {
			load := candidate.Load
			parts = append(parts, fmt.Sprint(load.OwnInFlight(), load.Avoided(now), load.Unreachable(now), load.FailureRate(now), load.AnswerTime(), load.LastAnswerAt()))
		}
	}
	return strings.Join(append(parts, fmt.Sprint(world.copies, world.waits, now.Sub(world.startedAt), world.stopsAt, world.lost)), "\n")
}

// connStates describes the connections to endpoints: those that are closed, in any order, and those that are open, the
// last used one last. The mutex must be held.
func (world *world) connStates() []string {
	var closed, open []string
	for _, conn := range slices.SortedFunc(slices.Values(world.conns), func(a, b *worldConn) int { return cmp.Compare(a.usedAt, b.usedAt) }) {
		if conn.conn.isOpen() {
			open = append(open, fmt.Sprint("open", conn.transcript))
		} else {
			closed = append(closed, fmt.Sprint("closed", conn.transcript))
		}
	}
	slices.Sort(closed)
	return append(closed, open...)
}
