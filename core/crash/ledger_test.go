package crash_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/crash"
)

var start = time.Unix(1000, 0)

// partOf returns the part of prompts with an ID or, if it begins with a slash, the whole
// request.
func partOf(id string) crash.Input {
	if strings.HasPrefix(id, "/") {
		return crash.Input{ID: id}
	}
	return crash.Input{Service: "llm", ID: id}
}

// crashOf says that an endpoint crashed, a time after the start, when it was about to
// answer prompts with these parts.
type crashOf struct {
	endpoint string
	at       time.Duration
	parts    string // separated by blanks, in the order of the prompt
}

// answersOf says that prompts with a part were answered, the last one at a time.
type answersOf struct {
	part  string
	at    time.Duration
	count int
}

// newLedger returns an empty ledger of a node that has run for some time, in front of as many
// endpoints as in the simulated days.
func newLedger() *crash.Ledger {
	ledger := crash.New(crash.DefaultPolicy())
	ledger.SetEndpoints(simEndpoints)
	ledger.Judge(start.Add(-time.Hour))
	return ledger
}

// recordUses tells a ledger of answers one after the other, as a node counts them.
func recordUses(ledger *crash.Ledger, answers answersOf) {
	evidence := ledger.Evidence(partOf(answers.part))
	count, at := evidence.Uses+evidence.UsesFirst, start.Add(answers.at)
	if answers.at < 0 { // the node tells of them at once
		ledger.RecordUses(partOf(answers.part), "node", crash.Uses{Count: answers.count, Last: at})
		return
	}
	ledger.RecordUses(partOf(answers.part), "node", crash.Uses{Count: count, Last: at})
	for range answers.count {
		count++
		ledger.RecordUses(partOf(answers.part), "node", crash.Uses{Count: count, Last: at})
	}
}

func record(ledger *crash.Ledger, happened crashOf) {
	for position, id := range strings.Fields(happened.parts) {
		ledger.Record(crash.Report{
			Input: partOf(id), Position: position, Incarnation: crash.Incarnation{Endpoint: happened.endpoint}, At: start.Add(happened.at),
		}, true, start.Add(happened.at))
	}
}

func blockedParts(ledger *crash.Ledger) string {
	var ids []string
	for _, block := range ledger.Blocks() {
		if !block.Lifted {
			ids = append(ids, block.Input.ID)
		}
	}
	slices.Sort(ids)
	return strings.Join(ids, " ")
}

// expectBlocked checks which parts a ledger blocks by the end of some events, given in
// the order in which they become known.
func expectBlocked(t *testing.T, events []any, end time.Duration, want string) {
	t.Helper()
	ledger := newLedger()
	for _, event := range events {
		switch event := event.(type) {
		case crashOf:
			record(ledger, event)
		case answersOf:
			recordUses(ledger, event)
		}
	}
	ledger.Judge(start.Add(end))
	assert.Equal(t, blockedParts(ledger), want)
}

// crashesOf returns crashes of different endpoints, a fifth of a second apart.
func crashesOf(parts ...string) (events []any) {
	for i, listed := range parts {
		events = append(events, crashOf{endpoint: fmt.Sprint("e", i), at: time.Duration(i) * 200 * time.Millisecond, parts: listed})
	}
	return events
}

// TestWhichPartIsBlocked checks which part is held responsible for crashes.
func TestWhichPartIsBlocked(t *testing.T) {
	before := -time.Minute
	for _, test := range []struct {
		name   string
		events []any
		end    time.Duration
		want   string
	}{
		{"two crashes are not enough", crashesOf("f b", "f b"), time.Minute, ""},
		{"the later of two unknown parts", crashesOf("f b", "f b", "f b"), time.Minute, "b"},
		{"the unknown part, not the one answered before", append(crashesOf("b f", "b f", "b f", "b f", "b f"), answersOf{"f", before, 12}), time.Minute, "b"},
		{"the first part, if the others differ", crashesOf("f x", "f y", "f z"), time.Minute, "f"},
		{"a part that one answer does not acquit", append(crashesOf("f b", "f b", "f b", "f b", "f b"), answersOf{"f", before, 24}, answersOf{"b", time.Second, 1}), time.Minute, "b"},
		{"a part that a quarter of the requests do not crash", append(append(crashesOf("b", "b", "b", "b"), answersOf{"b", time.Second, 2}), crashOf{"e4", 2 * time.Second, "b"}, crashOf{"e5", 3 * time.Second, "b"}), time.Minute, "b"},
		{"none that was answered far more often since", append(crashesOf("f b", "f b", "f b", "f b", "f b"), answersOf{"f", time.Second, 18}, answersOf{"b", time.Second, 18}), time.Minute, ""},
		{"none that was answered far more often just now", append(crashesOf("f b", "f b", "f b", "f b", "f b"), answersOf{"f", time.Second, 18}, answersOf{"b", time.Second, 18}), 2 * time.Second, ""},
		{"a part that was answered all day, and crashes a new build", append([]any{crashOf{"early", -time.Hour / 2, "b"}, answersOf{"b", -time.Second, 1000}}, crashesOf("b", "b", "b", "b", "b", "b", "b")...), time.Minute, "b"},
		{"not yet, if other nodes' reports may be on their way", crashesOf("b", "b", "b"), 600 * time.Millisecond, ""},
		{"a part answered before needs more", append(crashesOf("f", "f", "f", "f"), answersOf{"f", before, 12}), time.Minute, ""},
		{"a part answered before that crashes now", append(crashesOf("f", "f", "f", "f", "f"), answersOf{"f", before, 12}), time.Minute, "f"},
		{"two parts that crash endpoints", append(crashesOf("f b", "f c", "f b", "f c", "f b", "f c"), answersOf{"f", before, 12}), time.Minute, "b c"},
		{"a second part, though the first explains half of its crashes", append(crashesOf("f b", "f b c", "f b", "f c", "f b c", "f c"), answersOf{"f", before, 12}), time.Minute, "b c"},
		{"a second part, though the first explains all of its crashes but one", crashesOf("b c", "b c", "b c", "b c", "c", "b", "b"), time.Minute, "b c"},
		{"not a part with one crash that another does not explain", crashesOf("b s", "b s", "b s", "s", "b", "b"), time.Minute, "b"},
		{"not the part that was near at crashes of another", crashesOf("f b s", "f b s", "f b s", "b", "b"), time.Minute, "b"},
		{"none, if a rack fails", []any{crashOf{"e1", 0, "s"}, crashOf{"e2", 5 * time.Millisecond, "s"}, crashOf{"e3", 20 * time.Millisecond, "s"}, crashOf{"e4", 90 * time.Millisecond, "s"}}, time.Minute, ""},
		{"a part sent again right after each crash", []any{crashOf{"e1", 0, "b"}, crashOf{"e2", 30 * time.Millisecond, "b"}, crashOf{"e3", 120 * time.Millisecond, "b"}}, time.Minute, "b"},
		{"none that was answered before, if racks fail one after the other", []any{answersOf{"s", before, 12}, crashOf{"e1", 0, "s"}, crashOf{"e2", 30 * time.Millisecond, "s"}, crashOf{"e3", 120 * time.Millisecond, "s"}, crashOf{"e4", 150 * time.Millisecond, "s"}, crashOf{"e5", 160 * time.Millisecond, "s"}, answersOf{"s", before, 12}}, time.Minute, ""},
		{"one crash that several nodes report", []any{crashOf{"e1", 0, "s"}, crashOf{"e1", 200 * time.Millisecond, "s"}, crashOf{"e1", time.Second, "s"}}, time.Minute, ""},
		{"none after an hour", crashesOf("b", "b", "b"), 2 * time.Hour, ""},
	} {
		t.Run(test.name, func(t *testing.T) { expectBlocked(t, test.events, test.end, test.want) })
	}
}

// TestBlockEnds checks that trials come at growing intervals, that those of a corrected
// input lift its block, and that further crashes block the part again.
func TestBlockEnds(t *testing.T) {
	policy := crash.DefaultPolicy()
	ledger := newLedger()
	for _, event := range crashesOf("b", "b", "b") {
		record(ledger, event.(crashOf))
	}
	now := start.Add(2 * time.Second)
	ledger.Judge(now)
	trials := 0
	for ; now.Before(start.Add(time.Hour)); now = now.Add(time.Second) {
		if !now.Before(ledger.Blocks()[0].NextTrial) {
			trials++
			ledger.TrialFailed(partOf("b"), now)
		}
	}
	assert.Equal(t, trials, 2, "in the first hour")
	expectLiftedAfter(t, ledger, policy.PassesToLift, now)
	for i := range 5 {
		record(ledger, crashOf{fmt.Sprint("again", i), now.Sub(start) + time.Duration(i+1)*time.Second, "b"})
	}
	ledger.Judge(now.Add(time.Minute))
	assert.Equal(t, blockedParts(ledger), "b")
	assert.Equal(t, ledger.Blocks()[0].Round, 2)
	expectLiftedAfter(t, ledger, 2*policy.PassesToLift, now.Add(time.Hour))
}

// expectLiftedAfter checks that a number of trials of part b which pass, and no fewer, lift
// its block.
func expectLiftedAfter(t *testing.T, ledger *crash.Ledger, passes int, now time.Time) {
	t.Helper()
	for range passes {
		assert.Equal(t, blockedParts(ledger), "b")
		ledger.TrialPassed(partOf("b"), now)
	}
	ledger.Judge(now)
	assert.Equal(t, blockedParts(ledger), "")
}

// TestTrialsHaveToPassInARow checks that a trial that crashes its endpoint makes void those
// that passed before.
func TestTrialsHaveToPassInARow(t *testing.T) {
	policy := crash.DefaultPolicy()
	ledger := newLedger()
	ledger.Restore(crash.Block{Input: partOf("b"), Round: 1, Since: start})
	for range policy.PassesToLift - 1 {
		ledger.TrialPassed(partOf("b"), start)
	}
	ledger.TrialFailed(partOf("b"), start)
	expectLiftedAfter(t, ledger, policy.PassesToLift, start)
}

// TestRestoredBlockEnds guards against a block of which only the store told, and which
// no trial could lift.
func TestRestoredBlockEnds(t *testing.T) {
	ledger := newLedger()
	ledger.Restore(crash.Block{Input: partOf("b"), Round: 1, Since: start})
	assert.Equal(t, blockedParts(ledger), "b")
	expectLiftedAfter(t, ledger, crash.DefaultPolicy().PassesToLift, start.Add(time.Minute))
}

// TestAnswersDoNotLiftBlock checks that answers to requests which were in progress when their part was
// blocked do not lift the block.
func TestAnswersDoNotLiftBlock(t *testing.T) {
	ledger := newLedger()
	for _, event := range crashesOf("b", "b", "b") {
		record(ledger, event.(crashOf))
	}
	ledger.Judge(start.Add(2 * time.Second))
	recordUses(ledger, answersOf{"b", 3 * time.Second, 50})
	ledger.Judge(start.Add(4 * time.Second))
	assert.Equal(t, blockedParts(ledger), "b")
}

// TestOlderBuildLiftsBlock guards against a node of an older build that lifts a block for
// the begin of one answer, and the blocks of all others with it.
func TestOlderBuildLiftsBlock(t *testing.T) {
	ledger := newLedger()
	ledger.Restore(crash.Block{Input: partOf("b"), Round: 1, Since: start})
	assert.Assert(t, !ledger.Merge(crash.Block{Input: partOf("b"), Round: 1, Lifted: true}))
	assert.Equal(t, blockedParts(ledger), "b")
	assert.Assert(t, ledger.Merge(crash.Block{Input: partOf("b"), Round: 1, Lifted: true, Ordered: true}))
	assert.Equal(t, blockedParts(ledger), "")
}

// TestUsesOfNodes checks that the uses that several nodes tell of add up, however often each
// tells, and that a node that starts again begins anew.
func TestUsesOfNodes(t *testing.T) {
	before, since := start.Add(-time.Minute), start.Add(time.Second)
	for _, test := range []struct {
		name  string
		nodes string       // one letter each; a blank stands for a node of an older build
		told  []crash.Uses // by them in turn
		uses  int
		first int
	}{
		{"nothing", "ab", []crash.Uses{{}, {}}, 0, 0},
		{"before", "aba", []crash.Uses{{Count: 40, Last: before}, {Count: 7, Last: before}, {Count: 40, Last: before}}, 0, 47},
		{"before and since", "abab", []crash.Uses{{Count: 40, Last: before}, {Count: 7, Last: before}, {Count: 42, Last: since}, {Count: 8, Last: since}}, 3, 47},
		{"a node that has started again", "aaa", []crash.Uses{{Count: 40, Last: before}, {}, {Count: 2, Last: since}}, 2, 40},
		{"nodes that do not count", "     ", []crash.Uses{{Last: before}, {Last: since}, {Last: since}, {Last: before}, {Last: since.Add(time.Second)}}, 2, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			ledger := newLedger()
			record(ledger, crashOf{"e1", 0, "b"})
			for i, uses := range test.told {
				ledger.RecordUses(partOf("b"), strings.TrimSpace(test.nodes[i:i+1]), uses)
			}
			evidence := ledger.Evidence(partOf("b"))
			assert.Equal(t, evidence.Uses, test.uses)
			assert.Equal(t, evidence.UsesFirst, test.first)
		})
	}
}

// TestMergeOfBlocks checks that nodes which learn of the same blocks in any order
// agree in the end.
func TestMergeOfBlocks(t *testing.T) {
	blocks := []crash.Block{
		{Input: partOf("b"), Round: 1}, {Input: partOf("b"), Round: 1, Trials: 1}, {Input: partOf("b"), Round: 1, Lifted: true, Ordered: true}, {Input: partOf("b"), Round: 1, Trials: 1, Passed: 2},
		{Input: partOf("b"), Round: 2}, {Input: partOf("b"), Round: 2, Trials: 2}, {Input: partOf("b"), Round: 2, Trials: 2, Passed: 1},
	}
	for i := range blocks {
		ledger := newLedger()
		for j := range blocks {
			ledger.Merge(blocks[(i+j)%len(blocks)])
		}
		assert.DeepEqual(t, ledger.Blocks(), blocks[len(blocks)-1:])
	}
}

// TestLedgerIsBounded sends crashes with ever new parts: the state and the reports
// stay within the limits, and a part that is near at all of them is found.
func TestLedgerIsBounded(t *testing.T) {
	policy := crash.DefaultPolicy()
	ledger := newLedger()
	now := start
	for i := range 2000 {
		now = now.Add(200 * time.Millisecond)
		record(ledger, crashOf{fmt.Sprint("e", i), now.Sub(start), fmt.Sprintf("b new-%d", i)})
		ledger.Judge(now)
	}
	assert.Assert(t, len(ledger.Suspects()) <= policy.MaxSuspects)
	assert.Assert(t, len(ledger.Reports(now)) <= policy.MaxReports)
	assert.Assert(t, len(ledger.RecentSuspects(now)) <= policy.MaxReports)
	assert.Equal(t, blockedParts(ledger), "b")
}

// TestSoundUsesAreBounded checks that the latest answers are remembered, however many
// parts there are, and that those of a part in use are counted on.
func TestSoundUsesAreBounded(t *testing.T) {
	sounduses := crash.NewSoundUses(crash.PartGeneration)
	for i := range 100_000 {
		sounduses.Record(partOf(fmt.Sprint(i)), start.Add(time.Duration(i)))
		if i%1000 == 0 {
			sounduses.Record(partOf("much used"), start.Add(time.Duration(i)))
		}
	}
	assert.Equal(t, sounduses.Of(partOf("99999")), crash.Uses{Count: 1, Last: start.Add(99_999)})
	assert.Equal(t, sounduses.Of(partOf("97000")), crash.Uses{Count: 1, Last: start.Add(97_000)})
	assert.Equal(t, sounduses.Of(partOf("1")), crash.Uses{})
	sounduses.RecordKnown(partOf("99999"), start.Add(200_000))
	assert.Equal(t, sounduses.Of(partOf("99999")), crash.Uses{Count: 1, Last: start.Add(200_000)})
	assert.Equal(t, sounduses.Of(partOf("much used")), crash.Uses{Count: 100, Last: start.Add(99_000)})
}

// TestPartBlamedBeforeOthersReport guards against a sound part that is blocked because this
// node has found out late that endpoints crashed, and judges before the other nodes, which
// have found out at the same time, have told it which part was near as well.
func TestPartBlamedBeforeOthersReport(t *testing.T) {
	const (
		foundOutAfter = 900 * time.Millisecond
		transit       = 150 * time.Millisecond
	)
	ledger := newLedger()
	report := func(part string, own bool, position, i int, learnedAt time.Duration) {
		ledger.Record(crash.Report{
			Input: partOf(part), Position: position, Incarnation: crash.Incarnation{Endpoint: fmt.Sprint("e", i)}, At: start.Add(time.Duration(i) * 110 * time.Millisecond),
		}, own, start.Add(learnedAt))
	}
	for i := range 4 {
		report("f", true, 0, i, foundOutAfter)
	}
	ledger.Judge(start.Add(foundOutAfter + 100*time.Millisecond))
	assert.Equal(t, blockedParts(ledger), "")
	for i := range 4 {
		report("b", false, 1, i, foundOutAfter+transit)
	}
	for at := foundOutAfter + transit; at < 3*time.Second; at += 100 * time.Millisecond {
		ledger.Judge(start.Add(at))
	}
	assert.Equal(t, blockedParts(ledger), "b")
}
