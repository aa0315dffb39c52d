package reach_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"hickorybend/core/homes"
	"hickorybend/core/reach"
)

func inRegion(candidate *reach.Candidate, region string) *reach.Candidate {
	candidate.Region = region
	return candidate
}

// TestChooseWithinHomes guards against requests to endpoints outside of their home regions, and
// against rejections without a time to come back at.
func TestChooseWithinHomes(t *testing.T) {
	eu, us, unknown := inRegion(newCandidate("eu", false, 8), "eu"), inRegion(newCandidate("us", true, 0), "us"), newCandidate("unknown", true, 0)
	full := inRegion(newCandidate("full", true, 20), "eu")
	for _, test := range []struct {
		name       string
		candidates []*reach.Candidate
		route      []string
		want       string
		reason     reach.Reason
	}{
		{"no home regions", []*reach.Candidate{eu, us, unknown}, nil, "us", ""},
		{"a home region with less room", []*reach.Candidate{eu, us, unknown}, []string{"eu"}, "eu", ""},
		{"a full home region", []*reach.Candidate{full, us, unknown}, []string{"eu"}, "", reach.ReasonFull},
		{"no endpoint in it", []*reach.Candidate{us, unknown}, []string{"eu"}, "", reach.ReasonNoHome},
		{"an unknown region", []*reach.Candidate{us, unknown}, []string{""}, "", reach.ReasonNoHome},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, sampleSize := range []int{0, 1, 2} {
				for _, random := range []float64{0, 0.2, 0.4, 0.6, 0.8} {
					request := newRequest()
					request.Homes, request.SampleSize, request.Random = homes.Of(test.route, nil), sampleSize, random
					if test.want != "us" { // the sample has any of those without home regions
						expectChoice(t, poolOf(test.candidates...), request, test.want)
						assert.Equal(t, reach.HasRoom(reach.DefaultPolicy(), poolOf(test.candidates...), request), test.want != "")
					}
					if reject, rejected := reach.Choose(reach.DefaultPolicy(), poolOf(test.candidates...), request).(reach.Reject); rejected {
						assert.Equal(t, reject.Reason, test.reason)
						assert.Assert(t, reject.RetryAt.After(request.Now))
					}
				}
			}
		})
	}
}

// TestPeerWithinHomes guards against the body of a request at a node that may not get it, or that
// is of an earlier build and does not keep to home regions.
func TestPeerWithinHomes(t *testing.T) {
	unreachable := inRegion(newCandidate("home", true, 0), "eu")
	unreachable.Load.MarkUnreachable(start.Add(1e9))
	elsewhere := inRegion(newCandidate("elsewhere", true, 0), "us")
	for _, test := range []struct {
		name       string
		candidates []*reach.Candidate
		region     string
		want       bool
	}{
		{"in the home region", []*reach.Candidate{unreachable, elsewhere}, "eu", true},
		{"in the caller's region", []*reach.Candidate{unreachable, elsewhere}, "asia", true},
		{"elsewhere", []*reach.Candidate{unreachable, elsewhere}, "us", false},
		{"of an earlier build", []*reach.Candidate{unreachable, elsewhere}, "", false},
		{"no endpoint at home is known here", []*reach.Candidate{elsewhere}, "eu", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			request := newRequest()
			request.Homes, request.CallersRegion = homes.Of([]string{"eu"}, nil), "asia"
			pool := poolOf(test.candidates...)
			pool.Service = "llm"
			peers := &reach.Peers{List: []reach.Peer{{Usable: map[string]int{"llm/m": 2, "llm/m@eu": 1}, Candidate: &reach.Candidate{ID: "n", IsPeer: true, Region: test.region, Slots: 100, Load: &reach.Load{}}}}}
			assert.Equal(t, reach.ChoosePeer(reach.DefaultPolicy(), peers, pool, request) != nil, test.want)
			request.Homes = homes.Of([]string{"us"}, nil)
			assert.Assert(t, reach.ChoosePeer(reach.DefaultPolicy(), peers, pool, request) == nil, "the other node uses none in us")
			request.Homes = homes.Homes{}
			pool = poolOf(unreachable)
			pool.Service = "llm"
			assert.Assert(t, reach.ChoosePeer(reach.DefaultPolicy(), peers, pool, request) != nil, "without home regions")
		})
	}
}
