package edge

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/fleet"
	"hickorybend/io/pool"
	"hickorybend/platform"
)

// TestRowsFromBeforeStoreOutage guards against stale rows that undo a report. An
// endpoint joins another replica during a store outage, as its report shows. Rows
// that were written before the outage must not change its replica again; rows
// written after the store's recovery must.
func TestRowsFromBeforeStoreOutage(t *testing.T) {
	outageStart := time.Now()
	recovery := outageStart.Add(8 * time.Second)
	control := newHolder(outageStart)
	control.engineClient = platform.NewEngineClient(pool.New())
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // no probe is sent
	control.ctx = ctx
	receiveRow := func(sequence int, replica string, at time.Time) {
		value := fmt.Sprintf(`{"service":"llm","address":"127.0.0.1:1","state":"ready","sequence":%d,"born":1000,"group":{"name":%q,"epoch":1,"state":"ready"}}`, sequence, replica)
		control.handleEndpointRow(platform.Entry{Key: "e-1", Value: []byte(value), Version: 1}, fromStore, at)
	}
	expectReplica := func(replica string) {
		t.Helper()
		assert.Equal(t, control.endpoints.byID["e-1"].Membership.Replica, replica)
	}
	receiveRow(5, "large.a", outageStart.Add(-time.Second))
	expectReplica("large.a")
	report := control.endpoints.byID["e-1"]
	report.Membership = fleet.Membership{Replica: "large.b", Epoch: 2, Phase: fleet.PhaseOpen}
	control.handleReport(probeResult{id: "e-1", alive: true, report: report, sentAt: outageStart.Add(2 * time.Second)}, outageStart.Add(2*time.Second))
	expectReplica("large.b")
	control.copies.watermarks[tableEndpoints].RecoveredAt = recovery
	receiveRow(5, "large.a", recovery)
	expectReplica("large.b")
	receiveRow(6, "large.a", recovery.Add(100*time.Millisecond)) // written just before the outage
	expectReplica("large.b")
	receiveRow(9, "large.c", recovery.Add(removalGrace+time.Millisecond))
	expectReplica("large.c")
}

// TestRowDoesNotOverrideLeaving guards against an endpoint that is used again,
// though it has said in an answer that it leaves: because of a row that says that it is
// ready, or of a late answer about an earlier incarnation.
func TestRowDoesNotOverrideLeaving(t *testing.T) {
	now := time.Now()
	control := newHolder(now)
	receiveRow := func(sequence int, startedAt time.Time) {
		value := fmt.Sprintf(`{"service":"app","address":"127.0.0.1:1","state":"ready","sequence":%d,"born":%d}`, sequence, startedAt.UnixMilli())
		control.handleEndpointRow(platform.Entry{Key: "e-1", Value: []byte(value), Version: 1}, fromStore, now)
	}
	expectDraining := func(want bool) {
		t.Helper()
		assert.Equal(t, control.endpoints.byID["e-1"].Draining, want)
		assert.Equal(t, control.endpoints.load("e-1").Leaving(control.endpoints.byID["e-1"].StartedAt), want)
		assert.Equal(t, len(control.endpoints.leavingList()) == 1, want)
	}
	first, second := time.UnixMilli(1000), time.UnixMilli(2000)
	receiveRow(1, first)
	expectDraining(false)
	control.handleLeaving(endpointLeaves{endpoint: "e-1", startedAt: first}, fromAnswer, now)
	expectDraining(true)
	receiveRow(2, first)
	expectDraining(true)
	receiveRow(1, second)
	expectDraining(false)
	control.handleLeaving(endpointLeaves{endpoint: "e-1", startedAt: first}, fromPeer, now)
	expectDraining(false)
}
