package fleet_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/fleet"
	"hickorybend/core/site"
)

// host returns an endpoint of a domain, which is a member of an open replica if that has a
// name.
func host(id, zone, replica string, rank int) fleet.Endpoint {
	endpoint := fleet.Endpoint{ID: id, Zone: zone, Domain: zone, CommandCountKnown: true, Staged: []string{"m"}, StartedAt: time.Unix(1, 0)}
	if replica != "" {
		endpoint.Membership = fleet.Membership{Replica: replica, Epoch: 1, Rank: rank, Phase: fleet.PhaseOpen}
	}
	return endpoint
}

// expectOutside checks which endpoints placement may use while the zone east is evacuated.
func expectOutside(t *testing.T, endpoints []fleet.Endpoint, want string) {
	t.Helper()
	var got []string
	for _, endpoint := range fleet.OutsideZones(endpoints, func(zone string) bool { return zone == "east" }) {
		got = append(got, endpoint.ID)
	}
	assert.Equal(t, strings.Join(got, " "), want)
}

// TestOutsideZones guards against a replica in an evacuated zone that placement takes apart or
// repairs, and against a spare there that it uses.
func TestOutsideZones(t *testing.T) {
	for _, test := range []struct {
		name      string
		endpoints []fleet.Endpoint
		want      string
	}{
		{"spares", []fleet.Endpoint{host("a", "east", "", 0), host("b", "west", "", 0)}, "b"},
		{"replicas", []fleet.Endpoint{host("a", "east", "m.1", 0), host("b", "east", "m.1", 1), host("c", "west", "m.2", 0)}, "c"},
		{"a first host in the zone, a member elsewhere", []fleet.Endpoint{host("a", "east", "m.1", 0), host("b", "west", "m.1", 1)}, ""},
		{"a first host elsewhere, a member in the zone", []fleet.Endpoint{host("a", "west", "m.1", 0), host("b", "east", "m.1", 1)}, "a b"},
		{"a member whose first host is not known", []fleet.Endpoint{host("b", "east", "m.1", 1), host("c", "west", "m.2", 1)}, "c"},
	} {
		t.Run(test.name, func(t *testing.T) { expectOutside(t, test.endpoints, test.want) })
	}
}

// TestReplayOfEvacuation evacuates a zone with an open replica, and takes it back: no command goes
// there meanwhile, a replica forms in the other zone, and the one that was left is adopted
// as it is.
func TestReplayOfEvacuation(t *testing.T) {
	engine := &site.Engine{Slots: 8, Models: []site.Model{{Name: "m", ReplicaSize: 2, InitialShare: 1, TimeFactor: 1, WarmTime: time.Second}}, StepTime: time.Millisecond, PrefillTokensPerSec: 1000, LoadsPerSec: 1, MaxConcurrentLoads: 2}
	endpoints := []fleet.Endpoint{host("a", "east", "m.1", 0), host("b", "east", "m.1", 1)}
	planner, commandsWest := fleet.NewPlanner(fleet.DefaultPolicy(), "llm"), 0
	for second := range 60 {
		evacuated := second >= 10 && second < 40
		if second == 15 || second == 16 {
			endpoints = append(endpoints, host(fmt.Sprint("w", second), "west", "", 0))
		}
		input := fleet.Input{Now: time.Unix(int64(1000+second), 0), Fence: 2, Engine: engine, Endpoints: endpoints, Demand: map[string]float64{"m": 4}}
		if evacuated {
			input.Endpoints = fleet.OutsideZones(endpoints, func(zone string) bool { return zone == "east" })
		}
		for _, command := range planner.Plan(input) {
			assert.Assert(t, command.Endpoint != "a" && command.Endpoint != "b", "second %d: %v", second, command)
			commandsWest++
			planner.Resolve(input.Now, command, apply(endpoints, command))
		}
	}
	assert.Assert(t, commandsWest > 0)
	assert.Equal(t, len(fleet.ServingReplicas(engine, endpoints, func(string) bool { return false })), 2)
}

// apply carries a command out at once and returns the reply.
func apply(endpoints []fleet.Endpoint, command fleet.Command) fleet.Reply {
	for i := range endpoints {
		endpoint := &endpoints[i]
		if endpoint.ID != command.Endpoint {
			continue
		}
		endpoint.CommandCount++
		switch operation := command.Operation.(type) {
		case fleet.Join:
			for rank, member := range operation.Members {
				if member == endpoint.ID {
					endpoint.Membership = fleet.Membership{Replica: operation.Replica, Epoch: operation.Epoch, Rank: rank, Phase: fleet.PhaseReady}
				}
			}
		case fleet.Open:
			endpoint.Membership.Phase = fleet.PhaseOpen
		case fleet.Leave:
			endpoint.Membership = fleet.Membership{}
		}
	}
	return fleet.Accepted{}
}
