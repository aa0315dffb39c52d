package fresh_test

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hickorybend/core/fresh"
)

// init fixes the seed, so that each run gives the same result. A flag on the
// command line overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

const (
	tick      = 100 * time.Millisecond // of the control loop
	roundTrip = 50 * time.Millisecond  // of a read that is answered
	contact   = 3 * time.Second        // after which a node that reaches the store has to keep the bound
	heartbeat = 1200 * time.Millisecond
)

// copyModel is one node's copy of a table, and the reads that it makes of it.
type copyModel struct {
	policy    fresh.Policy
	watermark fresh.Watermark
	reader    fresh.Reader
	now       time.Time
	startedAt time.Time // of the pending read
	endsAt    time.Time // of the pending read
	answered  bool      // the pending read ends with an answer
}

// run runs the control loop for a duration. answers decides whether a read that
// starts is answered. It returns the highest age of the copy.
func (model *copyModel) run(duration time.Duration, answers func() bool) time.Duration {
	var highest time.Duration
	for end := model.now.Add(duration); model.now.Before(end); model.now = model.now.Add(10 * time.Millisecond) {
		if model.reader.Pending && !model.now.Before(model.endsAt) {
			if model.answered {
				model.reader.Finish()
				model.watermark.Advance(model.startedAt)
			} else {
				model.reader.Fail(model.policy, model.now, 0.99)
			}
		}
		highest = max(highest, model.watermark.Age(model.now))
		if model.now.Sub(time.Unix(0, 0))%tick == 0 && model.reader.Due(model.policy, model.watermark, model.now) {
			model.reader.Pending, model.startedAt, model.answered = true, model.now, answers()
			model.endsAt = model.now.Add(model.reader.Timeout(model.policy))
			if model.answered {
				model.endsAt = model.now.Add(roundTrip)
			}
		}
	}
	return highest
}

// TestAgeIsBoundedWhileTheStoreAnswers guards against a node that reaches the store
// and still uses a copy that is older than the bound. Nobody else confirms the
// copy. Before, the node was cut off for any time; afterwards, reads may be lost,
// but not two in a row.
func TestAgeIsBoundedWhileTheStoreAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := time.Duration(rapid.IntRange(1500, 5000).Draw(t, "bound ms")) * time.Millisecond
		model := &copyModel{policy: fresh.PolicyFor(bound, heartbeat), now: time.Unix(1000, 0)}
		model.watermark.Advance(model.now)
		model.run(time.Duration(rapid.IntRange(0, 800).Draw(t, "cut off for, in 10 ms"))*10*time.Millisecond, func() bool { return false })
		model.run(contact, func() bool { return true })
		lostLast := false
		highest := model.run(20*time.Second, func() bool {
			lostLast = !lostLast && rapid.Bool().Draw(t, "lost")
			return !lostLast
		})
		assert.Assert(t, highest < bound, "the copy was %s old, the bound is %s", highest, bound)
	})
}

// TestLongPollsKeepCopiesUpToDate checks that, while all is well, the short polls of
// one node and the exchanges with it keep the copies of all nodes younger than the
// age at which they read the store themselves.
func TestLongPollsKeepCopiesUpToDate(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, 3 * time.Second} {
		policy := fresh.PolicyFor(bound, heartbeat)
		inMesh := max(policy.PollWait, policy.AskAfter+tick) + roundTrip
		ofLeader := policy.PollWait + roundTrip + 2*tick // its members exchange with it each 0.2 s in a zone of 39
		assert.Assert(t, inMesh < policy.ReadAfter, "%s", bound)
		assert.Assert(t, ofLeader < policy.ReadAfter, "%s", bound)
	}
}

// TestOutageThatRowsLapseIn checks that only an age that the copy reaches in an
// outage of more than a heartbeat begins a grace.
func TestOutageThatRowsLapseIn(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name string
		age  time.Duration
		want bool
	}{{"never confirmed", fresh.Unknown, false}, {"between polls", 900 * time.Millisecond, false}, {"outage", 3 * time.Second, true}} {
		t.Run(test.name, func(t *testing.T) {
			var watermark fresh.Watermark
			if test.age != fresh.Unknown {
				watermark.Advance(now.Add(-test.age))
			}
			watermark.Arrive(now, fresh.PolicyFor(2*time.Second, heartbeat).LapseAfter)
			assert.Equal(t, watermark.RecoveredAt.Equal(now), test.want)
		})
	}
}
