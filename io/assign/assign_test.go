package assign_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"hickorybend/core/batch"
	"hickorybend/core/queue"
	"hickorybend/core/site"
	"hickorybend/io/assign"
)

const peerKey = "key"

var engine = &site.Engine{Slots: 34, StepTime: 6070 * time.Microsecond, StepPerSlot: 241 * time.Microsecond, PrefillTokensPerSec: 46000, PassSteps: 5, PassTokens: 2048}

// newView returns the view of a leader with two replicas of a model.
func newView() assign.View {
	speed := batch.Replica{Engine: engine, Model: site.Model{TimeFactor: 1}}
	return assign.View{Leading: true, Pools: map[string][]queue.Replica{"s/m": {
		{ID: "a", Speed: speed, Slots: 34, SameZone: true}, {ID: "b", Speed: speed, Slots: 34, SameZone: true}}}}
}

// zone is a leader and what the nodes of its zone reach it by.
type zone struct {
	server  *assign.Server
	address string
}

// newZone starts a leader. The function wrap may come before its handler.
func newZone(t *testing.T, view assign.View, wrap func(http.Handler) http.Handler) zone {
	server := assign.NewServer(queue.DefaultPolicy())
	server.Update(view, time.Now())
	_, handler := assign.Handler(server, peerKey)
	if wrap != nil {
		handler = wrap(handler)
	}
	listening := httptest.NewServer(handler)
	t.Cleanup(listening.Close)
	return zone{server: server, address: strings.TrimPrefix(listening.URL, "http://")}
}

// newNode returns the client of a node that asks a leader.
func newNode(name string, zone zone) *assign.Client {
	client := assign.NewClient(name, peerKey)
	client.SetLeader("leader", zone.address, nil)
	return client
}

var work = batch.Work{PromptTokens: 1460, AnswerTokens: 116}

// ask asks about a request.
func ask(client *assign.Client, unusable ...string) assign.Advice {
	now := time.Now()
	return client.Place(context.Background(), assign.Question{Service: "s", Model: "m", Work: work, FirstBy: now.Add(500 * time.Millisecond), Deadline: now.Add(4 * time.Second), Unusable: unusable})
}

// begin asks about a request, until the leader answers, and has it begin where that says. A busy
// machine may take longer to answer than a node waits, or to renew the view.
func (zone zone) begin(t *testing.T, client *assign.Client, view assign.View, unusable ...string) (endpoint string, ticket uint64) {
	t.Helper()
	var send assign.Send
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var sent bool
		zone.server.Update(view, time.Now())
		if send, sent = ask(client, unusable...).(assign.Send); !sent {
			return poll.Continue("no advice")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(100*time.Millisecond))
	return send.Endpoint, client.Begin(send.Ticket, "s", "m", send.Endpoint, work, time.Now().Add(4*time.Second))
}

// expectCounts waits until a leader counts requests in flight at the two replicas.
func expectCounts(t *testing.T, server *assign.Server, want int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		counts, _ := server.InFlight()
		if got := counts["a"].InFlight + counts["b"].InFlight; got != want {
			return poll.Continue("%d in flight, not %d", got, want)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

// keepLeading renews a leader's view as its control loop does, until the test ends.
func keepLeading(t *testing.T, server *assign.Server) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			server.Update(newView(), time.Now())
			time.Sleep(50 * time.Millisecond)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// TestNodesDoNotChooseTheSame guards against nodes that send their requests to one replica because
// each lacks what the others have just sent there.
func TestNodesDoNotChooseTheSame(t *testing.T) {
	zone := newZone(t, newView(), nil)
	first, second := newNode("n1", zone), newNode("n2", zone)
	one, ticket := zone.begin(t, first, newView())
	other, _ := zone.begin(t, second, newView())
	assert.Assert(t, one != other, "both at %s", one)
	first.Started(ticket)
	first.End(ticket)
	expectCounts(t, zone.server, 1)
	usable, ticket := zone.begin(t, first, newView(), one)
	assert.Equal(t, usable, other, "an endpoint that the node cannot use")
	first.End(ticket)
	expectCounts(t, zone.server, 1)
}

// TestNodeDecidesWithoutLeader guards against requests that wait for a leader which is gone, hangs, is of
// an older build, or does not lead.
func TestNodeDecidesWithoutLeader(t *testing.T) {
	for _, test := range []struct {
		name string
		view assign.View
		wrap func(http.Handler) http.Handler
		dead bool
	}{
		{name: "dead", view: newView(), dead: true},
		{name: "hangs", view: newView(), wrap: func(http.Handler) http.Handler {
			return http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(300 * time.Millisecond) })
		}},
		{name: "older build", view: newView(), wrap: func(http.Handler) http.Handler { return http.NotFoundHandler() }},
		{name: "does not lead", view: assign.View{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			zone := newZone(t, test.view, test.wrap)
			if test.dead {
				zone.address = "127.0.0.1:1"
			}
			client := newNode("n1", zone)
			start := time.Now()
			for range 50 {
				assert.Equal(t, ask(client), assign.None{})
			}
			assert.Assert(t, time.Since(start) < 50*25*time.Millisecond/2, "%s: it is asked again and again", time.Since(start))
		})
	}
}

// TestLateViewIsNoAdvice guards against a leader whose control loop stands still and that assigns by
// what it knew before.
func TestLateViewIsNoAdvice(t *testing.T) {
	zone := newZone(t, newView(), nil)
	zone.server.Update(newView(), time.Now().Add(-time.Second))
	assert.Equal(t, ask(newNode("n1", zone)), assign.None{})
}

// TestNewLeaderLearnsRequests guards against a leader that takes replicas for idle because the requests
// there were assigned by the one before, or in an earlier time of its own.
func TestNewLeaderLearnsRequests(t *testing.T) {
	former, next := newZone(t, newView(), nil), newZone(t, newView(), nil)
	client := newNode("n1", former)
	keepLeading(t, former.server)
	_, first := former.begin(t, client, newView())
	client.Started(first)
	client.Begin(0, "s", "m", "b", work, time.Now().Add(4*time.Second))
	expectCounts(t, former.server, 2)
	client.SetLeader("next", next.address, nil)
	keepLeading(t, next.server)
	expectCounts(t, next.server, 2)
	next.server.Update(assign.View{}, time.Now()) // until it is renewed
	expectCounts(t, next.server, 2)               // after the report that renews what the node has
}

// TestLeaderChangesDuringReport guards against a node that never reports to a new leader because a call to
// the one before was pending when that changed.
func TestLeaderChangesDuringReport(t *testing.T) {
	const slow = 300 * time.Millisecond
	called := make(chan struct{}, 100)
	former := newZone(t, newView(), func(http.Handler) http.Handler {
		return http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			called <- struct{}{}
			time.Sleep(slow)
		})
	})
	next := newZone(t, newView(), nil)
	keepLeading(t, next.server)
	client := newNode("n1", former)
	client.Begin(0, "s", "m", "b", work, time.Now().Add(time.Minute))
	<-called
	client.SetLeader("next", next.address, nil)
	expectCounts(t, next.server, 1)
}

// TestSilentNodeIsCountedByDigest guards against replicas that stay full of the requests of a node that
// has ended, and against nodes of an older build that count for nothing.
func TestSilentNodeIsCountedByDigest(t *testing.T) {
	zone := newZone(t, newView(), nil)
	local := assign.NewClient("leader", peerKey)
	local.SetLeader("leader", "", zone.server)
	for range 4 {
		zone.begin(t, local, newView())
	}
	expectCounts(t, zone.server, 4)
	later := time.Now().Add(3 * time.Second)
	zone.server.Update(newView(), later)
	counts, nodes := zone.server.InFlight()
	assert.Equal(t, counts["a"].InFlight+counts["b"].InFlight, 0)
	assert.Equal(t, len(nodes), 0)

	view := newView()
	view.Nodes = map[string]map[string]queue.Counts{"old": {"a": {InFlight: 20, PendingTokens: 9000}}}
	for range 3 {
		endpoint, _ := zone.begin(t, local, view)
		assert.Equal(t, endpoint, "b")
	}
}

// TestTwoLeaders guards against an overload while a zone has two leaders: each of them counts the requests that the
// other has assigned, and counts those of its own nodes once, although both reports and digests contain them.
func TestTwoLeaders(t *testing.T) {
	first, second := newZone(t, newView(), nil), newZone(t, newView(), nil)
	one, other := newNode("n1", first), newNode("n2", second)
	endpoint, _ := first.begin(t, one, newView())
	filled := map[string]queue.Counts{endpoint: {InFlight: 20, PendingTokens: 9000}}
	view := newView()
	view.Nodes = map[string]map[string]queue.Counts{"n1": filled}
	for range 3 {
		got, _ := second.begin(t, other, view)
		assert.Assert(t, got != endpoint, "the second leader does not know what the first has assigned")
	}
	got, _ := first.begin(t, one, view)
	assert.Assert(t, got != endpoint)
	got, _ = first.begin(t, one, view)
	assert.Equal(t, got, endpoint, "the first leader counts its node by the digest too")
}
