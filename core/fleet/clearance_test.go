package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/fleet"
	"hickorybend/core/site"
)

var (
	incarnation = time.UnixMilli(1000)
	takeover    = time.Unix(2000, 0)
	breaksAfter = fleet.DefaultPolicy().StallTimeout + fleet.DefaultPolicy().StallMargin // a takeover: the first host of a replica that the previous holder ended
)

// prepared returns a free endpoint that has accepted a number of commands and can join a
// replica of the model small.
func prepared(id string, commands int64) fleet.Endpoint {
	return fleet.Endpoint{ID: id, Domain: "d", StartedAt: incarnation, CommandCount: commands, CommandCountKnown: true, Staged: []string{"small"}}
}

// expectJoin lets a new holder place e-1, which has accepted a number of commands, and another endpoint, which has
// accepted none. seen is what the holder sees of e-1 at a time since the takeover; it knows all else from input. e-1 must
// join a replica at the given time, not earlier.
func expectJoin(t *testing.T, input fleet.Input, commands int64, seen func(after time.Duration) fleet.Endpoint, want time.Duration) {
	t.Helper()
	small := &site.Engine{Slots: 17, LoadsPerSec: 5, MaxConcurrentLoads: 7, Models: []site.Model{engine.Models[1]}}
	planner := fleet.NewPlanner(fleet.DefaultPolicy(), "llm")
	for after := time.Duration(0); after <= want+time.Second; after += step {
		input.Now, input.Fence, input.Engine = takeover.Add(after), 7, small
		input.Endpoints = []fleet.Endpoint{seen(after), prepared("e-2", 0)}
		for _, command := range planner.Plan(input) {
			if command.Endpoint == "e-1" && command.ExpectedCommandCount != commands {
				planner.Resolve(input.Now, command, fleet.Rejected{})
				continue
			}
			planner.Resolve(input.Now, command, fleet.Accepted{})
			if _, isJoin := command.Operation.(fleet.Join); isJoin && command.Endpoint == "e-1" {
				assert.Equal(t, after, want)
				return
			}
		}
	}
	t.Fatal("e-1 joins no replica")
}

// TestClearanceOfOtherState guards against a new holder that lets an endpoint join a replica because of what was
// reported of an earlier state, or of nothing at all: the endpoint has left a replica since, whose first
// host still serves.
func TestClearanceOfOtherState(t *testing.T) {
	reported := func(clearance fleet.Clearance) fleet.HolderReport {
		return fleet.HolderReport{Fence: 6, ReceivedAt: takeover, Cleared: map[string]fleet.Clearance{"e-1": clearance}}
	}
	always := func(endpoint fleet.Endpoint) func(time.Duration) fleet.Endpoint {
		return func(time.Duration) fleet.Endpoint { return endpoint }
	}
	for _, test := range []struct {
		name   string
		report fleet.HolderReport
		seen   func(after time.Duration) fleet.Endpoint
		want   time.Duration
	}{
		{"cleared in this state", reported(fleet.Clearance{StartedAt: incarnation, CommandCount: 4}), always(prepared("e-1", 4)), 0},
		{"cleared by the holder before the previous one", fleet.HolderReport{Fence: 3, Cleared: map[string]fleet.Clearance{"e-1": {StartedAt: incarnation, CommandCount: 4}}}, always(prepared("e-1", 4)), 0},
		{"cleared before it joined and left", reported(fleet.Clearance{StartedAt: incarnation, CommandCount: 2}), always(prepared("e-1", 4)), breaksAfter},
		{"cleared in an earlier incarnation", reported(fleet.Clearance{StartedAt: incarnation.Add(-time.Minute), CommandCount: 4}), always(prepared("e-1", 4)), breaksAfter},
		{"the previous holder never saw it", fleet.HolderReport{Fence: 6, ReceivedAt: takeover, Cleared: map[string]fleet.Clearance{}}, func(time.Duration) fleet.Endpoint {
			endpoint := prepared("e-1", 4)
			endpoint.FreeSince = takeover.Add(-2 * time.Second)
			return endpoint
		}, breaksAfter - 2*time.Second},
		{"its restart is seen late", fleet.HolderReport{}, func(after time.Duration) fleet.Endpoint {
			endpoint := prepared("e-1", 2)
			if endpoint.CommandCountKnown = after >= time.Second; endpoint.CommandCountKnown {
				endpoint.StartedAt = incarnation.Add(time.Minute)
			}
			return endpoint
		}, breaksAfter},
	} {
		t.Run(test.name, func(t *testing.T) {
			expectJoin(t, fleet.Input{HolderReport: test.report}, test.seen(breaksAfter).CommandCount, test.seen, test.want)
		})
	}
}

// TestRejectedJoinIsSentAgain guards against an endpoint that joins a replica although its former first host still
// serves: its command count, for which it was cleared, was out of date, and the Join that it rejected is sent again
// with the right one.
func TestRejectedJoinIsSentAgain(t *testing.T) {
	for _, test := range []struct {
		name   string
		known  int64 // count that the holder states first
		report fleet.HolderReport
	}{
		{"no command", 0, fleet.HolderReport{}},
		{"cleared", 2, fleet.HolderReport{Fence: 6, Cleared: map[string]fleet.Clearance{"e-1": {StartedAt: incarnation, CommandCount: 2}}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			expectJoin(t, fleet.Input{HolderReport: test.report}, 4, func(after time.Duration) fleet.Endpoint {
				if after < time.Second {
					return prepared("e-1", test.known)
				}
				return prepared("e-1", 4)
			}, breaksAfter)
		})
	}
}

// TestHolderChangesBeforeFirstRequest guards against an endpoint that joins another replica although its former first
// host still serves, because no request has arrived yet (TWO): replicas are open before the first one, and the previous
// holder may have told the endpoint to leave one.
func TestHolderChangesBeforeFirstRequest(t *testing.T) {
	expectJoin(t, fleet.Input{NoRequestsYet: true}, 4, func(time.Duration) fleet.Endpoint { return prepared("e-1", 4) }, breaksAfter)
}

// TestStageKeepsClearance guards against a new holder that waits for a free endpoint only because the previous one, or
// it itself, has had the endpoint load weights.
func TestStageKeepsClearance(t *testing.T) {
	planner := fleet.NewPlanner(fleet.DefaultPolicy(), "llm")
	endpoint := prepared("e-1", 4)
	planner.Plan(fleet.Input{Now: takeover, Fence: 7, Engine: engine, Endpoints: []fleet.Endpoint{endpoint},
		HolderReport: fleet.HolderReport{Fence: 6, Cleared: map[string]fleet.Clearance{"e-1": {StartedAt: incarnation, CommandCount: 4}}}})
	stage := fleet.Command{Endpoint: "e-1", StartedAt: incarnation, ExpectedCommandCount: 4, Operation: fleet.Stage{Model: "large"}}
	planner.Resolve(takeover, stage, fleet.Unknown{})
	assert.Equal(t, planner.Cleared()["e-1"].CommandCount, int64(4))
	planner.Resolve(takeover, stage, fleet.Accepted{})
	assert.Equal(t, planner.Cleared()["e-1"].CommandCount, int64(5))
	stage.ExpectedCommandCount = 7 // it has accepted other commands meanwhile
	planner.Resolve(takeover, stage, fleet.Accepted{})
	assert.Equal(t, planner.Cleared()["e-1"].CommandCount, int64(5))
}

// TestOutdatedClearancesAreDropped guards against digests that grow with each endpoint that has ever been free, and
// against a clearance that is lost because its holder does not know the endpoint's count.
func TestOutdatedClearancesAreDropped(t *testing.T) {
	uncounted, member, restarted := prepared("e-1", 4), prepared("e-1", 5), prepared("e-1", 1)
	uncounted.CommandCountKnown = false
	member.Membership = fleet.Membership{Replica: "small.a", Epoch: 1, Phase: fleet.PhaseReady}
	restarted.StartedAt = incarnation.Add(time.Minute)
	for _, test := range []struct {
		name      string
		endpoints []fleet.Endpoint
		want      int
	}{
		{"same state", []fleet.Endpoint{prepared("e-1", 4)}, 1},
		{"count unknown", []fleet.Endpoint{uncounted}, 1},
		{"count of before", []fleet.Endpoint{prepared("e-1", 3)}, 1},
		{"joined a replica", []fleet.Endpoint{member}, 0},
		{"restarted", []fleet.Endpoint{restarted}, 0},
		{"gone", nil, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			planner := fleet.NewPlanner(fleet.DefaultPolicy(), "llm")
			planner.Plan(fleet.Input{Now: takeover, Fence: 7, Engine: engine, Endpoints: test.endpoints,
				HolderReport: fleet.HolderReport{Fence: 6, Cleared: map[string]fleet.Clearance{"e-1": {StartedAt: incarnation, CommandCount: 4}}}})
			assert.Equal(t, len(planner.Cleared()), test.want)
		})
	}
}
