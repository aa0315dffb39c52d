package route_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hickorybend/core/route"
)

var start = time.Unix(1_000_000, 0)

func tableOf(count int) *route.Table {
	table := &route.Table{Policy: route.DefaultPolicy(), Start: start}
	for i := range count {
		replicastate := &route.ReplicaState{}
		replicastate.SetCompleteUntil(start, start.Add(time.Hour))
		table.Replicas = append(table.Replicas, route.Replica{
			ID: fmt.Sprintf("r%d", i), Hash: route.Mix(uint64(i)), MaxStreams: 16, State: replicastate,
		})
	}
	return table
}

// naivePick is a simple reference implementation of Pick: it sorts all candidates
// by cost.
func naivePick(table *route.Table, request route.Request) int {
	type candidate struct {
		index int
		cost  time.Duration
	}
	order := make([]int, 0, len(table.Replicas))
	for i, replica := range table.Replicas {
		if !replica.Ejected {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := route.Mix(request.PrefixHash^table.Replicas[a].Hash), route.Mix(request.PrefixHash^table.Replicas[b].Hash)
		if x > y {
			return -1
		}
		return 1
	})
	bonus := map[int]time.Duration{}
	if request.PrefixHash != 0 {
		for rank, index := range order[:min(2, len(order))] {
			bonus[index] = table.Policy.WarmPrefix / time.Duration(rank+1)
		}
	}
	var candidates []candidate
	for i := range table.Replicas {
		replica := &table.Replicas[i]
		if !replica.State.Complete(start, request.Now) || slices.Contains(request.Avoid, replica.ID) {
			continue
		}
		load, streams := route.EstimatedStreams(replica), replica.MaxStreams
		cost := time.Duration(float64(table.Policy.FullBatch) * float64(min(load, streams)) / float64(streams))
		cost += table.Policy.QueuedStream * time.Duration(max(load-streams, 0))
		cost += []time.Duration{0, table.Policy.OtherZone, table.Policy.OtherZone + table.Policy.OtherRegion}[replica.Distance]
		cost += time.Duration(route.Mix(request.Salt^replica.Hash) >> 32 * uint64(table.Policy.Jitter) >> 32)
		if replica.Ejected {
			cost += time.Hour
		}
		candidates = append(candidates, candidate{index: i, cost: cost - bonus[i]})
	}
	if len(candidates) == 0 {
		return route.None
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return int(a.cost - b.cost) })
	return candidates[0].index
}

// TestPickAgreesWithTheNaivePick compares Pick with the reference implementation.
func TestPickAgreesWithTheNaivePick(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := tableOf(rapid.IntRange(0, 12).Draw(t, "replicas"))
		for i := range table.Replicas {
			replica := &table.Replicas[i]
			replica.Distance = route.Distance(rapid.IntRange(0, 2).Draw(t, "distance"))
			replica.OtherStreams = rapid.IntRange(0, 40).Draw(t, "other streams")
			replica.Ejected = rapid.IntRange(0, 5).Draw(t, "ejected") == 0
			for range rapid.IntRange(0, 10).Draw(t, "own streams") {
				replica.State.Begin()
			}
			if rapid.IntRange(0, 4).Draw(t, "expired") == 0 {
				replica.State.SetCompleteUntil(start, start)
			}
		}
		request := route.Request{
			Now: start.Add(time.Second), PrefixHash: rapid.Uint64().Draw(t, "prefix"), Salt: rapid.Uint64().Draw(t, "salt"),
		}
		if rapid.Bool().Draw(t, "avoid") {
			request.Avoid = []string{"r0", "r1"}
		}
		assert.Equal(t, table.Pick(request), naivePick(table, request))
	})
}

// TestReplicaWithExpiredStatusIsNotPicked checks that a replica gets no request
// once the deadline has come until which it was known to be complete.
func TestReplicaWithExpiredStatusIsNotPicked(t *testing.T) {
	table := tableOf(1)
	table.Replicas[0].State.SetCompleteUntil(start, start.Add(time.Second))
	assert.Equal(t, table.Pick(route.Request{Now: start.Add(time.Second - 1)}), 0)
	assert.Equal(t, table.Pick(route.Request{Now: start.Add(time.Second)}), route.None)
	table.Replicas[0].State.SetCompleteUntil(start, time.Time{})
	assert.Equal(t, table.Pick(route.Request{Now: start}), route.None)
}

// TestNodesDoNotHerd has many nodes choose at once by the same stale report, in
// which one replica looks idle: that replica must not get all requests.
func TestNodesDoNotHerd(t *testing.T) {
	counts := make([]int, 8)
	for node := range 8 {
		table := tableOf(8)
		for i := range table.Replicas {
			table.Replicas[i].OtherStreams = 8
		}
		table.Replicas[0].OtherStreams = 4
		for request := range 16 {
			index := table.Pick(route.Request{Now: start, Salt: route.Mix(uint64(node*100 + request))})
			table.Replicas[index].State.Begin()
			counts[index]++
		}
	}
	assert.Assert(t, counts[0] < 64, "128 requests, %v", counts)
	assert.Assert(t, slices.Min(counts) > 0, "%v", counts)
}

// TestStragglerIsEjectedAndReturns has three of ten replicas slow: two are ejected,
// and return once they are fast again or their time is over.
func TestStragglerIsEjectedAndReturns(t *testing.T) {
	policy := route.DefaultPolicy()
	table := tableOf(10)
	recordLatencies := func(stragglerLatency time.Duration) {
		for range 40 {
			for i := range table.Replicas {
				table.Replicas[i].State.RecordFirstToken(50 * time.Millisecond)
			}
			table.Replicas[3].State.RecordFirstToken(stragglerLatency)
			table.Replicas[4].State.RecordFirstToken(stragglerLatency)
			table.Replicas[5].State.RecordFirstToken(stragglerLatency)
		}
	}
	recordLatencies(time.Second)
	ejected := route.Eject(policy, table.Replicas, nil, start)
	assert.Equal(t, len(ejected), 2, "at most a fifth may be ejected")
	kept := route.Eject(policy, table.Replicas, ejected, start.Add(time.Second))
	assert.DeepEqual(t, kept, ejected)
	recordLatencies(50 * time.Millisecond)
	assert.Equal(t, len(route.Eject(policy, table.Replicas, ejected, start.Add(time.Second))), 0, "the replicas are fast again")
	recordLatencies(time.Second)
	later := route.Eject(policy, table.Replicas, ejected, start.Add(policy.MaxEjectionTime))
	assert.Assert(t, !slices.ContainsFunc(later, func(e route.Ejection) bool { return e.ID == ejected[0].ID }), "the time of the ejection is over, so the replica is tried again")
}

// TestInFlightHistoryAt checks look-ups at, between and before the samples that are
// kept, and without samples.
func TestInFlightHistoryAt(t *testing.T) {
	inflighthistory := &route.InFlightHistory{}
	for i := range 40 {
		inflighthistory.Record(i, start.Add(time.Duration(i)*time.Second))
	}
	assert.Equal(t, inflighthistory.At(start.Add(30*time.Second)), 30)
	assert.Equal(t, inflighthistory.At(start.Add(35500*time.Millisecond)), 35)
	assert.Equal(t, inflighthistory.At(start), 8, "the oldest sample that is kept")
	assert.Equal(t, (&route.InFlightHistory{}).At(start), 0)
}

// TestOtherStreamsAreSmoothed checks that a report moves the other nodes' streams
// by a fifth of the difference, that a report counts once, and that one with fewer
// streams than this node's own counts as none.
func TestOtherStreamsAreSmoothed(t *testing.T) {
	inflighthistory := &route.InFlightHistory{}
	inflighthistory.Record(3, start)
	expectOtherStreams := func(reported int, after time.Duration, want int) {
		t.Helper()
		assert.Equal(t, inflighthistory.OtherStreams(reported, start.Add(after), 0), want)
	}
	expectOtherStreams(13, time.Second, 10)
	expectOtherStreams(3, time.Second, 10)
	expectOtherStreams(3, 2*time.Second, 8)
	expectOtherStreams(3, 3*time.Second, 6)
	expectOtherStreams(0, 40*time.Second, 5)
}

func TestPickAllocatesNothing(t *testing.T) {
	table := tableOf(300)
	request := route.Request{Now: start, PrefixHash: 7, Salt: 9}
	assert.Equal(t, testing.AllocsPerRun(100, func() { table.Pick(request) }), 0.0)
}

func BenchmarkPickAmong300(b *testing.B) {
	table := tableOf(300)
	for b.Loop() {
		table.Pick(route.Request{Now: start, PrefixHash: 7, Salt: 9})
	}
}

func TestUtilization(t *testing.T) {
	table := tableOf(2)
	expectUtilization := func(name string, wantUtilization float64, wantQueue time.Duration) {
		t.Helper()
		utilization, queue := table.Utilization(start)
		assert.Equal(t, utilization, wantUtilization, name)
		assert.Equal(t, queue, wantQueue, name)
	}
	expectUtilization("idle", 0, 0)
	table.Replicas[0].OtherStreams = 48
	expectUtilization("queue", 1.5, 8*table.Policy.QueuedStream)
	table.Replicas[1].State.SetCompleteUntil(start, start)
	expectUtilization("half of the replicas not complete", 3, 32*table.Policy.QueuedStream)
	table.Replicas[0].State.SetCompleteUntil(start, start)
	expectUtilization("no replica complete", -1, 0)
}
