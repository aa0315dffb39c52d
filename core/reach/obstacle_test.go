package reach_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/reach"
)

// TestObstacles checks that each reason for which Choose sends no request to a candidate is named.
func TestObstacles(t *testing.T) {
	now := time.Unix(1000, 0)
	until := now.Add(time.Second)
	for _, test := range []struct {
		reason reach.ObstacleReason
		set    func(candidate *reach.Candidate)
		until  time.Time
	}{
		{reach.ObstacleTried, func(candidate *reach.Candidate) { candidate.ID = "tried" }, time.Time{}},
		{reach.ObstacleUnreachable, func(candidate *reach.Candidate) { candidate.Load.MarkUnreachable(until) }, until},
		{reach.ObstacleAvoided, func(candidate *reach.Candidate) { candidate.Load.Avoid(until) }, until},
		{reach.ObstacleBackedOff, func(candidate *reach.Candidate) { candidate.Load.BackOff(until) }, until},
		{reach.ObstacleLeaving, func(candidate *reach.Candidate) { candidate.Load.MarkLeaving(candidate.StartedAt) }, time.Time{}},
		{reach.ObstacleLimited, func(candidate *reach.Candidate) { candidate.Load.SetRate(0) }, time.Time{}},
		{reach.ObstacleInFlight, func(candidate *reach.Candidate) { candidate.MaxInFlight = 1; candidate.Load.Begin() }, time.Time{}},
	} {
		t.Run(string(test.reason), func(t *testing.T) {
			candidate := &reach.Candidate{ID: "e", Slots: 4, StartedAt: time.UnixMilli(1), Load: &reach.Load{}}
			servicepool := &reach.ServicePool{Service: "app", Plain: []*reach.Candidate{candidate}}
			request := reach.Request{Now: now, Deadline: now.Add(time.Second), Tried: []string{"tried"}}
			assert.Equal(t, len(reach.Obstacles(servicepool, request, 8)), 0)
			test.set(candidate)
			assert.DeepEqual(t, reach.Obstacles(servicepool, request, 8), []reach.Obstacle{{Candidate: candidate.ID, Reason: test.reason, Until: test.until}})
			_, rejected := reach.Choose(reach.DefaultPolicy(), servicepool, request).(reach.Reject)
			assert.Assert(t, rejected)
		})
	}
	assert.Equal(t, len(reach.Obstacles(nil, reach.Request{}, 8)), 0)
}
