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

func TestWholeNeedsEveryMember(t *testing.T) {
	expectWhole := func(name string, want time.Time, change func(status *watch.Status)) {
		t.Helper()
		tracker := watch.NewTracker(policy)
		tracker.Record(watch.Observation{Status: statusOf("a", 0), At: now})
		second := statusOf("b", 1)
		change(&second)
		tracker.Record(watch.Observation{Status: second, At: now.Add(100 * time.Millisecond)})
		assert.Equal(t, tracker.CompleteUntil(replica, now.Add(200*time.Millisecond)), want, name)
	}
	expectWhole("all in place: the oldest evidence counts", now.Add(policy.StatusTTL), func(*watch.Status) {})
	none := time.Time{}
	expectWhole("another incarnation", none, func(status *watch.Status) { status.Incarnation = "b-2" })
	expectWhole("another replica", none, func(status *watch.Status) { status.Replica = "other" })
	expectWhole("an earlier epoch", none, func(status *watch.Status) { status.Epoch = 3 })
	expectWhole("another rank", none, func(status *watch.Status) { status.Rank = 0 })
	expectWhole("an old version", none, func(status *watch.Status) { status.Version = "0" })
	expectWhole("not ready", none, func(status *watch.Status) { status.Ready = false })
	expectWhole("never seen", none, func(status *watch.Status) { status.Host = "c" })
}

func TestEvidenceLapses(t *testing.T) {
	tracker := watch.NewTracker(policy)
	for i, host := range []string{"a", "b"} {
		tracker.Record(watch.Observation{Status: statusOf(host, i), At: now})
	}
	assert.Assert(t, tracker.CompleteUntil(replica, now.Add(policy.StatusTTL)).IsZero())
	late := statusOf("b", 1)
	late.Ready = false
	tracker.Record(watch.Observation{Status: late, At: now.Add(-time.Second)})
	assert.Assert(t, !tracker.CompleteUntil(replica, now).IsZero(), "an older answer that came late counts")
	assert.Assert(t, policy.StatusTTL+policy.ProbeTimeout < 3*time.Second, "a lost host stays in routing too long")
}
