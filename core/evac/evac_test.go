package evac_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/evac"
	"hickorybend/core/rows"
)

var start = time.Unix(1000, 0)

// state returns a state from a text such as "a@3 b@5", complete up to a version.
func state(version rows.Version, text string) evac.State {
	var changes []evac.Change
	for _, field := range strings.Fields(text) {
		zone, number, _ := strings.Cut(field, "@")
		var at int64
		_, _ = fmt.Sscan(number, &at)
		changes = append(changes, evac.Change{Zone: zone, Version: rows.NewVersion(version.Era(), at)})
	}
	return evac.Read(changes, version, start)
}

func describe(state evac.State) string {
	var names []string
	for _, zone := range state.Zones {
		names = append(names, zone.Name)
	}
	return fmt.Sprintf("%d.%d %s", state.Version.Era(), state.Version.Number(), strings.Join(names, " "))
}

func expectState(t *testing.T, got evac.State, want string) {
	t.Helper()
	assert.Equal(t, strings.TrimSpace(describe(got)), want)
}

// TestMerge guards against a node that misses an evacuation which another one knows, or
// takes an older copy for the removal of a row.
func TestMerge(t *testing.T) {
	era := func(number int64) rows.Version { return rows.NewVersion(1, number) }
	for _, test := range []struct {
		name       string
		own, other evac.State
		want       string
	}{
		{"nothing known", evac.State{}, evac.State{}, "0.0"},
		{"first news", evac.State{}, state(5, "a@3"), "0.5 a"},
		{"a newer row", state(4, "a@3"), state(6, "a@3 b@6"), "0.6 a b"},
		{"an older copy without the row", state(6, "a@6"), state(4, ""), "0.6 a"},
		{"a newer copy without the row", state(6, "a@6"), state(9, ""), "0.9"},
		{"one of two removed", state(6, "a@5 b@6"), state(9, "b@6"), "0.9 b"},
		{"removed and written again", state(6, ""), state(9, "a@9"), "0.9 a"},
		{"a page read after the version of its table", state(6, "a@8"), state(7, ""), "0.7 a"},
		{"the store went back and lost the row", state(90, "a@80"), state(era(70), ""), "1.70"},
		{"the store went back and has the row", state(90, "a@60"), state(era(70), "a@60"), "1.70 a"},
		{"the other node has not noticed that it went back", state(era(70), ""), state(95, "a@80"), "1.70"},
	} {
		t.Run(test.name, func(t *testing.T) {
			expectState(t, test.own.Merge(test.other), test.want)
			expectState(t, test.other.Merge(test.own), test.want)
		})
	}
}

// TestFollow checks changes as the store reports them, also late and twice.
func TestFollow(t *testing.T) {
	put := func(zone string, version rows.Version) evac.Change {
		return evac.Change{Zone: zone, Version: version}
	}
	removed := func(zone string, version rows.Version) evac.Change {
		return evac.Change{Zone: zone, Version: version, Removed: true}
	}
	for _, test := range []struct {
		name    string
		own     evac.State
		changes []evac.Change
		version rows.Version
		want    string
	}{
		{"before the first read", evac.State{}, []evac.Change{put("a", 3)}, 3, "0.0"},
		{"no change", state(4, "a@3"), nil, 9, "0.9 a"},
		{"a row", state(4, ""), []evac.Change{put("a", 5)}, 5, "0.5 a"},
		{"two zones", state(4, ""), []evac.Change{put("b", 6), put("a", 5)}, 6, "0.6 a b"},
		{"one of two removed", state(4, "a@2 b@3"), []evac.Change{removed("a", 7)}, 7, "0.7 b"},
		{"put and removed", state(4, ""), []evac.Change{removed("a", 7), put("a", 5)}, 7, "0.7"},
		{"removed and put", state(4, "a@3"), []evac.Change{removed("a", 5), put("a", 6)}, 6, "0.6 a"},
		{"a late answer", state(8, ""), []evac.Change{put("a", 5)}, 6, "0.8"},
		{"another era", state(8, "a@3"), []evac.Change{removed("a", rows.NewVersion(1, 9))}, rows.NewVersion(1, 9), "0.8 a"},
	} {
		t.Run(test.name, func(t *testing.T) {
			expectState(t, test.own.Follow(test.changes, test.version, start), test.want)
		})
	}
}

// TestSinceIsTheEarliest guards against an age of an evacuation that begins anew with
// each node that learns of it.
func TestSinceIsTheEarliest(t *testing.T) {
	early := state(5, "a@3")
	late := evac.Read([]evac.Change{{Zone: "a", Version: 3}}, 6, start.Add(time.Minute))
	for _, merged := range []evac.State{early.Merge(late), late.Merge(early)} {
		assert.Equal(t, merged.Zones[0].Since, start)
	}
	rewritten := early.Follow([]evac.Change{{Zone: "a", Version: 9}}, 9, start.Add(time.Hour))
	assert.Equal(t, rewritten.Zones[0].Since, start)
}

// TestReplay has nodes read the store at random times and exchange their states at
// random, while zones are evacuated and taken back and the store goes back twice. A node
// never holds what neither the store at some time nor a later state had, and all agree
// with the store in the end.
func TestReplay(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		nodes := make([]evac.State, 7)
		var store, snapshot evac.State
		store = state(1, "")
		snapshot = store
		for step := range 300 {
			version := rows.NewVersion(store.Version.Era(), store.Version.Number()+1)
			change := evac.Change{Zone: string(rune('a' + random.IntN(3))), Version: version, Removed: random.IntN(2) == 0}
			switch random.IntN(6) {
			case 0:
				previous := store
				store = store.Follow([]evac.Change{change}, version, start)
				follower := random.IntN(len(nodes))
				if nodes[follower].Version == previous.Version {
					nodes[follower] = nodes[follower].Follow([]evac.Change{change}, version, start)
				}
			case 1:
				reader := random.IntN(len(nodes))
				nodes[reader] = nodes[reader].Merge(store)
			default:
				a, b := random.IntN(len(nodes)), random.IntN(len(nodes))
				nodes[a] = nodes[a].Merge(nodes[b])
			}
			if step == 50 {
				snapshot = store
			}
			if step == 100 || step == 200 {
				store = snapshot
				store.Version = rows.NewVersion(int64(step/100), store.Version.Number()+1)
				for i := range store.Zones {
					store.Zones[i].Version = rows.NewVersion(int64(step/100), store.Zones[i].Version.Number())
				}
			}
		}
		nodes[0] = nodes[0].Merge(store)
		for i := range nodes {
			nodes[i] = nodes[i].Merge(nodes[0])
			assert.Assert(t, nodes[i].SameZones(store) && nodes[i].Version == store.Version, "seed %d, node %d: %s, the store has %s", seed, i, describe(nodes[i]), describe(store))
		}
	}
}
