package config_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hickorybend/core/config"
	"hickorybend/core/intent"
	"hickorybend/core/memory"
	"hickorybend/core/rows"
)

const (
	term     = 4 * time.Second
	bound    = 5 * time.Second
	nodeTerm = 12 * time.Second
)

// machine has nodes in three zones, links that can be cut, a store that can be
// down for all or out of one node's reach, and operators that race.
type machine struct {
	t        *rapid.T
	store    *memory.Store
	now      time.Time
	nodes    []*node
	cut      map[int]bool
	down     bool
	written  int
	accepted []acceptance
}

type node struct {
	zone     string
	held     *config.Cache
	offline  bool
	minds    []config.PeerStatus
	lastTry  time.Time
	lastBeat time.Time
	seen     int64
}

type acceptance struct {
	head int64
	at   time.Time
}

var zones = []string{"a", "b", "c"}

func newMachine(t *rapid.T) *machine {
	m := &machine{t: t, store: memory.NewStore(), now: time.Unix(1_000_000, 0), cut: map[int]bool{}}
	for i := range 4 {
		m.nodes = append(m.nodes, &node{zone: zones[i%3], held: config.NewCache(term)})
	}
	m.apply(m.nodes[0])
	return m
}

// apply is a change by an operator at a node. Every node that can be reached is
// told first, and every one that the rows show alive has to be; the node may go
// silent right after the commit.
func (m *machine) apply(at *node) {
	ctx := context.Background()
	if !m.reachesStore(at) {
		return
	}
	stored, _ := m.store.List(ctx, config.Partition)
	head, _ := m.store.Get(ctx, config.HeadKey())
	m.written++
	id := fmt.Sprintf("w%d", m.written)
	for _, n := range m.nodes {
		reached := m.reach(at, n)
		if reached {
			n.held.Prepare(id, head.Version+1, m.now)
		}
		if !reached && !m.stale(n) {
			m.abort(at, id)
			return
		}
	}
	plan := config.Plan{Changes: []intent.Change{{Name: "team/x", After: []byte(id)}}}
	txn, err := config.Accept(plan, head, stored, config.Entry{}, id)
	assert.NilError(m.t, err)
	_, done := m.store.Commit(ctx, txn).(rows.Committed)
	assert.Assert(m.t, done)
	m.accepted = append(m.accepted, acceptance{head: head.Version + 1, at: m.now})
}

func (m *machine) abort(at *node, id string) {
	for _, n := range m.nodes {
		if m.reach(at, n) {
			n.held.Abort(id)
		}
	}
}

// stale tells whether a node's row has stood still for its term.
func (m *machine) stale(n *node) bool { return m.now.Sub(n.lastBeat) > nodeTerm }

func (m *machine) pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(10, 2500).Draw(t, "ms")) * time.Millisecond)
}

func (m *machine) change(t *rapid.T) { m.apply(rapid.SampledFrom(m.nodes).Draw(t, "node")) }

func (m *machine) outage(t *rapid.T) {
	m.down = !m.down
	m.store.SetDown(m.down)
}

func (m *machine) offline(t *rapid.T) {
	n := rapid.SampledFrom(m.nodes).Draw(t, "node")
	n.offline = !n.offline
}

// cutZone parts a whole zone from the other zones and from the store.
func (m *machine) cutZone(t *rapid.T) {
	zone := rapid.IntRange(0, 2).Draw(t, "zone")
	m.cut[zone] = !m.cut[zone]
}

func (m *machine) zoneCut(zone string) bool {
	for i, name := range zones {
		if name == zone {
			return m.cut[i]
		}
	}
	return false
}

func (m *machine) reachesStore(n *node) bool { return !m.down && !n.offline && !m.zoneCut(n.zone) }

func (m *machine) reach(a, b *node) bool {
	return a.zone == b.zone || !m.zoneCut(a.zone) && !m.zoneCut(b.zone)
}

func (m *machine) poll(t *rapid.T) {
	n := rapid.SampledFrom(m.nodes).Draw(t, "node")
	n.lastTry = m.now
	if !m.reachesStore(n) {
		return
	}
	head, _ := m.store.Get(context.Background(), config.HeadKey())
	all, _ := m.store.List(context.Background(), config.Partition)
	n.held.Update(all)
	n.held.Confirm(head.Version, m.now)
	n.lastBeat = m.now
}

// ask is what a node does whose own reads fail. An answer is taken in after
// the store's state has been looked at, as it is in the daemon.
func (m *machine) ask(t *rapid.T) {
	n := rapid.SampledFrom(m.nodes).Draw(t, "node")
	n.minds = nil
	for _, other := range m.nodes {
		if other == n || !m.reach(n, other) {
			continue
		}
		sees := m.reachesStore(other)
		n.minds = append(n.minds, config.PeerStatus{Zone: other.zone, StoreReachable: sees, ConfirmedAt: other.held.ConfirmedAt(), Head: other.held.Head(), InDoubt: other.held.InDoubt(), ReceivedAt: m.now})
		n.held.Update(other.held.Rows())
		n.held.Confirm(other.held.Head(), other.held.ConfirmedAt())
	}
	n.lastTry = m.now
}

// check holds every node that may serve against the accepted changes. A node
// judges itself by what it last heard, so it is asked right after it heard.
func (m *machine) check(t *rapid.T) {
	for i, n := range m.nodes {
		assert.Assert(t, n.held.Head() >= n.seen, "node %d went back from %d to %d", i, n.seen, n.held.Head())
		n.seen = n.held.Head()
		if n.lastTry != m.now || !n.held.MayServe(m.now, n.zone, zones, n.minds) {
			continue
		}
		for _, acceptance := range m.accepted {
			late := m.now.Sub(acceptance.at) > bound && n.held.Head() < acceptance.head
			assert.Assert(t, !late, "node %d may serve at %d though %d was accepted %s ago", i, n.held.Head(), acceptance.head, m.now.Sub(acceptance.at))
		}
	}
}

func TestNoNodeServesAnOldConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"pass": m.pass, "change": m.change, "outage": m.outage, "offline": m.offline,
			"cut": m.cutZone, "poll": m.poll, "ask": m.ask, "": m.check,
		})
	})
}

func TestMayServe(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	cache := config.NewCache(term)
	cache.Update([]rows.Row{{Key: config.SectionKey("team/x"), Version: 1, Body: []byte("x")}})
	cache.Confirm(1, now)
	late := now.Add(term)
	b, c := config.PeerStatus{Zone: "b", ReceivedAt: late}, config.PeerStatus{Zone: "c", ReceivedAt: late}
	sees := config.PeerStatus{Zone: "c", StoreReachable: true, ReceivedAt: late}
	expectServe := func(name string, want bool, at time.Time, witnesses ...config.PeerStatus) {
		t.Helper()
		assert.Equal(t, cache.MayServe(at, "a", zones, witnesses), want, name)
	}
	expectServe("fresh", true, now.Add(term-1))
	expectServe("alone", false, late)
	expectServe("store down for all", true, late, b, c)
	expectServe("a zone cut off", false, late, b)
	expectServe("someone is in doubt", false, late, b, config.PeerStatus{Zone: "c", InDoubt: true, ReceivedAt: late})
	expectServe("heard too long ago", false, late.Add(term), b, c)
	cache.Prepare("x", 2, now)
	expectServe("in doubt", false, late, b, c)
	expectServe("in doubt but fresh", true, now.Add(term-1))
	cache.Abort("x")
	expectServe("someone sees the store", false, late, b, sees)
	assert.Assert(t, !config.NewCache(term).MayServe(now, "a", zones, []config.PeerStatus{b, c}), "a node with no configuration")
}

func TestMergeKeepsOthersChanges(t *testing.T) {
	section := func(name, body string) intent.Section { return intent.Section{Name: name, Body: []byte(body)} }
	base := []intent.Section{section("a", "1"), section("b", "1"), section("c", "1")}
	current := []intent.Section{section("a", "2"), section("b", "1"), section("c", "1")}
	plan, conflicts := config.Merge(base, current, []intent.Section{section("a", "1"), section("b", "3")})
	assert.Equal(t, len(conflicts), 0)
	assert.DeepEqual(t, plan.Changes, []intent.Change{
		{Name: "b", Before: []byte("1"), After: []byte("3")}, {Name: "c", Before: []byte("1")},
	})
	assert.DeepEqual(t, plan.Sections, []intent.Section{section("a", "2"), section("b", "3")})

	_, conflicts = config.Merge(base, current, []intent.Section{section("a", "9"), section("b", "1"), section("c", "1")})
	assert.DeepEqual(t, conflicts, []config.Conflict{{Name: "a", Base: []byte("1"), Current: []byte("2"), Requested: []byte("9")}})

	plan, conflicts = config.Merge(base, current, []intent.Section{section("a", "2"), section("b", "1"), section("c", "1")})
	assert.Equal(t, len(plan.Changes)+len(conflicts), 0, "the same change twice")
}

func TestHeldNeverGoesBack(t *testing.T) {
	cache := config.NewCache(term)
	row := func(version int64) []rows.Row {
		return []rows.Row{{Key: config.SectionKey("team/x"), Version: version, Body: []byte(fmt.Sprint(version))}}
	}
	assert.Equal(t, len(cache.Update(row(3))), 1)
	cache.Confirm(5, time.Unix(50, 0))
	assert.Equal(t, len(cache.Update(row(2)))+len(cache.Update(row(3))), 0)
	cache.Confirm(4, time.Unix(60, 0))
	assert.Equal(t, cache.Head(), int64(5))
	assert.Equal(t, cache.ConfirmedAt(), time.Unix(50, 0), "a look at an older head confirms nothing")
	assert.Equal(t, string(cache.Rows()[0].Body), "3")
}
