package member_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/member"
)

var start = time.Unix(1000, 0)

func always(string) bool { return true }

func nothingTold(string) member.Word { return member.WordNone }

// node plays one node's view: the others answer each interval, refuse, or are silent.
type node struct {
	members  *member.Members
	now      time.Time
	answers  map[string]bool
	refuses  map[string]bool
	watched  func(string) bool
	told     func(string) member.Word
	nextAt   map[string]time.Time
	tries    int
	mostOnce int // tries in one step
}

func newNode(names ...string) *node {
	node := &node{members: member.New(member.DefaultPolicy()), now: start, answers: map[string]bool{}, refuses: map[string]bool{}, watched: always, told: nothingTold, nextAt: map[string]time.Time{}}
	for _, name := range names {
		node.members.Put(name, false, node.now)
		node.answers[name] = true
	}
	return node
}

const step = 100 * time.Millisecond

// run plays some time.
func (node *node) run(duration time.Duration) {
	for end := node.now.Add(duration); node.now.Before(end); node.now = node.now.Add(step) {
		for name, answers := range node.answers {
			if answers {
				node.members.Heard(name, node.now)
			}
		}
		due := node.members.Due(node.watched, node.now)
		node.tries += len(due)
		node.mostOnce = max(node.mostOnce, len(due))
		for _, name := range due {
			node.members.Failed(name, node.refuses[name], node.now)
		}
		node.members.Update(node.watched, node.told, node.now)
	}
}

// stop has nodes end: from now on they are silent, or their hosts refuse connections.
func (node *node) stop(refuses bool, names ...string) {
	for _, name := range names {
		node.answers[name], node.refuses[name] = false, refuses
	}
}

// TestGoneNodesStayMembers guards against rows that count as members for good, and against
// living nodes that are marked as gone.
func TestGoneNodesStayMembers(t *testing.T) {
	for _, test := range []struct {
		name  string
		plays func(node *node)
		gone  []string
	}{
		{"all answer", func(node *node) { node.run(time.Minute) }, nil},
		{"a host refuses for 3 s", func(node *node) { node.run(time.Second); node.stop(true, "b"); node.run(4500 * time.Millisecond) }, []string{"b"}},
		{"a restart of 2 s", func(node *node) {
			node.run(time.Second)
			node.stop(true, "b")
			node.run(2 * time.Second)
			node.answers["b"] = true
			node.run(time.Second)
		}, nil},
		{"frozen for 4 s", func(node *node) { node.run(time.Second); node.stop(false, "b"); node.run(4 * time.Second) }, nil},
		{"silent for 7 s", func(node *node) { node.run(time.Second); node.stop(false, "b"); node.run(7 * time.Second) }, []string{"b"}},
		{"back after 20 s", func(node *node) {
			node.run(time.Second)
			node.stop(false, "b")
			node.run(20 * time.Second)
			node.answers["b"] = true
			node.run(step)
		}, nil},
		{"this node is cut off for 20 s", func(node *node) {
			node.run(time.Second)
			node.stop(false, "a", "b", "c", "d")
			node.run(20 * time.Second)
		}, nil},
		{"half are cut off for 20 s", func(node *node) { node.run(time.Second); node.stop(false, "b", "c", "d"); node.run(20 * time.Second) }, nil},
		{"half vanish for good", func(node *node) { node.run(time.Second); node.stop(false, "b", "c", "d"); node.run(40 * time.Second) }, []string{"b", "c", "d"}},
		{"this node is frozen for a minute", func(node *node) {
			node.run(time.Second)
			node.now = node.now.Add(time.Minute)
			for _, name := range []string{"a", "b", "c", "d"} {
				node.members.Failed(name, false, node.now) // what was pending
			}
			node.members.Update(always, nothingTold, node.now)
		}, nil},
		{"gone, and never tried before", func(node *node) {
			node.watched = func(string) bool { return false }
			node.stop(false, "a")
			node.run(time.Minute)
			node.watched = always
			node.run(7 * time.Second)
		}, []string{"a"}},
		{"silent beside many that this node watches no more", func(node *node) {
			node.run(time.Second)
			node.watched = func(name string) bool { return name == "a" || name == "b" }
			node.stop(false, "b", "c", "d")
			node.run(7 * time.Second)
		}, []string{"b"}},
		{"the same in a larger zone", func(node *node) {
			node.run(time.Second)
			node.watched = func(name string) bool { return name != "d" }
			node.stop(false, "c", "d")
			node.run(7 * time.Second)
		}, []string{"c"}},
		{"this node is frozen while another one restarts", func(node *node) {
			node.run(time.Second)
			node.stop(true, "b")
			node.run(1500 * time.Millisecond)
			node.now = node.now.Add(time.Minute)
			node.members.Failed("b", true, node.now)
			for _, name := range []string{"a", "c", "d"} {
				node.members.Heard(name, node.now)
			}
			node.members.Update(always, nothingTold, node.now)
		}, nil},
		{"rows of nodes that are gone for good", func(node *node) {
			node.members.Put("old", false, node.now)
			node.refuses["old"] = true
			node.run(4 * time.Second)
		}, []string{"old"}},
		{"frozen for 3 s, and never tried before", func(node *node) {
			node.watched = func(string) bool { return false }
			node.stop(false, "a")
			node.run(time.Minute)
			node.watched = always
			node.run(3 * time.Second)
		}, nil},
		{"a row written again", func(node *node) {
			node.run(time.Second)
			node.stop(true, "b")
			node.run(20 * time.Second)
			node.members.Put("b", true, node.now)
		}, nil},
		{"told", func(node *node) {
			node.watched = func(string) bool { return false }
			node.told = func(name string) member.Word {
				return map[bool]member.Word{true: member.WordGone, false: member.WordMember}[name == "c"]
			}
			node.stop(false, "a", "b", "c", "d")
			node.run(2 * time.Second)
		}, []string{"c"}},
		{"told by nobody any more", func(node *node) {
			node.watched = func(string) bool { return false }
			node.told = func(string) member.Word { return member.WordGone }
			node.stop(false, "a", "b", "c", "d")
			node.run(2 * time.Second)
			node.told = nothingTold
			node.run(time.Minute)
		}, []string{"a", "b", "c", "d"}},
		{"told that they are members", func(node *node) {
			node.watched = func(string) bool { return false }
			node.told = func(string) member.Word { return member.WordGone }
			node.stop(false, "a", "b", "c", "d")
			node.run(2 * time.Second)
			node.told = func(string) member.Word { return member.WordMember }
			node.run(step)
		}, nil},
		{"it answers, whatever is told", func(node *node) {
			node.told = func(string) member.Word { return member.WordGone }
			node.run(time.Minute)
		}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			node := newNode("a", "b", "c", "d")
			test.plays(node)
			assert.DeepEqual(t, append([]string{}, node.members.Gone()...), append([]string{}, test.gone...))
		})
	}
}

// TestManyOldRowsAreTriedAtOnce guards against a start beside 500 rows of nodes that are gone that
// takes longer than 5 s to find out, or floods the network.
func TestManyOldRowsAreTriedAtOnce(t *testing.T) {
	node := newNode("a", "b", "c")
	for i := range 500 {
		node.members.Put(fmt.Sprint("old-", i), false, start)
	}
	node.run(5 * time.Second)
	assert.Equal(t, node.members.Count(member.StateGone), 500)
	assert.Assert(t, node.mostOnce <= member.DefaultPolicy().RetriesPerRound)
	tries := node.tries
	node.run(time.Minute)
	assert.Assert(t, float64(node.tries-tries) <= 60*500/member.DefaultPolicy().RetryGone.Seconds(), "%d tries in a minute", node.tries-tries)
}

// TestRowsAreRemovedTooSoon checks when rows of nodes that are gone are removed, and how many.
func TestRowsAreRemovedTooSoon(t *testing.T) {
	policy := member.DefaultPolicy()
	node := newNode("a", "b", "c", "d", "e")
	node.run(2 * time.Minute)
	node.stop(true, "a", "b")
	removed := func(settledSince time.Time, duration time.Duration) (names []string) {
		for end := node.now.Add(duration); node.now.Before(end); {
			node.run(step)
			if name, found := node.members.Removal(settledSince, node.now); found {
				names = append(names, name)
			}
		}
		return names
	}
	assert.Equal(t, len(removed(start, policy.RemoveAfter)), 0)
	assert.Equal(t, len(removed(node.now, policy.SettledFor-time.Second)), 0, "the store has just come back")
	names := removed(start, 2*time.Second)
	slices.Sort(names)
	assert.DeepEqual(t, names, []string{"a", "b"})
	for _, name := range names {
		node.members.Drop(name)
	}
	assert.Equal(t, len(removed(start, time.Minute)), 0)
	assert.Equal(t, node.members.Count(member.StateAlive), 3)
}
