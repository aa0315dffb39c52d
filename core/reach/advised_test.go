package reach_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/reach"
	"hickorybend/core/site"
)

// TestAdviceKeepsToRules guards against requests that go where another node says although this node
// holds something against the endpoint, or the request was there before.
func TestAdviceKeepsToRules(t *testing.T) {
	now := time.Unix(1000, 0)
	load := func(change func(*reach.Load)) *reach.Load {
		load := &reach.Load{}
		change(load)
		return load
	}
	for _, test := range []struct {
		name      string
		candidate reach.Candidate
		tried     []string
		want      bool
	}{
		{"free", reach.Candidate{Load: &reach.Load{}}, nil, true},
		{"busy", reach.Candidate{Slots: 1, Load: load(func(load *reach.Load) { load.Begin(); load.SetPeerLoad(5, 0) })}, nil, true},
		{"tried", reach.Candidate{Load: &reach.Load{}}, []string{"a"}, false},
		{"avoided", reach.Candidate{Load: load(func(load *reach.Load) { load.Avoid(now.Add(time.Second)) })}, nil, false},
		{"unreachable", reach.Candidate{Load: load(func(load *reach.Load) { load.MarkUnreachable(now.Add(time.Second)) })}, nil, false},
		{"backed off", reach.Candidate{Load: load(func(load *reach.Load) { load.BackOff(now.Add(time.Second)) })}, nil, false},
		{"leaving", reach.Candidate{StartedAt: now, Load: load(func(load *reach.Load) { load.MarkLeaving(now) })}, nil, false},
		{"limited", reach.Candidate{Load: load(func(load *reach.Load) { load.SetRate(1); load.TakeTurn(now) })}, nil, false},
		{"connections in use", reach.Candidate{MaxInFlight: 1, Load: load(func(load *reach.Load) { load.Begin() })}, nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.candidate.ID = "a"
			pool := &reach.ServicePool{Engine: &site.Engine{}, Models: map[string][]*reach.Candidate{"m": {&test.candidate}}}
			request := reach.Request{Model: "m", Now: now, Tried: test.tried}
			assert.Equal(t, len(reach.Unusable(reach.DefaultPolicy(), pool, request)) == 0, test.want)
			assert.Equal(t, reach.Take(reach.DefaultPolicy(), pool, request, "a") != nil, test.want)
			assert.Assert(t, reach.Take(reach.DefaultPolicy(), pool, request, "b") == nil)
		})
	}
	assert.Assert(t, reach.Take(reach.DefaultPolicy(), nil, reach.Request{}, "a") == nil)
}
