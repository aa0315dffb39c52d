package edge

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"hickorybend/core/fleet"
	"hickorybend/core/site"
	"hickorybend/io/meter"
	"hickorybend/io/pool"
	"hickorybend/platform"
)

// lookaway is a node that does not see all that happens to the endpoint e-1. With e-2,
// which is new, it can form a replica of the model small.
type lookaway struct {
	t       *testing.T
	control *Control
	began   time.Time
	rows    int
}

func newLookaway(t *testing.T) *lookaway {
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // no probe is sent
	control := NewControl(DefaultSettings(), nil, platform.NewEngineClient(pool.New()), zap.NewNop(), meter.New())
	control.ctx = ctx
	return &lookaway{t: t, control: control, began: time.Now()}
}

func (lookaway *lookaway) at(after time.Duration) time.Time { return lookaway.began.Add(after) }

// row lets the node read a row of an endpoint, which may be the latest of several.
func (lookaway *lookaway) row(id, replica string, after time.Duration) {
	lookaway.rows++
	value := fmt.Sprintf(`{"service":"llm","address":"127.0.0.1:1","state":"ready","sequence":%d,"born":1000,"domain":"d","slots":17,"staged":["small"],"group":{"name":%q,"epoch":1,"rank":1,"state":"ready"}}`, lookaway.rows, replica)
	if replica == "" {
		value = fmt.Sprintf(`{"service":"llm","address":"127.0.0.1:1","state":"ready","sequence":%d,"born":1000,"domain":"d","slots":17,"staged":["small"]}`, lookaway.rows)
	}
	lookaway.control.handleEndpointRow(platform.Entry{Key: id, Value: []byte(value), Version: 1}, fromStore, lookaway.at(after))
}

// report lets the node get an endpoint's report.
func (lookaway *lookaway) report(id, replica string, commands int64, after time.Duration) {
	report := lookaway.control.endpoints.byID[id]
	report.Membership, report.CommandCount, report.CommandCountKnown = fleet.Membership{}, commands, true
	if replica != "" {
		report.Membership = fleet.Membership{Replica: replica, Epoch: 1, Rank: 1, Phase: fleet.PhaseReady}
	}
	lookaway.control.handleProbeResult(probeResult{id: id, alive: true, report: report, sentAt: lookaway.at(after)}, lookaway.at(after))
}

// expectJoin lets the node place from a time on. It must have e-1 join a replica no earlier than earliest,
// and within a second from then.
func (lookaway *lookaway) expectJoin(takeover, earliest time.Duration) {
	lookaway.t.Helper()
	engine := &site.Engine{Slots: 17, LoadsPerSec: 5, MaxConcurrentLoads: 7, Models: []site.Model{
		{Name: "small", ReplicaSize: 2, InitialShare: 1, TimeFactor: 1, LoadTime: 12 * time.Second, WarmTime: 1100 * time.Millisecond},
	}}
	planner := fleet.NewPlanner(fleet.DefaultPolicy(), "llm")
	for after := takeover; after <= earliest+time.Second; after += tickInterval {
		input := fleet.Input{Now: lookaway.at(after), Fence: 7, Engine: engine, Endpoints: lookaway.control.endpoints.ofService("llm")}
		for _, command := range planner.Plan(input) {
			if _, isJoin := command.Operation.(fleet.Join); isJoin && command.Endpoint == "e-1" {
				assert.Assert(lookaway.t, after >= earliest, "e-1 joins %s after the takeover, earliest would be %s", after-takeover, earliest-takeover)
				return
			}
		}
	}
	lookaway.t.Fatal("e-1 joins no replica")
}

// TestFreeWhileNobodyLooked guards against an endpoint that joins another replica while its previous first host
// still serves (TWO): the new holder last saw it free a while ago and sees it free now, and takes it to have been
// free in between.
func TestFreeWhileNobodyLooked(t *testing.T) {
	policy := fleet.DefaultPolicy()
	const seen, left, takeover = 5 * time.Second, 20 * time.Second, 21 * time.Second
	broken := takeover + policy.StallTimeout + policy.StallMargin
	for _, test := range []struct {
		name     string
		commands int64                    // that e-1 had accepted when it was last seen
		missed   func(lookaway *lookaway) // what the node learns of e-1 before it takes over
		earliest time.Duration
	}{
		{"nothing happened", 2, func(lookaway *lookaway) { lookaway.report("e-1", "", 2, takeover) }, takeover},
		{"only the latest row is read", 2, func(lookaway *lookaway) {
			lookaway.row("e-1", "", left)
			lookaway.report("e-1", "", 4, takeover)
		}, broken},
		{"the row does not change", 2, func(lookaway *lookaway) { lookaway.report("e-1", "", 4, takeover) }, broken},
		{"a report names the replica, no row does", 2, func(lookaway *lookaway) {
			lookaway.report("e-1", "small.a", 3, left-time.Second)
			lookaway.report("e-1", "", 4, takeover)
		}, broken},
		{"it had accepted no command", 0, func(lookaway *lookaway) {
			lookaway.row("e-1", "", left)
			lookaway.report("e-1", "", 2, takeover)
		}, broken},
		{"the row takes precedence over the first report", 2, func(lookaway *lookaway) {
			lookaway.row("e-1", "", takeover)
			lookaway.report("e-1", "small.a", 3, takeover+100*time.Millisecond) // from just before it left
			lookaway.report("e-1", "", 4, takeover+time.Second)
		}, broken},
	} {
		t.Run(test.name, func(t *testing.T) {
			lookaway := newLookaway(t)
			lookaway.row("e-1", "", 0)
			lookaway.row("e-2", "", 0)
			lookaway.report("e-2", "", 0, seen)
			lookaway.report("e-1", "", test.commands, seen)
			test.missed(lookaway)
			lookaway.expectJoin(takeover, test.earliest)
		})
	}
}
