package reach_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/reach"
	"hickorybend/core/site"
)

var start = time.Unix(1000, 0)

func newCandidate(id string, sameZone bool, inFlight int) *reach.Candidate {
	load := &reach.Load{}
	load.SetPeerLoad(inFlight, 0)
	return &reach.Candidate{ID: id, SameZone: sameZone, Slots: 10, PrefillTokensPerSec: 45900, Load: load}
}

func poolOf(candidates ...*reach.Candidate) *reach.ServicePool {
	return &reach.ServicePool{Engine: &site.Engine{Slots: 10}, Models: map[string][]*reach.Candidate{"m": candidates}}
}

func newRequest() reach.Request {
	return reach.Request{Model: "m", Now: start, Deadline: start.Add(400 * time.Millisecond), Priority: 2, Random: 0.5}
}

// expectChoice checks which candidate a request is sent to; want is "" if it
// must be rejected.
func expectChoice(t *testing.T, servicepool *reach.ServicePool, request reach.Request, want string) {
	t.Helper()
	got := ""
	if send, sent := reach.Choose(reach.DefaultPolicy(), servicepool, request).(reach.Send); sent {
		got = send.Candidate.ID
	}
	assert.Equal(t, got, want)
}

// TestChoose checks how load, zone, pending prefill, failures and answer time
// decide between candidates.
func TestChoose(t *testing.T) {
	failing := newCandidate("failing", true, 0)
	for range 10 {
		failing.Load.RecordResult(start, true, 0)
	}
	prefilling := newCandidate("prefilling", true, 2)
	prefilling.Load.AddPendingTokens(9000) // 200 ms of prefill
	avoided := newCandidate("avoided", true, 0)
	avoided.Load.Avoid(start.Add(time.Second))
	slow, normal := newCandidate("slow", true, 1), newCandidate("normal", true, 2)
	slow.Load.RecordResult(start, false, 8*time.Second)
	normal.Load.RecordResult(start, false, time.Second)
	for _, test := range []struct {
		name       string
		candidates []*reach.Candidate
		want       string
	}{
		{"the least loaded", []*reach.Candidate{newCandidate("a", true, 5), newCandidate("b", true, 2)}, "b"},
		{"this zone at equal load", []*reach.Candidate{newCandidate("other-zone", false, 3), newCandidate("same-zone", true, 3)}, "same-zone"},
		{"another zone at much less load", []*reach.Candidate{newCandidate("other-zone", false, 1), newCandidate("same-zone", true, 7)}, "other-zone"},
		{"not one with pending prefill", []*reach.Candidate{prefilling, newCandidate("idle", true, 3)}, "idle"},
		{"not one that fails", []*reach.Candidate{failing, newCandidate("healthy", true, 7)}, "healthy"},
		{"not one that is avoided", []*reach.Candidate{avoided, newCandidate("healthy", true, 7)}, "healthy"},
		{"not one that is slow", []*reach.Candidate{slow, normal}, "normal"},
		{"none if all are full", []*reach.Candidate{newCandidate("full", true, 10)}, ""},
	} {
		t.Run(test.name, func(t *testing.T) { expectChoice(t, poolOf(test.candidates...), newRequest(), test.want) })
	}
}

// TestEndpointsThatWantNoRequests guards against requests to endpoints that
// have asked for a backoff or leave, and against rejections that call callers back before the first one takes
// requests again.
func TestEndpointsThatWantNoRequests(t *testing.T) {
	backedOff := func(id string, backoff time.Duration) *reach.Candidate {
		candidate := newCandidate(id, true, 0)
		candidate.Load.BackOff(start.Add(backoff))
		candidate.Load.BackOff(start.Add(backoff / 2)) // does not shorten it
		return candidate
	}
	leaving, restarted := newCandidate("leaving", true, 0), newCandidate("restarted", true, 0)
	leaving.Load.MarkLeaving(leaving.StartedAt)
	restarted.Load.MarkLeaving(restarted.StartedAt.Add(-time.Minute))
	long, short := backedOff("long", 9*time.Second), backedOff("short", 3*time.Second)
	expectChoice(t, poolOf(long, leaving, newCandidate("busy", true, 5)), newRequest(), "busy")
	expectChoice(t, poolOf(long, leaving, restarted), newRequest(), "restarted")
	afterBackoff := newRequest()
	afterBackoff.Now = start.Add(3 * time.Second)
	expectChoice(t, poolOf(long, short), afterBackoff, "short")
	reject, rejected := reach.Choose(reach.DefaultPolicy(), poolOf(long, leaving, short), newRequest()).(reach.Reject)
	assert.Assert(t, rejected)
	wait := reject.RetryAt.Sub(start)
	assert.Assert(t, wait >= 3*time.Second && wait <= 4*time.Second, "%s, the first backoff ends after 3 s", wait)
}

// TestEndpointsWithLimits checks that an endpoint gets requests at this node's rate
// only, that others get the rest, and when rejected callers come back.
func TestEndpointsWithLimits(t *testing.T) {
	limited, excluded, busy := newCandidate("limited", true, 0), newCandidate("excluded", true, 0), newCandidate("busy", true, 8)
	limited.Load.SetRate(2)
	excluded.Load.SetRate(0)
	pool, request := poolOf(limited, excluded, busy), newRequest()
	expectChoice(t, pool, request, "limited")
	expectChoice(t, pool, request, "busy")
	request.Now = start.Add(499 * time.Millisecond)
	expectChoice(t, pool, request, "busy")
	request.Now = start.Add(500 * time.Millisecond)
	expectChoice(t, pool, request, "limited")

	reject, rejected := reach.Choose(reach.DefaultPolicy(), poolOf(limited, excluded), request).(reach.Reject)
	assert.Assert(t, rejected)
	assert.Equal(t, reject.Reason, reach.ReasonLimited)
	wait := reject.RetryAt.Sub(request.Now)
	assert.Assert(t, wait >= 500*time.Millisecond && wait <= time.Second, "%s, the next turn is after 0.5 s", wait)

	excluded.Load.RemoveRate()
	expectChoice(t, poolOf(limited, excluded), request, "excluded")
	expectChoice(t, poolOf(limited, excluded), request, "excluded")
}

// TestConcurrentTurns checks that one turn is taken once.
func TestConcurrentTurns(t *testing.T) {
	load := &reach.Load{}
	load.SetRate(1)
	var taken atomic.Int64
	var takers sync.WaitGroup
	for range 100 {
		takers.Go(func() {
			if load.TakeTurn(start) {
				taken.Add(1)
			}
		})
	}
	takers.Wait()
	assert.Equal(t, taken.Load(), int64(1))
}

// BenchmarkChoose chooses among 300 replicas, some of which take no requests.
func BenchmarkChoose(b *testing.B) {
	var candidates []*reach.Candidate
	for i := range 300 {
		candidate := newCandidate(fmt.Sprint(i), i%4 == 0, i%10)
		candidate.TieBreak = float64(i) / 300
		if i%20 == 0 {
			candidate.Load.BackOff(start.Add(time.Minute))
		}
		if i%30 == 0 {
			candidate.Load.MarkLeaving(candidate.StartedAt)
		}
		candidates = append(candidates, candidate)
	}
	servicepool, request := poolOf(candidates...), newRequest()
	b.ReportAllocs()
	for b.Loop() {
		reach.Choose(reach.DefaultPolicy(), servicepool, request)
	}
}

// TestFailureRateDecays checks that an endpoint whose failures lie in the past is
// chosen again, though no request has succeeded there since.
func TestFailureRateDecays(t *testing.T) {
	recovered := newCandidate("recovered", true, 0)
	for range 10 {
		recovered.Load.RecordResult(start, true, 0)
	}
	late := newRequest()
	late.Now, late.Deadline = start.Add(20*time.Second), start.Add(21*time.Second)
	expectChoice(t, poolOf(recovered, newCandidate("other", true, 3)), late, "recovered")
}

// TestRetriedAndResumedMayQueueMore checks that, with all slots taken, a retried
// request and a resumed stream are still admitted and a new request is not.
func TestRetriedAndResumedMayQueueMore(t *testing.T) {
	full := poolOf(newCandidate("a", true, 10))
	retried, resumed := newRequest(), newRequest()
	retried.Retried = true
	resumed.Resumed = true
	expectChoice(t, full, newRequest(), "")
	expectChoice(t, full, retried, "a")
	expectChoice(t, full, resumed, "a")
}

// TestRetryAfterFollowsLoad checks that the retry delay of rejected requests
// does not shrink as the load grows and stays between its minimum and maximum.
func TestRetryAfterFollowsLoad(t *testing.T) {
	policy := reach.DefaultPolicy()
	previousDelay := time.Duration(0)
	for inFlight := 11; inFlight < 40; inFlight += 4 {
		reject, rejected := reach.Choose(policy, poolOf(newCandidate("a", true, inFlight)), newRequest()).(reach.Reject)
		assert.Assert(t, rejected)
		delay := reject.RetryAt.Sub(start)
		assert.Assert(t, delay >= previousDelay && delay >= policy.MinRetryDelay && delay <= policy.MaxRetryDelay, "%v", delay)
		previousDelay = delay
	}
}

// TestBurst simulates a burst of 1.7 times the capacity. Admitted requests
// start at once (no replica gets more than 13 for its 10 slots), and the others
// are rejected at once with a retry delay. A retry is preferred to a new
// request, so that fewer retries than first attempts are rejected.
func TestBurst(t *testing.T) {
	const answerTime = 1500 * time.Millisecond
	candidates := []*reach.Candidate{newCandidate("a", true, 0), newCandidate("b", true, 0), newCandidate("c", true, 0)}
	servicepool := poolOf(candidates...)
	type running struct {
		candidate *reach.Candidate
		endsAt    time.Time
	}
	type caller struct {
		at      time.Time
		retried bool
	}
	var inFlight []running
	var callers []caller
	const requestsPerSecond = 34 // 30 slots serve 20 a second
	for i := range requestsPerSecond * 10 {
		callers = append(callers, caller{at: start.Add(time.Duration(i) * time.Second / requestsPerSecond)})
	}
	admitted, rejectedFirst, rejectedRetries := 0, 0, 0
	for now := start; now.Before(start.Add(12 * time.Second)); now = now.Add(5 * time.Millisecond) {
		for i := 0; i < len(inFlight); i++ {
			if !inFlight[i].endsAt.After(now) {
				inFlight[i].candidate.Load.End()
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
				i--
			}
		}
		var waiting []caller
		for _, next := range callers {
			if next.at.After(now) {
				waiting = append(waiting, next)
				continue
			}
			request := newRequest()
			request.Now, request.Deadline, request.Retried, request.Random = now, now.Add(400*time.Millisecond), next.retried, float64(admitted%10)/10
			switch decision := reach.Choose(reach.DefaultPolicy(), servicepool, request).(type) {
			case reach.Send:
				decision.Candidate.Load.Begin()
				inFlight = append(inFlight, running{decision.Candidate, now.Add(answerTime)})
				admitted++
			case reach.Reject:
				if next.retried {
					rejectedRetries++
					continue
				}
				rejectedFirst++
				waiting = append(waiting, caller{at: decision.RetryAt, retried: true})
			}
		}
		callers = waiting
		for _, candidate := range candidates {
			assert.Assert(t, candidate.Load.InFlight() <= 13, fmt.Sprint(candidate.Load.InFlight()))
		}
	}
	t.Logf("admitted %d, rejected %d, rejected again on retry %d", admitted, rejectedFirst, rejectedRetries)
	assert.Assert(t, admitted >= 200) // the capacity of the slots in ten seconds
	assert.Assert(t, rejectedRetries < rejectedFirst)
}

// TestSampleSpreadsLoad checks that of 35 requests that are sent by one stale
// snapshot no replica of seven gets half, and that a request falls back to all
// candidates if its sample has no room.
func TestSampleSpreadsLoad(t *testing.T) {
	var candidates []*reach.Candidate
	for i := range 7 {
		candidates = append(candidates, newCandidate(fmt.Sprintf("r-%d", i), true, 2+i%3))
	}
	counts := map[string]int{}
	for i := range 35 {
		request := newRequest()
		request.SampleSize, request.Random = 3, float64(i)/35
		counts[reach.Choose(reach.DefaultPolicy(), poolOf(candidates...), request).(reach.Send).Candidate.ID]++
	}
	for id, count := range counts {
		assert.Assert(t, count <= 17, "%s got %d of 35", id, count)
	}
	assert.Assert(t, len(counts) >= 3, "%v", counts)
	for i := range 20 {
		request := newRequest()
		request.SampleSize, request.Random = 1, float64(i)/20
		expectChoice(t, poolOf(newCandidate("full", true, 10), newCandidate("also-full", true, 10), newCandidate("room", true, 1)), request, "room")
	}
}

// TestSamplePrefersOwnZone checks with 60 replicas in four zones that requests
// stay in this zone while its load is about that of the others, and leave it when
// it is full.
func TestSamplePrefersOwnZone(t *testing.T) {
	for _, test := range []struct {
		name             string
		here, there      int // requests in flight at each replica of this zone and of the others
		minStay, maxStay int // of 100 requests
	}{
		{"same load everywhere", 4, 4, 100, 100},
		{"slightly more load in this zone", 5, 4, 90, 100},
		{"this zone full", 10, 4, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			var candidates []*reach.Candidate
			for i := range 60 {
				sameZone := i%4 == 0
				inFlight := test.there
				if sameZone {
					inFlight = test.here
				}
				candidates = append(candidates, newCandidate(fmt.Sprintf("r-%d", i), sameZone, inFlight))
			}
			stayed := 0
			for i := range 100 {
				request := newRequest()
				request.SampleSize, request.Random = reach.DefaultPolicy().SampleSizeFor(75), float64(i)/100
				if reach.Choose(reach.DefaultPolicy(), poolOf(candidates...), request).(reach.Send).Candidate.SameZone {
					stayed++
				}
			}
			assert.Assert(t, stayed >= test.minStay && stayed <= test.maxStay, "%d of 100 requests stay", stayed)
		})
	}
}
