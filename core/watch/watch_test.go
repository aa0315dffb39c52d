package watch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/group"
	"hickorybend/core/watch"
)

var (
	now     = time.Unix(1_000_000, 0)
	policy  = watch.DefaultPolicy()
	replica = group.Replica{ID: "r", Epoch: 4, Model: "m", Version: "1", Members: []group.Member{
		{Host: "a", Incarnation: "a-1"}, {Host: "b", Incarnation: "b-1", Rank: 1},
	}}
)

func statusOf(host string, rank int) watch.Status {
	return watch.Status{Host: host, Incarnation: host + "-1", Replica: "r", Epoch: 4, Rank: rank, Model: "m", Version: "1", Ready: true}
}

// TestCompleteNeedsEveryMember checks that a replica is complete only if every
// member is ready and in place.
func TestCompleteNeedsEveryMember(t *testing.T) {
	expectCompleteUntil := func(name string, want time.Time, change func(status *watch.Status)) {
		t.Helper()
		tracker := watch.NewTracker(policy)
		tracker.Record(watch.Observation{Status: statusOf("a", 0), At: now})
		second := statusOf("b", 1)
		change(&second)
		tracker.Record(watch.Observation{Status: second, At: now.Add(100 * time.Millisecond)})
		assert.Equal(t, tracker.CompleteUntil(replica, now.Add(200*time.Millisecond)), want, name)
	}
	expectCompleteUntil("all in place: the oldest observation counts", now.Add(policy.StatusTTL), func(*watch.Status) {})
	none := time.Time{}
	expectCompleteUntil("another incarnation", none, func(status *watch.Status) { status.Incarnation = "b-2" })
	expectCompleteUntil("another replica", none, func(status *watch.Status) { status.Replica = "other" })
	expectCompleteUntil("an earlier epoch", none, func(status *watch.Status) { status.Epoch = 3 })
	expectCompleteUntil("another rank", none, func(status *watch.Status) { status.Rank = 0 })
	expectCompleteUntil("another version", none, func(status *watch.Status) { status.Version = "0" })
	expectCompleteUntil("not ready", none, func(status *watch.Status) { status.Ready = false })
	expectCompleteUntil("no observation", none, func(status *watch.Status) { status.Host = "c" })
}

// TestStatusExpires checks that a status is relied on up to its TTL, that an older
// one that arrives late is ignored, and that an unresponsive host leaves routing
// within three seconds by the default policy.
func TestStatusExpires(t *testing.T) {
	tracker := watch.NewTracker(policy)
	for i, host := range []string{"a", "b"} {
		tracker.Record(watch.Observation{Status: statusOf(host, i), At: now})
	}
	assert.Assert(t, tracker.CompleteUntil(replica, now.Add(policy.StatusTTL)).IsZero())
	stale := statusOf("b", 1)
	stale.Ready = false
	tracker.Record(watch.Observation{Status: stale, At: now.Add(-time.Second)})
	assert.Assert(t, !tracker.CompleteUntil(replica, now).IsZero(), "an older status that arrived late must not count")
	assert.Assert(t, policy.StatusTTL+policy.ProbeTimeout < 3*time.Second, "an unresponsive host stays in routing too long")
}
