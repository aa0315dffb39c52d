package front

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/intent"
	"hickorybend/core/memory"
	"hickorybend/core/route"
	"hickorybend/core/view"
	"hickorybend/io/engine"
	"hickorybend/io/fakes"
	"hickorybend/io/wire"
)

// harness runs the servers of several nodes in front of one plain service and one
// model, with a shared store in memory.
type harness struct {
	store         *memory.Store
	counter       *fakes.ExecutionCounter // of the plain service
	plainInstance *fakes.PlainInstance
	engine        *fakes.Engine
	view          *atomic.Pointer[view.View]
	incarnations  []string // of all nodes, former ones included
	servers       []*Server
	listeners     []*httptest.Server
	replicaStates []*route.ReplicaState
	start         time.Time
	limits        Limits
}

var testService = intent.Service{
	Name: "ledger", Kind: intent.KindPlain, PathPrefix: "/ledger",
	AtMostOnceCalls: []intent.AtMostOnceCall{{Method: "POST", Path: "/loans"}, {Method: "POST", Path: "/loans/*/return"}},
}

var testTeams = []intent.Team{
	{Name: "t1", KeySHA256: []string{wire.HashKey("key1")}, Priority: intent.PriorityLive, RequestsPerSecond: 1e6, TokensPerSecond: 1e9, MaxConcurrent: 1e6},
	{Name: "t2", KeySHA256: []string{wire.HashKey("key2")}, Priority: intent.PriorityBatch, RequestsPerSecond: 1, TokensPerSecond: 1e9, MaxConcurrent: 1e6},
}

func newHarness(t testing.TB, nodes int) *harness {
	harness := &harness{store: memory.NewStore(), counter: fakes.NewExecutionCounter(), view: &atomic.Pointer[view.View]{}, start: time.Now()}
	harness.limits = DefaultLimits()
	harness.limits.ClaimTimeout, harness.limits.RecordTimeout, harness.limits.RecordBackoff = 20*time.Millisecond, 20*time.Millisecond, 5*time.Millisecond
	harness.limits.BodyBytes = 64 << 10
	harness.limits.StallTimeout = 2 * time.Second
	speed := fakes.DefaultSpeed()
	speed.ProcessingTime = 0
	speed.StepBase = time.Millisecond
	harness.plainInstance = fakes.NewPlainInstance("plain-1", harness.counter, speed)
	plainServer := httptest.NewServer(harness.plainInstance)
	harness.engine = fakes.NewEngine("engine-1", speed, true, fakes.NewWeightStore(0), func(string) *fakes.Engine { return nil })
	engineServer := httptest.NewServer(harness.engine)
	t.Cleanup(func() { plainServer.Close(); engineServer.Close(); harness.engine.Stop() })
	response, err := http.Post(engineServer.URL+"/order", "application/json", strings.NewReader(`{"replica":"r1","epoch":1,"members":["engine-1"]}`))
	assert.NilError(t, err)
	_ = response.Body.Close()
	harness.publishView(strings.TrimPrefix(plainServer.URL, "http://"), strings.TrimPrefix(engineServer.URL, "http://"))
	for i := range nodes {
		harness.servers = append(harness.servers, nil)
		harness.listeners = append(harness.listeners, nil)
		harness.restartNode(t, i)
	}
	t.Cleanup(func() {
		harness.store.SetDown(false)
		for _, listener := range harness.listeners {
			listener.Close()
		}
	})
	return harness
}

// publishView publishes a view with both services complete for an hour.
func (harness *harness) publishView(plainAddress, engineAddress string) {
	for range 2 {
		replicastate := &route.ReplicaState{}
		replicastate.SetCompleteUntil(harness.start, harness.start.Add(time.Hour))
		harness.replicaStates = append(harness.replicaStates, replicastate)
	}
	tableOf := func(id, address string, replicastate *route.ReplicaState) *route.Table {
		return &route.Table{Policy: route.DefaultPolicy(), Start: harness.start, Replicas: []route.Replica{
			{ID: id, Epoch: 1, Address: address, MaxStreams: 64, State: replicastate},
		}}
	}
	harness.view.Store(&view.View{
		Serving: true, Nodes: 1, Teams: testTeams,
		Models:        []view.ModelService{{Service: intent.Service{Name: "llm", Kind: intent.KindModel, Model: "m"}, Table: tableOf("r1", engineAddress, harness.replicaStates[0])}},
		PlainServices: []view.PlainService{{Service: testService, Table: tableOf("plain-1", plainAddress, harness.replicaStates[1])}},
	})
}

// restartNode replaces a node with a new incarnation. The old one is no longer in
// the view's AliveIncarnations, although its calls may still run.
func (harness *harness) restartNode(t testing.TB, i int) {
	id := fmt.Sprintf("node-%d/%d", i, len(harness.incarnations))
	harness.incarnations = append(harness.incarnations, id)
	next := *harness.view.Load()
	next.AliveIncarnations = nil
	for node, server := range harness.servers {
		if server != nil && node != i {
			next.AliveIncarnations = append(next.AliveIncarnations, server.incarnation)
		}
	}
	next.AliveIncarnations = append(next.AliveIncarnations, id)
	harness.view.Store(&next)
	harness.servers[i] = New(id, harness.view, engine.New(), harness.store, WithLimits(harness.limits))
	if old := harness.listeners[i]; old != nil {
		old.Close()
	}
	harness.listeners[i] = httptest.NewServer(harness.servers[i].Handler())
}

// clientResponse is a response as received by a caller.
type clientResponse struct {
	status  int
	outcome Outcome
	body    string
	header  http.Header
}

// send sends a request of team t1 to a node; headers alternate names and values.
func (harness *harness) send(t testing.TB, node int, method, path, body string, headers ...string) clientResponse {
	request, err := http.NewRequest(method, harness.listeners[node].URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer key1")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return clientResponse{status: response.StatusCode, outcome: Outcome(response.Header.Get(headerOutcome)), body: string(read), header: response.Header}
}
