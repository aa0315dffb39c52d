package reach_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/reach"
	"hickorybend/core/site"
)

var start = time.Unix(1000, 0)

func replica(id string, near bool, inFlight int) *reach.Candidate {
	load := &reach.Load{}
	load.SetPeerLoad(inFlight, 0)
	return &reach.Candidate{ID: id, SameZone: near, Slots: 10, PrefillTokensPerSec: 45900, Load: load}
}

func poolOf(candidates ...*reach.Candidate) *reach.Pool {
	return &reach.Pool{Engine: &site.Engine{Slots: 10}, Models: map[string][]*reach.Candidate{"m": candidates}}
}

func wish() reach.Request {
	return reach.Request{Model: "m", Now: start, Deadline: start.Add(400 * time.Millisecond), Priority: 2, Random: 0.5}
}

// expectChoice says which candidate a request goes to; "" for none.
func expectChoice(t *testing.T, pool *reach.Pool, request reach.Request, want string) {
	t.Helper()
	got := ""
	if send, sent := reach.Choose(reach.DefaultPolicy(), pool, request).(reach.Send); sent {
		got = send.Candidate.ID
	}
	assert.Equal(t, got, want)
}

// TestChoose has one candidate differ in one way at a time.
func TestChoose(t *testing.T) {
	failing := replica("failing", true, 0)
	for range 10 {
		failing.Load.RecordResult(start, true, 0)
	}
	reading := replica("reading", true, 2)
	reading.Load.AddPendingTokens(9000) // 200 ms of prompts
	avoided := replica("avoided", true, 0)
	avoided.Load.Avoid(start.Add(time.Second))
	slow, usual := replica("slow", true, 1), replica("usual", true, 2)
	slow.Load.RecordResult(start, false, 8*time.Second)
	usual.Load.RecordResult(start, false, time.Second)
	for _, test := range []struct {
		name       string
		candidates []*reach.Candidate
		want       string
	}{
		{"the least load", []*reach.Candidate{replica("a", true, 5), replica("b", true, 2)}, "b"},
		{"near at like load", []*reach.Candidate{replica("far", false, 3), replica("near", true, 3)}, "near"},
		{"far at much less load", []*reach.Candidate{replica("far", false, 1), replica("near", true, 7)}, "far"},
		{"no prompts that wait", []*reach.Candidate{reading, replica("idle", true, 3)}, "idle"},
		{"none that fails", []*reach.Candidate{failing, replica("sound", true, 7)}, "sound"},
		{"none that is avoided", []*reach.Candidate{avoided, replica("sound", true, 7)}, "sound"},
		{"none that is slow", []*reach.Candidate{slow, usual}, "usual"},
		{"none that is full", []*reach.Candidate{replica("full", true, 10)}, ""},
	} {
		t.Run(test.name, func(t *testing.T) { expectChoice(t, poolOf(test.candidates...), wish(), test.want) })
	}
}

// TestFailureFades has an endpoint that failed come back into use by itself.
func TestFailureFades(t *testing.T) {
	failed := replica("failed", true, 0)
	for range 10 {
		failed.Load.RecordResult(start, true, 0)
	}
	late := wish()
	late.Now, late.Deadline = start.Add(20*time.Second), start.Add(21*time.Second)
	expectChoice(t, poolOf(failed, replica("other", true, 3)), late, "failed")
}

// TestBackAndUrgentGoFirst has all slots taken: a request that was turned away
// before, or goes on with a stream, still finds a place.
func TestBackAndUrgentGoFirst(t *testing.T) {
	full := poolOf(replica("a", true, 10))
	back, resumed := wish(), wish()
	back.Retried = true
	resumed.Resumed = true
	expectChoice(t, full, wish(), "")
	expectChoice(t, full, back, "a")
	expectChoice(t, full, resumed, "a")
}

// TestRetryAfterFollowsLoad has a caller told to come back later the more
// requests wait, and never before or after the limits.
func TestRetryAfterFollowsLoad(t *testing.T) {
	policy := reach.DefaultPolicy()
	before := time.Duration(0)
	for inFlight := 11; inFlight < 40; inFlight += 4 {
		reject, refused := reach.Choose(policy, poolOf(replica("a", true, inFlight)), wish()).(reach.Reject)
		assert.Assert(t, refused)
		after := reject.RetryAt.Sub(start)
		assert.Assert(t, after >= before && after >= policy.MinRetryDelay && after <= policy.MaxRetryDelay, "%v", after)
		before = after
	}
}

// TestBurstReplay replays a jump to 1.7 times what the replicas carry: those
// that are let in begin at once, the others are told at once to come back, and
// one that came back goes before a new one.
func TestBurstReplay(t *testing.T) {
	const answerTime = 1500 * time.Millisecond
	candidates := []*reach.Candidate{replica("a", true, 0), replica("b", true, 0), replica("c", true, 0)}
	pool := poolOf(candidates...)
	type running struct {
		candidate *reach.Candidate
		ends      time.Time
	}
	type caller struct {
		at   time.Time
		back bool
	}
	var busy []running
	var callers []caller
	const perSecond = 34 // 30 slots carry 20 a second
	for i := range perSecond * 10 {
		callers = append(callers, caller{at: start.Add(time.Duration(i) * time.Second / perSecond)})
	}
	let, refusedNew, refusedBack := 0, 0, 0
	for now := start; now.Before(start.Add(12 * time.Second)); now = now.Add(5 * time.Millisecond) {
		for i := 0; i < len(busy); i++ {
			if !busy[i].ends.After(now) {
				busy[i].candidate.Load.End()
				busy = append(busy[:i], busy[i+1:]...)
				i--
			}
		}
		var waiting []caller
		for _, one := range callers {
			if one.at.After(now) {
				waiting = append(waiting, one)
				continue
			}
			asked := wish()
			asked.Now, asked.Deadline, asked.Retried, asked.Random = now, now.Add(400*time.Millisecond), one.back, float64(let%10)/10
			switch decision := reach.Choose(reach.DefaultPolicy(), pool, asked).(type) {
			case reach.Send:
				decision.Candidate.Load.Begin()
				busy = append(busy, running{decision.Candidate, now.Add(answerTime)})
				let++
			case reach.Reject:
				if one.back {
					refusedBack++
					continue
				}
				refusedNew++
				waiting = append(waiting, caller{at: decision.RetryAt, back: true})
			}
		}
		callers = waiting
		for _, candidate := range candidates {
			assert.Assert(t, candidate.Load.InFlight() <= 13, fmt.Sprint(candidate.Load.InFlight()))
		}
	}
	t.Logf("let in %d, refused %d, refused again %d", let, refusedNew, refusedBack)
	assert.Assert(t, let >= 200) // what the slots carry in ten seconds
	assert.Assert(t, refusedBack < refusedNew)
}

// TestSampleSpreads has 35 requests chosen by one stale picture: none of seven
// replicas gets most of them, and a full sample falls back on the rest.
func TestSampleSpreads(t *testing.T) {
	var candidates []*reach.Candidate
	for i := range 7 {
		candidates = append(candidates, replica(fmt.Sprintf("r-%d", i), true, 2+i%3))
	}
	counts := map[string]int{}
	for i := range 35 {
		asked := wish()
		asked.SampleSize, asked.Random = 3, float64(i)/35
		counts[reach.Choose(reach.DefaultPolicy(), poolOf(candidates...), asked).(reach.Send).Candidate.ID]++
	}
	for id, count := range counts {
		assert.Assert(t, count <= 17, "%s got %d of 35", id, count)
	}
	assert.Assert(t, len(counts) >= 3, "%v", counts)
	for i := range 20 {
		asked := wish()
		asked.SampleSize, asked.Random = 1, float64(i)/20
		expectChoice(t, poolOf(replica("full", true, 10), replica("also", true, 10), replica("room", true, 1)), asked, "room")
	}
}

// TestSampleKeepsToTheZone has many replicas in four zones: most requests stay
// in their own while it has room, and leave it when it has none.
func TestSampleKeepsToTheZone(t *testing.T) {
	for _, test := range []struct {
		name        string
		here, there int // requests in flight at the replicas of this zone and of the others
		least, most int // of 100 requests that stay
	}{
		{"alike", 4, 4, 100, 100},
		{"a little busier here", 5, 4, 90, 100},
		{"full here", 10, 4, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			var candidates []*reach.Candidate
			for i := range 60 {
				near := i%4 == 0
				inFlight := test.there
				if near {
					inFlight = test.here
				}
				candidates = append(candidates, replica(fmt.Sprintf("r-%d", i), near, inFlight))
			}
			stay := 0
			for i := range 100 {
				asked := wish()
				asked.SampleSize, asked.Random = reach.DefaultPolicy().SampleSizeFor(75), float64(i)/100
				if reach.Choose(reach.DefaultPolicy(), poolOf(candidates...), asked).(reach.Send).Candidate.SameZone {
					stay++
				}
			}
			assert.Assert(t, stay >= test.least && stay <= test.most, "%d of 100 stay", stay)
		})
	}
}
