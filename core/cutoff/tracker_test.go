package cutoff_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/cutoff"
)

// seen is what a node sees at a time, in milliseconds: which first hosts are silent, which
// of them answer others, and how many are silent to another node.
type seen struct {
	at                        int
	silent, answering         int // e0, e1 and so on
	members                   int // further silent endpoints that are not first hosts
	othersSilent              int
	notAsked                  bool // since others said that they answer
	before                    bool // others got their answers before
	answered                  bool // one of the others has answered this node
	doubtful, suspect, cutOff bool // what follows; a suspicion or a cut is a doubt as well
	refuted                   string
	ask                       string // an endpoint of which the others are to be asked
}

// expectConclusions checks what a node with 24 first hosts concludes from what it sees.
func expectConclusions(t *testing.T, sights []seen) {
	t.Helper()
	began := time.Unix(1000, 0)
	tracker := cutoff.NewTracker(cutoff.DefaultPolicy())
	for _, sight := range sights {
		now := began.Add(time.Duration(sight.at) * time.Millisecond)
		view := cutoff.View{FirstHosts: 24, Endpoints: 48, Silent: map[string]bool{}, OthersSilent: sight.othersSilent, FailedAt: map[string]time.Time{}, Answering: map[string]time.Time{}}
		for i := range sight.silent {
			view.Silent[fmt.Sprint("e", i)] = true
			if view.FailedAt[fmt.Sprint("e", i)] = now; sight.notAsked {
				view.FailedAt[fmt.Sprint("e", i)] = began
			}
		}
		if sight.answered {
			view.AnsweredAt = now
		}
		for i := range sight.members {
			view.Silent[fmt.Sprint("m", i)] = false
		}
		for i := range sight.answering {
			if view.Answering[fmt.Sprint("e", i)] = now; sight.before {
				view.Answering[fmt.Sprint("e", i)] = began.Add(-time.Second)
			}
		}
		tracker.Update(view, began.Add(time.Duration(sight.at)*time.Millisecond))
		assert.Equal(t, tracker.Suspect(), sight.suspect, "suspect at %d ms", sight.at)
		assert.Equal(t, tracker.CutOff(), sight.cutOff, "cut off at %d ms", sight.at)
		assert.Equal(t, tracker.Doubtful(), sight.doubtful || sight.suspect || sight.cutOff, "doubtful at %d ms", sight.at)
		if sight.ask != "" {
			assert.Check(t, tracker.Ask(sight.ask, began.Add(time.Duration(sight.at)*time.Millisecond)), "%s at %d ms", sight.ask, sight.at)
		}
		if sight.refuted != "" {
			assert.Check(t, !tracker.Ask(sight.refuted, began.Add(time.Duration(sight.at)*time.Millisecond)), "%s at %d ms", sight.refuted, sight.at)
			assert.Check(t, tracker.Refuted(sight.refuted), "%s at %d ms", sight.refuted, sight.at)
		}
	}
}

// TestNodeTakesEndpointsForSilent guards against a node that takes endpoints for silent when
// its own links have failed, and against one that takes itself for cut off when they
// have failed.
func TestNodeTakesEndpointsForSilent(t *testing.T) {
	for _, test := range []struct {
		name   string
		sights []seen
	}{
		{"cut off from all", []seen{
			{at: 0, silent: 9, suspect: true},
			{at: 300, silent: 20, answering: 9, suspect: true, refuted: "e8"},
			{at: 600, silent: 24, answering: 20, suspect: true, cutOff: true},
			{at: 1600, silent: 24, answering: 24, cutOff: true},
			{at: 3000, silent: 24, cutOff: true},
			{at: 3200, silent: 24, cutOff: true, ask: "e1"},
			{at: 4500, silent: 24, cutOff: true},
			{at: 4700, silent: 24, cutOff: true},
			{at: 4800, silent: 24, answering: 24, cutOff: true},
			{at: 9000, silent: 1, cutOff: true},
			{at: 9100, silent: 1, answered: true},
		}},
		{"cut off from all, which fail then", []seen{
			{at: 0, silent: 24, suspect: true},
			{at: 600, silent: 24, answering: 24, suspect: true, cutOff: true},
			{at: 4700, silent: 24, cutOff: true},
			{at: 4800, silent: 0, cutOff: true},
			{at: 4900, silent: 24, cutOff: true, suspect: true},
			{at: 5000, silent: 20, answered: true, suspect: true},
		}},
		{"endpoints that have failed, and are back before this node asks them again", []seen{
			{at: 0, silent: 16, othersSilent: 16},
			{at: 700, silent: 16, answering: 14, othersSilent: 2, notAsked: true, suspect: true},
			{at: 800, silent: 16, answering: 16, notAsked: true, suspect: true},
			{at: 900, silent: 0},
		}},
		{"endpoints that have failed, and answered others before", []seen{
			{at: 0, silent: 16, suspect: true},
			{at: 300, silent: 16, answering: 16, before: true, suspect: true},
			{at: 600, silent: 16, answering: 16, before: true, suspect: true},
		}},
		{"endpoints that have failed together", []seen{
			{at: 0, silent: 9, suspect: true},
			{at: 200, silent: 9, othersSilent: 4, suspect: true},
			{at: 400, silent: 9, othersSilent: 5},
		}},
		{"endpoints that have failed together, and others are slow to notice", []seen{
			{at: 0, silent: 9, suspect: true},
			{at: 1499, silent: 9, suspect: true},
			{at: 1500, silent: 9},
			{at: 1800, silent: 9},
		}},
		{"one replica after the other", []seen{
			{at: 0, silent: 1},
			{at: 900, silent: 2, othersSilent: 1},
			{at: 1800, silent: 5, othersSilent: 4},
		}},
		{"members of replicas", []seen{{at: 0, silent: 2, members: 20, doubtful: true}}},
		{"cut off from some", []seen{
			{at: 0, silent: 5, doubtful: true},
			{at: 300, silent: 5, answering: 5, refuted: "e4", doubtful: true},
			{at: 1500, silent: 5, answering: 5, refuted: "e4"},
		}},
	} {
		t.Run(test.name, func(t *testing.T) { expectConclusions(t, test.sights) })
	}
}

// TestSilenceOfEndpointCounts guards against a node that concludes from the silence of one
// endpoint before other nodes can have said that it answers, or never.
func TestSilenceOfEndpointCounts(t *testing.T) {
	began := time.Unix(1000, 0)
	policy := cutoff.DefaultPolicy()
	for _, test := range []struct {
		name  string
		view  cutoff.View
		after time.Duration // from when it counts; 0 for at once, negative for never
	}{
		{"no other node", cutoff.View{Alone: true}, 0},
		{"most others say so", cutoff.View{SilentTo: map[string]int{"e": 3}, Quorum: 3}, 0},
		{"some others say so", cutoff.View{SilentTo: map[string]int{"e": 2}, Quorum: 3}, policy.ConfirmAfter},
		{"it answers another node", cutoff.View{SilentTo: map[string]int{"e": 3}, Quorum: 3, Answering: map[string]time.Time{"e": began}}, -1},
		{"in zones", cutoff.View{Indirect: true, SilentTo: map[string]int{"e": 3}, Quorum: 2}, policy.ConfirmIndirectAfter},
		{"in zones, its watcher says so", cutoff.View{Indirect: true, Quorum: 2, Lost: map[string]bool{"e": true}}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			tracker := cutoff.NewTracker(policy)
			test.view.Silent, test.view.FirstHosts, test.view.FailedAt = map[string]bool{"e": true}, 24, map[string]time.Time{"e": began}
			for at := time.Duration(0); at <= 2*time.Second; at += 100 * time.Millisecond {
				tracker.Update(test.view, began.Add(at))
				assert.Equal(t, tracker.Concludes("e", began.Add(at)), test.after >= 0 && at >= test.after, "at %s", at)
			}
			assert.Assert(t, !tracker.Concludes("another", began))
		})
	}
}
