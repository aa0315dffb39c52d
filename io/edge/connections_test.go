package edge

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"hickorybend/core/fleet"
	"hickorybend/core/site"
	"hickorybend/io/meter"
	"hickorybend/io/pool"
)

// TestResetsReduceTheConnections guards against a node that goes on opening connections
// to an endpoint that resets them: it keeps to those that it had, for callers' requests
// and in the pool, for a time.
func TestResetsReduceTheConnections(t *testing.T) {
	now := time.Now()
	control := NewControl(DefaultSettings(), nil, nil, zap.NewNop(), meter.New())
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
		assert.DeepEqual(t, budgets, map[string]pool.Budget{"127.0.0.1:1": {Service: "app", Requests: want}})
	}
	control.snapshotStale = true
	expect(8)
	control.handleConnectionReset(connectionReset{pool.Reset{Address: "127.0.0.1:1", Open: 6, At: now}})
	expect(5)
	control.handleConnectionReset(connectionReset{pool.Reset{Address: "127.0.0.1:1", Open: 1, At: now}})
	expect(1)
	control.endReductions(now.Add(reductionTime - time.Millisecond))
	assert.Assert(t, !control.snapshotStale)
	control.endReductions(now.Add(reductionTime))
	expect(8)
}
