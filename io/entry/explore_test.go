package entry_test

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/site"
)

// outcome is what a sequence of events has led to.
type outcome struct {
	finding  string   // the property that did not hold; empty if all did
	state    string   // see world.state
	possible []string // the events that could follow
}

// play plays events from the beginning, and skips those that are not possible.
func (scenario scenario) play(t *testing.T, events []string) (outcome outcome) {
	synctest.Test(t, func(*testing.T) {
		world := newWorld(scenario)
		for _, name := range events {
			world.step(name)
		}
		outcome.state = world.state()
		for _, event := range world.events() {
			outcome.possible = append(outcome.possible, event.name)
		}
		world.finish()
		outcome.finding = world.finding
	})
	return outcome
}

// step lets an event happen, if it is possible, and checks the properties.
func (world *world) step(name string) {
	for _, event := range world.events() {
		if event.name == name {
			event.apply()
			world.settle()
			world.check()
			return
		}
	}
}

// exploration is what an exploration has seen.
type exploration struct {
	orders  int // sequences of events that were played
	states  int // distinct ones that they led to
	finding string
	events  []string // the shortest sequence that has led to the finding
}

// explore plays all sequences of up to depth events, the shorter ones first, until one has a finding.
// What follows a state is played once.
func (scenario scenario) explore(t *testing.T, depth int) exploration {
	exploration, seen := exploration{}, map[string]bool{}
	level := [][]string{{}}
	for length := 0; ; length++ {
		var next [][]string
		for i, outcome := range scenario.playAll(t, level) {
			exploration.orders++
			if outcome.finding != "" {
				exploration.finding, exploration.events = outcome.finding, level[i]
				return exploration
			}
			if seen[outcome.state] {
				continue
			}
			seen[outcome.state] = true
			exploration.states++
			for _, event := range outcome.possible {
				next = append(next, append(level[i][:length:length], event))
			}
		}
		if level = next; length == depth || len(level) == 0 {
			return exploration
		}
	}
}

// playAll plays sequences on all cores.
func (scenario scenario) playAll(t *testing.T, sequences [][]string) []outcome {
	outcomes := make([]outcome, len(sequences))
	var waitgroup sync.WaitGroup
	var taken atomic.Int64
	for range runtime.GOMAXPROCS(0) {
		waitgroup.Go(func() {
			for i := taken.Add(1) - 1; i < int64(len(sequences)); i = taken.Add(1) - 1 {
				outcomes[i] = scenario.play(t, sequences[i])
			}
		})
	}
	waitgroup.Wait()
	return outcomes
}

// lives are where the explorations start, and the depths to which they go.
var lives = []struct {
	scenario scenario
	depth    int
}{
	{scenario{nodes: 1, kind: site.AtMostOnce{}, endpoints: 1, requests: 1}, 7},
	{scenario{nodes: 1, kind: site.Idempotent{}, endpoints: 1, requests: 1}, 7},
	{scenario{nodes: 1, kind: site.Stream{}, endpoints: 1, requests: 1}, 7},
	{scenario{nodes: 1, kind: site.Stream{Resumable: true}, endpoints: 1, requests: 1}, 7},
	{scenario{nodes: 1, kind: site.AtMostOnce{}, endpoints: 2, requests: 1}, 6},
	{scenario{nodes: 1, kind: site.Idempotent{}, endpoints: 2, requests: 1}, 6},
	{scenario{nodes: 1, kind: site.Stream{}, endpoints: 2, requests: 1}, 6},
	{scenario{nodes: 1, kind: site.Stream{Resumable: true}, endpoints: 2, requests: 1}, 6},
	{scenario{nodes: 1, kind: site.AtMostOnce{}, endpoints: 1, requests: 2}, 6},
	{scenario{nodes: 1, kind: site.Idempotent{}, endpoints: 1, requests: 2}, 5},
	{scenario{nodes: 1, kind: site.Stream{}, endpoints: 1, requests: 2}, 5},
	{scenario{nodes: 1, kind: site.Idempotent{}, endpoints: 1, requests: 2, headFirst: true}, 6},
	{scenario{nodes: 1, kind: site.AtMostOnce{}, endpoints: 1, requests: 2, headFirst: true}, 5},
	{scenario{nodes: 1, kind: site.AtMostOnce{}, endpoints: 1, requests: 2, budget: 1}, 6},
	{scenario{nodes: 1, kind: site.Idempotent{}, endpoints: 1, requests: 2, budget: 1}, 5},
	{scenario{nodes: 1, kind: site.AtMostOnce{}, endpoints: 2, requests: 2}, 5},
	{scenario{nodes: 1, kind: site.AtMostOnce{}, endpoints: 2, oneAddress: true, requests: 1}, 6},
	{scenario{nodes: 1, kind: site.AtMostOnce{}, endpoints: 2, oneAddress: true, requests: 2}, 5},
	{scenario{nodes: 2, kind: site.AtMostOnce{}, endpoints: 1, requests: 1}, 6},
	{scenario{nodes: 2, kind: site.AtMostOnce{}, endpoints: 1, requests: 2}, 5},
	{scenario{nodes: 2, kind: site.AtMostOnce{}, endpoints: 2, requests: 1}, 6},
	{scenario{nodes: 2, kind: site.Stream{}, endpoints: 2, requests: 1}, 6},
	{scenario{nodes: 2, kind: site.Idempotent{}, endpoints: 2, requests: 1}, 5},
	{scenario{nodes: 2, kind: site.Stream{Resumable: true}, endpoints: 2, requests: 1}, 5},
	{scenario{nodes: 2, kind: site.AtMostOnce{}, otherKind: site.Idempotent{}, endpoints: 2, requests: 1}, 6},
}

// TestOneRequestsLife plays every order of events of a request's life, up to a number of events, and prints the
// shortest one that breaks a property as a row of TestLives. More by hand: HICKORYBEND_LIFE_DEPTH=1 for
// one event more.
func TestOneRequestsLife(t *testing.T) {
	more, _ := strconv.Atoi(os.Getenv("HICKORYBEND_LIFE_DEPTH"))
	for _, life := range lives {
		startedAt := time.Now()
		exploration := life.scenario.explore(t, life.depth+more)
		t.Logf("%s: %d orders of up to %d events, %d states, %s", life.scenario,
			exploration.orders, life.depth+more, exploration.states, time.Since(startedAt).Round(time.Millisecond))
		if exploration.finding != "" {
			t.Fatalf("after %d events:\n{%q, %s, %q},", len(exploration.events), exploration.finding, life.scenario, strings.Join(exploration.events, " "))
		}
	}
}

// String returns the scenario as it stands in a row of TestLives.
func (scenario scenario) String() string {
	return strings.ReplaceAll(fmt.Sprintf("%#v", scenario), "entry_test.", "")
}

// expectNoFinding plays events, separated by spaces, and checks that all properties hold.
func expectNoFinding(t *testing.T, scenario scenario, events string) {
	t.Helper()
	outcome := scenario.play(t, strings.Fields(events))
	assert.Equal(t, outcome.finding, "")
}

// TestLives plays orders of events that broke a property, each with one fault put back into the code. Events that
// have become impossible are skipped.
func TestLives(t *testing.T) {
	for _, test := range []struct {
		name     string
		scenario scenario
		events   string
	}{
		{"a connection carries an ID twice", scenario{nodes: 1, kind: site.AtMostOnce{}, endpoints: 1, requests: 1}, "r1-comes e1-accepts e1-refuses-r1 r1-returns-n1 e1-copies-r1"},
		{"an answer to another request is delivered", scenario{nodes: 1, kind: site.AtMostOnce{}, endpoints: 1, requests: 1}, "r1-comes e1-accepts e1-answers-another-r1"},
		{"what has run is said not to have", scenario{nodes: 1, kind: site.AtMostOnce{}, endpoints: 1, requests: 1}, "r1-comes e1-accepts e1-contradicts-r1"},
		{"an interim answer is taken for the final one", scenario{nodes: 1, kind: site.AtMostOnce{}, endpoints: 1, requests: 1}, "r1-comes e1-accepts e1-hints-r1"},
		{"a request is sent again after an incomplete answer", scenario{nodes: 1, kind: site.AtMostOnce{}, endpoints: 2, requests: 1}, "r1-comes e1-accepts e1-closes-r1 e2-accepts"},
		{"an answer behind a copy of another is lost", scenario{nodes: 1, kind: site.AtMostOnce{}, endpoints: 1, requests: 2}, "r1-comes e1-accepts e1-answers-r1 r2-comes e1-copies-r1 e1-answers-r2"},
		{"a copy of an answer to HEAD is read with a body", scenario{nodes: 1, kind: site.Idempotent{}, endpoints: 1, requests: 2, headFirst: true}, "r1-comes e1-accepts e1-answers-r1 r2-comes e1-copies-r1 e1-copies-r1"},
		{"a resumed stream begins anew", scenario{nodes: 1, kind: site.Stream{Resumable: true}, endpoints: 2, requests: 1}, "r1-comes e1-accepts e1-breaks-body-r1 e2-accepts e2-answers-r1"},
		{"a request has no answer when its node has stopped", scenario{nodes: 1, kind: site.AtMostOnce{}, endpoints: 1, requests: 1}, "r1-comes e1-accepts n1-stops time-passes time-passes"},
		{"the outcome of a second attempt is not recorded", scenario{nodes: 1, kind: site.Idempotent{}, endpoints: 2, requests: 1}, "r1-comes e1-accepts time-passes e2-accepts e2-fails-r1 e1-refuses-r1"},
		{"another node's failure is read as not run", scenario{nodes: 2, kind: site.AtMostOnce{}, endpoints: 1, requests: 1}, "r1-comes e1-rejects n2-accepts e1-accepts e1-contradicts-r1"},
		{"a link that breaks is taken for no failure", scenario{nodes: 2, kind: site.AtMostOnce{}, endpoints: 2, requests: 1}, "r1-comes e1-accepts e1-misdirects-r1 e2-rejects n2-accepts n2-breaks"},
		{"a request is sent after its caller has left", scenario{nodes: 1, kind: site.AtMostOnce{}, endpoints: 1, requests: 1}, "r1-comes r1-leaves-unnoticed e1-accepts"},
	} {
		t.Run(test.name, func(t *testing.T) { expectNoFinding(t, test.scenario, test.events) })
	}
}
