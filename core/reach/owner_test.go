package reach_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/homes"
	"hickorybend/core/reach"
)

// expectOwner checks which node a request is sent to.
func expectOwner(t *testing.T, plain []*reach.Candidate, tried []string, want string) {
	t.Helper()
	var peers reach.Peers
	for _, name := range []string{"n-1", "n-2", "n-3"} {
		peers.List = append(peers.List, reach.Peer{Candidate: &reach.Candidate{ID: name, IsPeer: true, Slots: 10, Load: &reach.Load{}}})
	}
	got := ""
	if owner := reach.ChooseOwner(reach.DefaultPolicy(), &peers, &reach.ServicePool{Service: "app", Plain: plain}, reach.Request{Now: time.Unix(1000, 0), Tried: tried}); owner != nil {
		got = owner.ID
	}
	assert.Equal(t, got, want)
}

// TestRequestForColdEndpointsOnly guards against requests that are rejected here while a
// node that may send them on is idle, and against ones that are sent on although this
// node has endpoints of its own.
func TestRequestForColdEndpointsOnly(t *testing.T) {
	endpoint := func(id string, owners ...string) *reach.Candidate {
		candidate := &reach.Candidate{ID: id, Slots: 4, Load: &reach.Load{}, Owners: owners}
		if len(owners) > 0 {
			candidate.Load.SetRate(0)
		}
		return candidate
	}
	ours := endpoint("e-3", "n-1")
	ours.Load.SetRate(1)
	unreachable := endpoint("e-9")
	unreachable.Load.MarkUnreachable(time.Unix(2000, 0))
	for _, test := range []struct {
		name  string
		plain []*reach.Candidate
		tried []string
		want  string
	}{
		{"no endpoint", nil, nil, ""},
		{"a warm one", []*reach.Candidate{endpoint("e-1", "n-2"), endpoint("e-2")}, nil, ""},
		{"cold ones only", []*reach.Candidate{endpoint("e-1", "n-2"), endpoint("e-2", "n-2")}, nil, "n-2"},
		{"cold ones, and one that is not reached", []*reach.Candidate{endpoint("e-1", "n-3"), unreachable}, nil, "n-3"},
		{"a cold one for which this node has a turn", []*reach.Candidate{endpoint("e-1", "n-2"), ours}, nil, ""},
		{"its owner was tried", []*reach.Candidate{endpoint("e-1", "n-2")}, []string{"n-2"}, ""},
		{"its owner is no member", []*reach.Candidate{endpoint("e-1", "n-9")}, nil, ""},
	} {
		t.Run(test.name, func(t *testing.T) { expectOwner(t, test.plain, test.tried, test.want) })
	}
}

// TestFirstTurnIsHeld guards against owners that all send at once when an endpoint turns cold.
func TestFirstTurnIsHeld(t *testing.T) {
	now, load := time.Unix(1000, 0), &reach.Load{}
	load.HoldTurn(now.Add(400 * time.Millisecond))
	assert.Assert(t, !load.Limited(now), "it has no rate")
	load.SetRate(1)
	assert.Assert(t, load.Limited(now.Add(399*time.Millisecond)))
	load.HoldTurn(now)
	assert.Assert(t, load.Limited(now.Add(399*time.Millisecond)), "an earlier time does not shorten the wait")
	assert.Assert(t, load.TakeTurn(now.Add(400*time.Millisecond)))
}

// TestOwnerWithinHomes guards against a request that is sent to an owner which may not get it, and
// against one that is rejected because an endpoint outside its home regions is warm.
func TestOwnerWithinHomes(t *testing.T) {
	cold := inRegion(&reach.Candidate{ID: "cold", Slots: 4, Load: &reach.Load{}, Owners: []string{"us-node", "eu-node", "unknown-node"}}, "eu")
	cold.Load.SetRate(0)
	warm := inRegion(&reach.Candidate{ID: "warm", Slots: 4, Load: &reach.Load{}}, "us")
	peer := func(id, region string, inFlight int) reach.Peer {
		candidate := inRegion(&reach.Candidate{ID: id, IsPeer: true, Slots: 10, Load: &reach.Load{}}, region)
		candidate.Load.SetPeerLoad(inFlight, 0)
		return reach.Peer{Candidate: candidate}
	}
	peers := &reach.Peers{List: []reach.Peer{peer("us-node", "us", 0), peer("unknown-node", "", 1), peer("eu-node", "eu", 2)}}
	for _, test := range []struct {
		name  string
		plain []*reach.Candidate
		route []string
		want  string
	}{
		{"no home regions", []*reach.Candidate{cold}, nil, "us-node"},
		{"a home region", []*reach.Candidate{cold}, []string{"eu"}, "eu-node"},
		{"a warm endpoint outside of it", []*reach.Candidate{cold, warm}, []string{"eu"}, "eu-node"},
		{"a warm endpoint", []*reach.Candidate{cold, warm}, nil, ""},
		{"no endpoint in the home region", []*reach.Candidate{cold}, []string{"asia"}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			request := reach.Request{Now: start, Homes: homes.Of(test.route, nil), CallersRegion: "asia"}
			got := ""
			if owner := reach.ChooseOwner(reach.DefaultPolicy(), peers, &reach.ServicePool{Service: "app", Plain: test.plain}, request); owner != nil {
				got = owner.ID
			}
			assert.Equal(t, got, test.want)
		})
	}
}
