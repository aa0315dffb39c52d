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

// bench is some servers of different nodes before one plain service and one
// model, over one store in memory.
type bench struct {
	store   *memory.Store
	ledger  *fakes.ExecutionCounter
	plain   *fakes.PlainInstance
	engine  *fakes.Engine
	view    *atomic.Pointer[view.View]
	alive   []string
	servers []*Server
	doors   []*httptest.Server
	cells   []*route.ReplicaState
	start   time.Time
	limits  Limits
}

var testService = intent.Service{
	Name: "ledger", Kind: intent.KindPlain, PathPrefix: "/ledger",
	AtMostOnceCalls: []intent.AtMostOnceCall{{Method: "POST", Path: "/loans"}, {Method: "POST", Path: "/loans/*/return"}},
}

var testTeams = []intent.Team{
	{Name: "t1", KeySHA256: []string{wire.HashKey("key1")}, Priority: intent.PriorityLive, RequestsPerSecond: 1e6, TokensPerSecond: 1e9, Concurrent: 1e6},
	{Name: "t2", KeySHA256: []string{wire.HashKey("key2")}, Priority: intent.PriorityBatch, RequestsPerSecond: 1, TokensPerSecond: 1e9, Concurrent: 1e6},
}

func newBench(t testing.TB, nodes int) *bench {
	b := &bench{store: memory.NewStore(), ledger: fakes.NewExecutionCounter(), view: &atomic.Pointer[view.View]{}, start: time.Now()}
	b.limits = DefaultLimits()
	b.limits.ClaimLimit, b.limits.RecordLimit, b.limits.RecordBackoff = 20*time.Millisecond, 20*time.Millisecond, 5*time.Millisecond
	b.limits.BodyBytes = 64 << 10
	b.limits.StallLimit = 2 * time.Second
	speed := fakes.DefaultSpeed()
	speed.ProcessingTime = 0
	speed.StepBase = time.Millisecond
	b.plain = fakes.NewPlainInstance("plain-1", b.ledger, speed)
	plainDoor := httptest.NewServer(b.plain)
	b.engine = fakes.NewEngine("engine-1", speed, true, fakes.NewWeightStore(0), func(string) *fakes.Engine { return nil })
	engineDoor := httptest.NewServer(b.engine)
	t.Cleanup(func() { plainDoor.Close(); engineDoor.Close(); b.engine.Stop() })
	order, err := http.Post(engineDoor.URL+"/order", "application/json", strings.NewReader(`{"replica":"r1","epoch":1,"members":["engine-1"]}`))
	assert.NilError(t, err)
	_ = order.Body.Close()
	b.publish(strings.TrimPrefix(plainDoor.URL, "http://"), strings.TrimPrefix(engineDoor.URL, "http://"))
	for i := range nodes {
		b.servers = append(b.servers, nil)
		b.doors = append(b.doors, nil)
		b.replace(t, i)
	}
	t.Cleanup(func() {
		b.store.SetDown(false)
		for _, door := range b.doors {
			door.Close()
		}
	})
	return b
}

func (b *bench) publish(plainAddress, engineAddress string) {
	for range 2 {
		replicastate := &route.ReplicaState{}
		replicastate.SetCompleteUntil(b.start, b.start.Add(time.Hour))
		b.cells = append(b.cells, replicastate)
	}
	tableOf := func(id, address string, replicastate *route.ReplicaState) *route.Table {
		return &route.Table{Policy: route.DefaultPolicy(), Start: b.start, Replicas: []route.Replica{
			{ID: id, Epoch: 1, Address: address, MaxStreams: 64, State: replicastate},
		}}
	}
	b.view.Store(&view.View{
		Serving: true, Nodes: 1, Teams: testTeams,
		Models:        []view.ModelService{{Service: intent.Service{Name: "llm", Kind: intent.KindModel, Model: "m"}, Table: tableOf("r1", engineAddress, b.cells[0])}},
		PlainServices: []view.PlainService{{Service: testService, Table: tableOf("plain-1", plainAddress, b.cells[1])}},
	})
}

// replace puts a new incarnation of a node in the place of the old one, which
// is dead from then on: what it still does is not seen as alive.
func (b *bench) replace(t testing.TB, i int) {
	id := fmt.Sprintf("node-%d/%d", i, len(b.alive))
	b.alive = append(b.alive, id)
	next := *b.view.Load()
	next.AliveIncarnations = nil
	for node, server := range b.servers {
		if server != nil && node != i {
			next.AliveIncarnations = append(next.AliveIncarnations, server.self)
		}
	}
	next.AliveIncarnations = append(next.AliveIncarnations, id)
	b.view.Store(&next)
	b.servers[i] = New(id, b.view, engine.New(), b.store, WithLimits(b.limits))
	if old := b.doors[i]; old != nil {
		old.Close()
	}
	b.doors[i] = httptest.NewServer(b.servers[i].Handler())
}

// seen is an answer as a caller sees it.
type seen struct {
	status  int
	outcome Outcome
	body    string
	header  http.Header
}

func (b *bench) send(t testing.TB, node int, method, path, body string, headers ...string) seen {
	request, err := http.NewRequest(method, b.doors[node].URL+path, strings.NewReader(body))
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
	return seen{status: response.StatusCode, outcome: Outcome(response.Header.Get(headerOutcome)), body: string(read), header: response.Header}
}
