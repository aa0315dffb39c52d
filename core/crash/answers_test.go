package crash_test

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/crash"
)

// begun is an answer that an endpoint begins, some milliseconds after the start.
type begun struct {
	endpoint, part string
	at             int
}

func atMilliseconds(milliseconds int) time.Time {
	return start.Add(time.Duration(milliseconds) * time.Millisecond)
}

func partsOf(answers []*crash.Answer) string {
	var ids []string
	for _, answer := range answers {
		ids = append(ids, answer.Inputs[0].ID)
	}
	return strings.Join(ids, " ")
}

// TestAnswerBeforeCrashShowsNothing guards against an answer that counts for a prompt though
// its endpoint crashes during the answer or soon after it, and against one that is suspected
// for a crash long after it, also if nobody has asked since what is sound.
func TestAnswerBeforeCrashShowsNothing(t *testing.T) {
	policy := crash.DefaultPolicy()
	policy.KnownAfter, policy.Linger = 2000*time.Millisecond, 3000*time.Millisecond
	for _, test := range []struct {
		name               string
		answers            []begun
		endedAt, crashedAt int // all of them, and e1
		suspects           string
		known, sound       string
	}{
		{"it goes on", []begun{{"e1", "a", 0}}, 2900, 2800, "a", "a", ""},
		{"it goes on for long", []begun{{"e1", "a", 0}}, 9000, 8000, "a", "a", "a"},
		{"it has just begun", []begun{{"e1", "a", 0}}, 1999, 1999, "a", "", ""},
		{"it has ended", []begun{{"e1", "a", 0}}, 200, 1600, "a", "", ""},
		{"it ended long ago", []begun{{"e1", "a", 0}}, 200, 3200, "", "a", "a"},
		{"just before that", []begun{{"e1", "a", 0}}, 200, 3199, "a", "a", "a"},
		{"another endpoint", []begun{{"e2", "a", 0}, {"e1", "b", 0}, {"e2", "c", 10}}, 100, 110, "b", "a c", "a c"},
	} {
		t.Run(test.name, func(t *testing.T) {
			answers := crash.NewAnswers(policy)
			var broken atomic.Bool
			var all, known, sound []*crash.Answer
			for _, begun := range test.answers {
				all = append(all, &crash.Answer{Incarnation: crash.Incarnation{Endpoint: begun.endpoint}, Inputs: []crash.Input{partOf(begun.part)}, BegunAt: atMilliseconds(begun.at), Broken: &broken})
				answers.Begin(all[len(all)-1])
			}
			finish := func() {
				for _, answer := range all {
					answers.Finish(answer, atMilliseconds(test.endedAt))
				}
			}
			settle := func(at int) {
				newKnown, newSound := answers.Settle(atMilliseconds(at))
				known, sound = append(known, newKnown...), append(sound, newSound...)
			}
			if test.endedAt < test.crashedAt {
				finish()
			}
			settle(test.crashedAt)
			running, ended := answers.Doubt("e1", atMilliseconds(test.crashedAt))
			assert.Equal(t, partsOf(append(running, ended...)), test.suspects)
			assert.Equal(t, len(running) == 0, test.suspects == "" || test.endedAt < test.crashedAt)
			assert.Equal(t, broken.Load(), test.suspects != "")
			running, ended = answers.Doubt("e1", atMilliseconds(test.crashedAt))
			assert.Equal(t, len(running)+len(ended), 0)
			if test.endedAt >= test.crashedAt {
				finish()
			}
			settle(test.endedAt + 3010)
			settle(test.endedAt + 3010)
			assert.Equal(t, partsOf(known), test.known)
			assert.Equal(t, partsOf(sound), test.sound)
		})
	}
}

// TestCompleteAnswerBeforeCrash checks that an answer that came as a whole is near at a crash
// that comes soon after it.
func TestCompleteAnswerBeforeCrash(t *testing.T) {
	answers := crash.NewAnswers(crash.DefaultPolicy())
	answer := &crash.Answer{Incarnation: crash.Incarnation{Endpoint: "e1"}, Inputs: []crash.Input{partOf("/a")}, BegunAt: start, Broken: &atomic.Bool{}}
	answers.Complete(answer)
	known, sound := answers.Settle(atMilliseconds(1000))
	assert.Equal(t, len(known)+len(sound), 0, "who adds it counts it")
	running, ended := answers.Doubt("e1", atMilliseconds(1000))
	assert.Equal(t, len(running), 0)
	assert.Equal(t, partsOf(ended), "/a")
}

// TestWithdrawnAnswerShowsNothing guards against an answer that counts for a prompt though
// the node itself ended it before the endpoint could crash.
func TestWithdrawnAnswerShowsNothing(t *testing.T) {
	answers := crash.NewAnswers(crash.DefaultPolicy())
	answer := &crash.Answer{Inputs: []crash.Input{partOf("a")}, BegunAt: start, Broken: &atomic.Bool{}}
	answers.Begin(answer)
	answers.Withdraw(answer, start)
	known, sound := answers.Settle(start.Add(time.Hour))
	assert.Equal(t, len(known)+len(sound), 0)
}
