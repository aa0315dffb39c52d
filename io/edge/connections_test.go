package edge

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"hickorybend/core/fleet"
	"hickorybend/core/site"
	"hickorybend/io/event"
	"hickorybend/io/meter"
	"hickorybend/io/pool"
)

// TestResetsReduceTheConnections guards against a node that goes on opening connections
// to an endpoint that resets them: it keeps to those that it had, for callers' requests
// and in the pool, for a time.
func TestResetsReduceTheConnections(t *testing.T) {
	now := time.Now()
	core, logs := observer.New(zap.InfoLevel)
	control := NewControl(DefaultSettings(), nil, nil, zap.New(core), meter.New())
	var budgets map[string]pool.Budget
	control.setBudgets = func(updated map[string]pool.Budget) { budgets = updated }
	control.config.index = site.NewIndex(site.Config{Services: []site.Service{{Name: "app", MaxConnections: 8}}})
	control.endpoints.byID["i-1"] = fleet.Endpoint{ID: "i-1", Service: "app", Address: "127.0.0.1:1", StartedAt: now}
	expect := func(want int) {
		t.Helper()
		assert.Assert(t, control.snapshotStale)
		control.snapshotStale = false
		control.publish(now)
		assert.Equal(t, control.snapshot.Load().Services["app"].Plain[0].MaxInFlight, want)
		assert.DeepEqual(t, budgets, map[string]pool.Budget{"127.0.0.1:1": {Service: "app", Requests: want, Own: 1}})
	}
	control.snapshotStale = true
	expect(7)
	control.handleConnectionReset(connectionReset{pool.Reset{Address: "127.0.0.1:1", Open: 6, At: now}}, now)
	expect(4)
	control.handleConnectionReset(connectionReset{pool.Reset{Address: "127.0.0.1:1", Open: 1, At: now}}, now)
	expect(1)
	control.endReductions(now.Add(reductionTime - time.Millisecond))
	assert.Assert(t, !control.snapshotStale)
	control.endReductions(now.Add(reductionTime))
	expect(7)

	control.endReductions(now.Add(resetLogInterval))
	for range 100 {
		control.handleConnectionReset(connectionReset{pool.Reset{Address: "127.0.0.1:1", Open: 3, At: now}}, now.Add(resetLogInterval))
	}
	control.endReductions(now.Add(2 * resetLogInterval))
	var logged []int64
	for _, entry := range logs.FilterMessage(event.ConnectionsReset.Text).All() {
		fields := entry.ContextMap()
		assert.Equal(t, fields["service"], "app")
		assert.Equal(t, fields["endpoint"], "i-1")
		logged = append(logged, fields["resets"].(int64))
	}
	assert.DeepEqual(t, logged, []int64{1, 1, 100})
}

// TestBudgetsOfNewEndpoints checks that an endpoint that comes shortly after the budgets
// were computed gets one within a second, and at once if the shares change.
func TestBudgetsOfNewEndpoints(t *testing.T) {
	now := time.Now()
	control, budgets := newBudgetControl(1)
	control.publish(now)
	assert.Equal(t, len(*budgets), 1)
	control.endpoints.byID["i-new"] = fleet.Endpoint{ID: "i-new", Service: "app", Address: "127.0.0.1:9"}
	control.publish(now.Add(tickInterval))
	control.endReductions(now.Add(budgetInterval - time.Millisecond))
	assert.Equal(t, len(*budgets), 1)
	control.endReductions(now.Add(budgetInterval))
	assert.Equal(t, len(*budgets), 2)
	assert.Equal(t, (*budgets)["127.0.0.1:9"], pool.Budget{Service: "app", Requests: 7, Own: 1})
	control.peers.nodes["other"] = &peer{}
	control.publish(now.Add(budgetInterval + time.Millisecond))
	assert.Equal(t, (*budgets)["127.0.0.1:9"], pool.Budget{Service: "app", Requests: 3, Own: 1})
}

// newBudgetControl returns a control with endpoints that accept 8 connections each, and
// the budgets that it sets.
func newBudgetControl(endpoints int) (*Control, *map[string]pool.Budget) {
	control, budgets := NewControl(DefaultSettings(), nil, nil, zap.NewNop(), meter.New()), &map[string]pool.Budget{}
	control.setBudgets = func(updated map[string]pool.Budget) { *budgets = updated }
	control.config.index = site.NewIndex(site.Config{Services: []site.Service{{Name: "app", MaxConnections: 8}}})
	for i := range endpoints {
		id := fmt.Sprint("i-", i)
		control.endpoints.byID[id] = fleet.Endpoint{ID: id, Service: "app", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)}
	}
	return control, budgets
}

// BenchmarkUpdateBudgets computes the budgets of connections to 12,000 endpoints.
func BenchmarkUpdateBudgets(b *testing.B) {
	control, _ := newBudgetControl(12000)
	now := time.Now()
	for b.Loop() {
		now = now.Add(budgetInterval)
		control.updateBudgets(390, now)
	}
}

// TestConnectionsInMetrics checks that the counts of a service are in the metrics.
func TestConnectionsInMetrics(t *testing.T) {
	meter := meter.New()
	reportConnections(meter, map[string]pool.Counts{"app": {Open: 1, Idle: 2, Opened: 3, Resets: 4, Evicted: 5, NoRoom: 6}})
	var text strings.Builder
	meter.WriteText(&text)
	for i, name := range []string{"open", "idle", "opened", "reset", "evicted", "no_room"} {
		assert.Assert(t, strings.Contains(text.String(), fmt.Sprintf("hickorybend_connections_%s{label=\"app\"} %d\n", name, i+1)), text.String())
	}
}
