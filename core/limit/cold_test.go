package limit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/limit"
	"hickorybend/core/reach"
)

// cold is what a cold endpoint of deployment B takes: 26 requests in any second.
var cold = limit.Cold{PerSecond: 14, Over: 1.5, Slack: 5}

const (
	coldBound  = 26
	maxTransit = 60 * time.Millisecond // by which arrivals are later than the turns taken
)

// view is a node and the members as it lists them.
type view struct {
	self    string
	members []string
}

func memberNames(count int) (names []string) {
	for i := range count {
		names = append(names, fmt.Sprint("node-", i))
	}
	return names
}

// sameViews returns the views of all members, which list the same.
func sameViews(members []string) (views []view) {
	for _, name := range members {
		views = append(views, view{name, members})
	}
	return views
}

// arrivals lets each node send whenever its share permits it, while the endpoint is cold
// from a time on, and returns when the requests arrive, in order. Before that, the nodes
// send before requests each in a second.
func arrivals(views []view, random *rand.Rand, before int) []time.Duration {
	start := time.Unix(1000, 0)
	loads := make([]*reach.Load, len(views))
	for i, view := range views {
		loads[i] = &reach.Load{}
		loads[i].SetRate(limit.ColdShare("e", view.self, cold, view.members))
	}
	var arrived []time.Duration
	for range before * len(views) {
		arrived = append(arrived, -time.Duration(random.Int64N(int64(time.Second)))+time.Duration(random.Int64N(int64(maxTransit))))
	}
	for at := time.Duration(0); at < 20*time.Second; at += 5 * time.Millisecond {
		for _, load := range loads {
			if !load.Limited(start.Add(at)) && load.TakeTurn(start.Add(at)) {
				arrived = append(arrived, at+time.Duration(random.Int64N(int64(maxTransit))))
			}
		}
	}
	slices.Sort(arrived)
	return arrived
}

// mostInASecond returns the most arrivals in any second from a time on.
func mostInASecond(arrived []time.Duration, from time.Duration) int {
	most := 0
	for i, at := range arrived {
		if at >= from {
			end, _ := slices.BinarySearch(arrived, at+time.Second)
			most = max(most, end-i)
		}
	}
	return most
}

// expectWithin checks that no second has more arrivals than the bound, and that the
// quota is used at a rate at least.
func expectWithin(t *testing.T, views []view, leastPerSecond float64) {
	t.Helper()
	arrived := arrivals(views, rand.New(rand.NewPCG(uint64(len(views)), 7)), 0)
	most, rate := mostInASecond(arrived, 0), float64(len(arrived))/20
	t.Logf("%d views: at most %d in a second, %.1f a second", len(views), most, rate)
	assert.Check(t, most <= coldBound, "%d requests in a second", most)
	assert.Check(t, rate >= leastPerSecond, "%.1f requests a second", rate)
}

// TestColdQuota guards against nodes that together pass the bound of a cold endpoint, or
// leave its quota unused.
func TestColdQuota(t *testing.T) {
	for _, count := range []int{1, 2, 3, 6, 12, 13, 79, 133, 390} {
		t.Run(fmt.Sprint(count), func(t *testing.T) { expectWithin(t, sameViews(memberNames(count)), 0.7*cold.PerSecond) })
	}
}

// TestColdQuotaInPartition guards against two sides of a partition that know nothing of
// each other and pass the bound together.
func TestColdQuotaInPartition(t *testing.T) {
	for _, sizes := range [][2]int{{1, 1}, {1, 2}, {3, 3}, {6, 6}, {4, 8}, {26, 53}, {39, 40}, {44, 89}, {1, 132}} {
		t.Run(fmt.Sprint(sizes), func(t *testing.T) {
			members := memberNames(sizes[0] + sizes[1])
			expectWithin(t, append(sameViews(members[:sizes[0]]), sameViews(members[sizes[0]:])...), 0.7*cold.PerSecond)
		})
	}
}

// TestColdQuotaWithStaleLists guards against nodes that pass the bound while the rows of up
// to half of the nodes are removed one after the other, as of nodes that are cut off but
// still send, and each node has the list of another moment.
func TestColdQuotaWithStaleLists(t *testing.T) {
	for _, count := range []int{40, 79, 133} {
		for seed := range uint64(200) {
			random := rand.New(rand.NewPCG(seed, 3))
			members := memberNames(count)
			random.Shuffle(count, func(i, j int) { members[i], members[j] = members[j], members[i] })
			var views []view
			for i, self := range members {
				removed := random.IntN(count/2 + 1)
				views = append(views, view{self, members[min(removed, i):]}) // no node misses its own row
			}
			most := mostInASecond(arrivals(views, random, 0), 0)
			assert.Check(t, most <= coldBound, "%d nodes, seed %d: %d requests in a second", count, seed, most)
		}
	}
}

// TestColdAgainUnderLoad guards against a burst when an endpoint turns cold under load: the
// nodes have not sent it more than it takes in the second before, but all owners have
// a turn at once. Requests that arrive before the first second after the news are not
// counted against the endpoint's bound alone, but may not pass it together with those of the
// owners either where the load before was moderate.
func TestColdAgainUnderLoad(t *testing.T) {
	for _, count := range []int{3, 6, 12} {
		arrived := arrivals(sameViews(memberNames(count)), rand.New(rand.NewPCG(1, uint64(count))), 12/count)
		most := mostInASecond(arrived, -time.Second)
		assert.Check(t, most <= coldBound, "%d nodes: %d requests in a second", count, most)
	}
}

// TestNodeOutsideTheListSendsNothing guards against a node whose own row is not in its list,
// and which other nodes may not know.
func TestNodeOutsideTheListSendsNothing(t *testing.T) {
	for _, test := range []struct {
		name    string
		members []string
		cold    limit.Cold
	}{
		{"no list", nil, cold},
		{"a list without it", memberNames(5), cold},
		{"a bound of 0", []string{"self"}, limit.Cold{PerSecond: 0.4, Over: 1}},
		{"nothing taken", []string{"self"}, limit.Cold{Over: 1, Slack: 5}},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, limit.ColdShare("e", "self", test.cold, test.members), 0.0)
		})
	}
}

// TestColdOwners guards against nodes that send requests on to one that may not send them.
func TestColdOwners(t *testing.T) {
	for _, count := range []int{1, 12, 79, 133} {
		members := memberNames(count)
		var want []string
		for _, name := range members {
			if limit.ColdShare("e", name, cold, members) > 0 {
				want = append(want, name)
			}
		}
		got := limit.ColdOwners("e", cold, members)
		slices.Sort(got)
		slices.Sort(want)
		assert.DeepEqual(t, got, want)
	}
}
