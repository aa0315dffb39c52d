package crash_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/crash"
)

// inOneMoment returns crashes of different endpoints, 5 ms apart, from a time on.
func inOneMoment(from time.Duration, inputs ...string) (events []any) {
	for i, listed := range inputs {
		events = append(events, crashOf{endpoint: fmt.Sprint("e", from, i), at: from + time.Duration(i)*5*time.Millisecond, parts: listed})
	}
	return events
}

// TestWhichRequestIsBlocked checks which whole requests are held responsible for
// crashes.
func TestWhichRequestIsBlocked(t *testing.T) {
	before := answersOf{"/read", -time.Minute, 1}
	for _, test := range []struct {
		name   string
		events []any
		end    time.Duration
		want   string
	}{
		{"two crashes are not enough", crashesOf("/bad", "/bad"), time.Minute, ""},
		{"three endpoints at different times", crashesOf("/bad", "/bad", "/bad"), time.Minute, "/bad"},
		{"three endpoints in one moment, of one that was never answered", inOneMoment(0, "/bad", "/bad", "/bad"), time.Minute, "/bad"},
		{"not yet, if other nodes' answers may be on their way", crashesOf("/bad", "/bad", "/bad"), 600 * time.Millisecond, ""},
		{"none, if a rack fails under a popular read", append(inOneMoment(0, "/read", "/read", "/read", "/read"), before), time.Minute, ""},
		{"none, if two racks do", append(append(inOneMoment(0, "/read", "/read", "/read"), inOneMoment(time.Second, "/read", "/read")...), before), time.Minute, ""},
		{"one answered before, in a third moment", append(append(inOneMoment(0, "/read"), append(inOneMoment(time.Second, "/read"), inOneMoment(2*time.Second, "/read")...)...), before), time.Minute, "/read"},
		{"one that one answer does not acquit", append(crashesOf("/bad", "/bad", "/bad", "/bad", "/bad"), answersOf{"/bad", 2 * time.Second, 1}), time.Minute, "/bad"},
		{"none that was answered far more often since", append(crashesOf("/bad", "/bad", "/bad", "/bad", "/bad"), answersOf{"/bad", 2 * time.Second, 18}), time.Minute, ""},
		{"the request, not what ran beside", crashesOf("/bad /a", "/bad /b /a", "/bad /c"), time.Minute, "/bad"},
		{"not one answered since that ran beside", append(crashesOf("/bad /a", "/bad /a", "/bad /a"), answersOf{"/a", time.Second, 1}), time.Minute, "/bad"},
		{"both, if nothing tells them apart", crashesOf("/bad /a", "/bad /a", "/bad /a"), time.Minute, "/a /bad"},
		{"the request, not its parts", crashesOf("f b /bad", "f b /bad", "f b /bad"), time.Minute, "/bad"},
		{"the part, if the requests differ", crashesOf("b /1", "b /2", "b /3", "b /4"), time.Minute, "b"},
		{"the part, if it explains more", crashesOf("b /1", "b /1", "b /1", "b /2", "b /3"), time.Minute, "b"},
		{"the part too, if it goes on", append(crashesOf("b /1", "b /1", "b /1"), inOneMoment(2*time.Second, "b /2")[0], inOneMoment(3*time.Second, "b /3")[0], inOneMoment(4*time.Second, "b /4")[0]), time.Minute, "b"},
	} {
		t.Run(test.name, func(t *testing.T) { expectBlocked(t, test.events, test.end, test.want) })
	}
}

// TestNewBodiesHideCrashingRequest guards against a caller that sends a new body in each
// request, so that a request that crashes endpoints is forgotten or not reported.
func TestNewBodiesHideCrashingRequest(t *testing.T) {
	policy := crash.DefaultPolicy()
	ledger := newLedger()
	now, next := start, 0
	for i := range 3 {
		now = now.Add(3 * time.Second)
		bodies := "/bad"
		for range 400 {
			next++
			bodies += fmt.Sprint(" /new-", next)
		}
		record(ledger, crashOf{fmt.Sprint("e", i), now.Sub(start), bodies})
		ledger.Judge(now)
		assert.Assert(t, len(ledger.Reports(now)) <= policy.MaxReports)
	}
	assert.Assert(t, len(ledger.Suspects()) <= policy.MaxSuspects)
	ledger.Judge(now.Add(time.Second))
	assert.Equal(t, blockedParts(ledger), "/bad")
	reported := false
	for _, report := range ledger.Reports(now) {
		reported = reported || report.Input == partOf("/bad")
	}
	assert.Assert(t, reported, "the most suspicious request is not reported")
}

// TestNodesThatSeeOneCrashEach checks that nodes which each saw one crash of a request
// block it together, and that nodes that do not hear each other do not.
func TestNodesThatSeeOneCrashEach(t *testing.T) {
	for _, test := range []struct {
		name string
		hear bool
		want string
	}{
		{"they hear each other", true, "/bad"},
		{"they do not", false, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			var ledgers []*crash.Ledger
			for i := range 3 {
				ledgers = append(ledgers, newLedger())
				record(ledgers[i], crashOf{fmt.Sprint("e", i), time.Duration(i) * 100 * time.Millisecond, "/bad"})
			}
			now := start.Add(500 * time.Millisecond)
			for i, ledger := range ledgers {
				for j, from := range ledgers {
					if test.hear && i != j {
						for _, report := range from.Reports(now) {
							ledger.Record(report, false, report.At)
						}
					}
				}
			}
			for _, ledger := range ledgers {
				ledger.Judge(now.Add(500 * time.Millisecond))
				assert.Equal(t, blockedParts(ledger), test.want)
				assert.DeepEqual(t, ledger.InQuestion(), []crash.Input{partOf("/bad")})
			}
		})
	}
}

// TestLiftedBlockElsewhere guards against a block that an operator has lifted at one
// node, and that the crashes which another node knows bring back.
func TestLiftedBlockElsewhere(t *testing.T) {
	ledger, other := newLedger(), newLedger()
	for _, event := range crashesOf("/bad", "/bad", "/bad") {
		record(ledger, event.(crashOf))
		record(other, event.(crashOf))
	}
	now := start.Add(time.Minute)
	ledger.Judge(now)
	other.Judge(now)
	assert.Assert(t, ledger.Lift(partOf("/bad")))
	assert.Assert(t, !ledger.Lift(partOf("/bad")))
	for _, block := range ledger.Blocks() {
		assert.Assert(t, other.Merge(block))
	}
	for _, lifted := range []*crash.Ledger{ledger, other} {
		record(lifted, crashOf{"e-after", 90 * time.Second, "/bad"})
		lifted.Judge(start.Add(100 * time.Second))
		assert.Equal(t, blockedParts(lifted), "", "one crash since then")
	}
	for i := range 3 {
		record(other, crashOf{fmt.Sprint("again", i), 2*time.Minute + time.Duration(i)*time.Second, "/bad"})
	}
	other.Judge(now.Add(5 * time.Minute))
	assert.Equal(t, blockedParts(other), "/bad")
}
