package queue_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/batch"
	"hickorybend/core/queue"
	"hickorybend/core/site"
)

var now = time.Unix(1000, 0)

// rejecting returns the policy with rejections of late requests.
func rejecting() queue.Policy {
	policy := queue.DefaultPolicy()
	policy.RejectLate = true
	return policy
}

// newQueue returns a queue with replicas in its zone and in another one.
func newQueue(here, elsewhere int) *queue.Queue {
	each := queue.New(rejecting())
	var replicas []queue.Replica
	for i := range here + elsewhere {
		replicas = append(replicas, queue.Replica{ID: fmt.Sprintf("r%d", i), Speed: batch.Replica{Engine: engine, Model: site.Model{TimeFactor: 1}}, Slots: engine.Slots, SameZone: i < here})
	}
	each.SetReplicas(replicas)
	return each
}

func newRequest(id uint64) queue.Request {
	return queue.Request{Key: queue.Key{Node: "n", ID: id}, Work: batch.Work{PromptTokens: 1460, AnswerTokens: 116}, FirstBy: now.Add(500 * time.Millisecond), Deadline: now.Add(4 * time.Second), Priority: 2}
}

// expectAssigned checks where a request is assigned to.
func expectAssigned(t *testing.T, each *queue.Queue, request queue.Request, want string) {
	t.Helper()
	assert.Equal(t, each.Place(request, now), queue.Decision(queue.Assign{Replica: want}))
}

// expectInFlight checks how many requests are counted at all replicas.
func expectInFlight(t *testing.T, each *queue.Queue, want int) {
	t.Helper()
	sum := 0
	for _, counts := range each.InFlight() {
		sum += counts.InFlight
	}
	assert.Equal(t, sum, want)
}

// TestPlaceFollowsPrompts guards against requests that go to the replica with the fewest requests, though
// prompts wait there, or to one that their node cannot use.
func TestPlaceFollowsPrompts(t *testing.T) {
	each := newQueue(2, 1)
	expectAssigned(t, each, newRequest(1), "r0")
	expectAssigned(t, each, newRequest(2), "r1")
	each.Started(queue.Key{Node: "n", ID: 2})
	expectAssigned(t, each, newRequest(3), "r1")
	each.SetOthers("r0", queue.Counts{InFlight: 9, PendingTokens: 13000})
	each.SetOthers("r1", queue.Counts{InFlight: 9, PendingTokens: 13000})
	expectAssigned(t, each, newRequest(4), "r2")
	request := newRequest(5)
	request.Unusable = []string{"r0", "r1", "r2"}
	assert.Equal(t, each.Place(request, now), queue.Decision(queue.None{}))
}

// TestEveryRequestEnds guards against replicas that stay full of requests that nobody has, and against
// counts below zero: reports may come twice, late, or not at all.
func TestEveryRequestEnds(t *testing.T) {
	each := newQueue(2, 0)
	for id := range uint64(4) {
		each.Place(newRequest(id), now)
	}
	expectInFlight(t, each, 4)
	each.Started(queue.Key{Node: "n", ID: 0})
	for range 2 {
		each.Ended(queue.Key{Node: "n", ID: 1})
		each.Started(queue.Key{Node: "n", ID: 1})
	}
	expectInFlight(t, each, 3)
	each.SetReplicas(nil)
	expectInFlight(t, each, 0)
	assert.Equal(t, each.Expire(now.Add(2600*time.Millisecond)), 2) // nobody has reported their first event
	assert.Equal(t, each.Expire(now.Add(4*time.Second)), 0)
	assert.Equal(t, each.Expire(now.Add(5*time.Second)), 1)
	each = newQueue(1, 0)
	each.Begun(queue.Key{Node: "n", ID: 1}, "r0", batch.Work{PromptTokens: 10}, now)
	each.Begun(queue.Key{Node: "o", ID: 1}, "r0", batch.Work{PromptTokens: 10}, now)
	each.DropNode("n")
	expectInFlight(t, each, 1)
}

// TestLateRequests guards against requests that make others late without being on time themselves, against
// streams that break because their rest would be late, and against callers who all return at once.
func TestLateRequests(t *testing.T) {
	each := newQueue(1, 0)
	request := newRequest(1)
	request.FirstBy = now
	expectAssigned(t, each, request, "r0") // nothing is there that it could delay
	request.Key.ID = 2
	last := now
	for range 5 {
		reject, rejected := each.Place(request, now).(queue.Reject)
		assert.Assert(t, rejected)
		assert.Assert(t, reject.RetryAt.Sub(last) >= 300*time.Millisecond, "%s after the one before", reject.RetryAt.Sub(last))
		last = reject.RetryAt
		if last.Sub(now) > 1200*time.Millisecond {
			break
		}
	}
	first := each.Place(request, now)
	assert.Equal(t, each.Place(request, now), first, "who cannot wait so long takes a turn")
	request.Resumed = true
	expectAssigned(t, each, request, "r0")
}

// TestRareKindIsFavored guards against capacity that goes to short prompts alone while it is short: their
// first events are earlier, so that a long one would never be on time.
func TestRareKindIsFavored(t *testing.T) {
	short, long := newRequest(0), newRequest(0)
	short.Work.PromptTokens, long.Work.PromptTokens = 400, 3500
	for _, test := range []struct {
		name   string
		served bool // long requests have been assigned as often as short ones
		want   bool
	}{{"as often", true, false}, {"never", false, true}} {
		t.Run(test.name, func(t *testing.T) {
			each := newQueue(1, 0)
			id := uint64(0)
			place := func(request queue.Request) bool {
				id++
				request.Key.ID = id
				_, assigned := each.Place(request, now).(queue.Assign)
				if assigned {
					each.Ended(request.Key)
				}
				return assigned
			}
			for range 20 {
				assert.Assert(t, place(short))
				hopeless := long
				if !test.served {
					each.SetOthers("r0", queue.Counts{InFlight: 34, PendingTokens: 30000})
				}
				assert.Equal(t, place(hopeless), test.served)
				each.SetOthers("r0", queue.Counts{})
			}
			each.SetOthers("r0", queue.Counts{InFlight: 10, PendingTokens: 6000}) // 0.43 s to the first event of a long one
			assert.Equal(t, place(long), test.want)
		})
	}
}
