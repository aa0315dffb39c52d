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

// TestRowsOfBeforeAnOutage has an endpoint join another replica while the store
// is away, which its reports tell. Rows that the store still has from before
// change nothing; those written after its return do.
func TestRowsOfBeforeAnOutage(t *testing.T) {
	away := time.Now()
	back := away.Add(8 * time.Second)
	control := holderOf(away)
	control.engine = platform.NewEngineClient(pool.New())
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // nobody is asked
	control.ctx = ctx
	row := func(beat int, replica string, at time.Time) {
		value := fmt.Sprintf(`{"service":"llm","address":"127.0.0.1:1","state":"ready","sequence":%d,"born":1000,"group":{"name":%q,"epoch":1,"state":"ready"}}`, beat, replica)
		control.learnEndpoint(platform.Entry{Key: "e-1", Value: []byte(value), Version: 1}, at)
	}
	expect := func(replica string) {
		t.Helper()
		assert.Equal(t, control.endpoints.byID["e-1"].Membership.Replica, replica)
	}
	row(5, "large.a", away.Add(-time.Second))
	expect("large.a")
	report := control.endpoints.byID["e-1"]
	report.Membership = fleet.Membership{Replica: "large.b", Epoch: 2, Phase: fleet.PhaseOpen}
	control.learnReport(probed{id: "e-1", alive: true, report: report, asked: away.Add(2 * time.Second)})
	expect("large.b")
	control.operators.backAt[tableEndpoints] = back
	row(5, "large.a", back)
	expect("large.b")
	row(6, "large.a", back.Add(100*time.Millisecond)) // written just before the store went
	expect("large.b")
	row(9, "large.c", back.Add(believeGone+time.Millisecond))
	expect("large.c")
}
