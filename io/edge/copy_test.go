package edge

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"hickorybend/core/fleet"
	"hickorybend/io/meter"
	"hickorybend/platform"
	"hickorybend/platform/fakes"
)

// TestCopyOfReportReachesPlacement guards against placement on a report that is seconds old, because a
// copy of it comes where the next one is due. An endpoint has joined a replica since. With the free
// state of before and the command count of now, it would be sent to another replica and go.
func TestCopyOfReportReachesPlacement(t *testing.T) {
	now := time.Now()
	store := fakes.NewStore()
	t.Cleanup(store.Close)
	runner := fakes.NewRunner(store, "llm", "e-1", "domain-1")
	t.Cleanup(runner.Close)
	runner.SetConnections(0, 5*time.Second)
	runner.SetLimit("0.5")
	control := NewControl(DefaultSettings(), nil, platform.NewEngineClient(newPool()), zap.NewNop(), meter.New())
	control.ctx = t.Context()
	endpoint := fleet.Endpoint{ID: "e-1", Service: "llm", Address: runner.Address()}
	control.endpoints.byID["e-1"] = endpoint
	probe := func(at time.Time) {
		control.handleProbeResult(control.requestReport(control.endpoints.byID["e-1"], time.Second, at), at)
	}
	probe(now)
	known := control.endpoints.byID["e-1"]
	assert.Equal(t, known.Membership, fleet.Membership{})
	runner.SetLimit("")
	command := fleet.Command{Endpoint: "e-1", Address: runner.Address(), Operation: fleet.Join{Replica: "r", Epoch: 1, Model: "m", Members: []string{"e-1"}}}
	reply := platform.NewEngineClient(newPool()).SendCommand(t.Context(), command) // its connection is not kept
	assert.Equal(t, reply, fleet.Reply(fleet.Accepted{}))
	control.handleCommandResult(commandResult{service: "llm", command: command, reply: reply}, now)
	runner.SetDuplicates(&fakes.Duplicates{})
	probe(now.Add(2 * reportLag))
	known = control.endpoints.byID["e-1"]
	assert.Check(t, known.CommandCount == 1, "%d commands", known.CommandCount)
	assert.Check(t, known.Membership == fleet.Membership{Replica: "r", Epoch: 1, Phase: "ready"}, "%+v", known.Membership)
	limits := 0
	for timeout := time.After(200 * time.Millisecond); timeout != nil; {
		select {
		case message := <-control.messages:
			if _, stated := message.(limitStated); stated {
				limits++
			}
		case <-timeout:
			timeout = nil
		}
	}
	assert.Equal(t, limits, 1, "statements of a limit")
}
