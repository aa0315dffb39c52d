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

// naivePick sorts all candidates by a cost written down plainly.
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
		x, y := route.Mix(request.Prefix^table.Replicas[a].Hash), route.Mix(request.Prefix^table.Replicas[b].Hash)
		if x > y {
			return -1
		}
		return 1
	})
	bonus := map[int]time.Duration{}
	if request.Prefix != 0 {
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
		load, streams := route.Load(replica), replica.MaxStreams
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

func TestPickAgreesWithTheNaivePick(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := tableOf(rapid.IntRange(0, 12).Draw(t, "replicas"))
		for i := range table.Replicas {
			replica := &table.Replicas[i]
			replica.Distance = route.Distance(rapid.IntRange(0, 2).Draw(t, "distance"))
			replica.OtherStreams = rapid.IntRange(0, 40).Draw(t, "others")
			replica.Ejected = rapid.IntRange(0, 5).Draw(t, "ejected") == 0
			for range rapid.IntRange(0, 10).Draw(t, "own now") {
				replica.State.Begin()
			}
			if rapid.IntRange(0, 4).Draw(t, "lapsed") == 0 {
				replica.State.SetCompleteUntil(start, start)
			}
		}
		request := route.Request{
			Now: start.Add(time.Second), Prefix: rapid.Uint64().Draw(t, "prefix"), Salt: rapid.Uint64().Draw(t, "salt"),
		}
		if rapid.Bool().Draw(t, "avoid") {
			request.Avoid = []string{"r0", "r1"}
		}
		assert.Equal(t, table.Pick(request), naivePick(table, request))
	})
}

func TestNoReplicaOnceItsEvidenceLapses(t *testing.T) {
	table := tableOf(1)
	table.Replicas[0].State.SetCompleteUntil(start, start.Add(time.Second))
	assert.Equal(t, table.Pick(route.Request{Now: start.Add(time.Second - 1)}), 0)
	assert.Equal(t, table.Pick(route.Request{Now: start.Add(time.Second)}), route.None)
	table.Replicas[0].State.SetCompleteUntil(start, time.Time{})
	assert.Equal(t, table.Pick(route.Request{Now: start}), route.None)
}

// TestNodesDoNotHerd lets many nodes choose at once on the same stale report,
// in which one replica looks idle: it must not get them all.
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

func TestStragglerIsEjectedAndReturns(t *testing.T) {
	policy := route.DefaultPolicy()
	table := tableOf(10)
	feed := func(slow time.Duration) {
		for range 40 {
			for i := range table.Replicas {
				table.Replicas[i].State.RecordFirstToken(50 * time.Millisecond)
			}
			table.Replicas[3].State.RecordFirstToken(slow)
			table.Replicas[4].State.RecordFirstToken(slow)
			table.Replicas[5].State.RecordFirstToken(slow)
		}
	}
	feed(time.Second)
	out := route.Eject(policy, table.Replicas, nil, start)
	assert.Equal(t, len(out), 2, "the share that may be out is a fifth")
	kept := route.Eject(policy, table.Replicas, out, start.Add(time.Second))
	assert.DeepEqual(t, kept, out)
	feed(50 * time.Millisecond)
	assert.Equal(t, len(route.Eject(policy, table.Replicas, out, start.Add(time.Second))), 0, "it is well again")
	feed(time.Second)
	back := route.Eject(policy, table.Replicas, out, start.Add(policy.MaxEjectionTime))
	assert.Assert(t, !slices.ContainsFunc(back, func(e route.Ejection) bool { return e.ID == out[0].ID }), "its time is over, so it is tried again")
}

func TestSamplesFindTheCountThen(t *testing.T) {
	inflighthistory := &route.InFlightHistory{}
	for i := range 40 {
		inflighthistory.Record(i, start.Add(time.Duration(i)*time.Second))
	}
	assert.Equal(t, inflighthistory.At(start.Add(30*time.Second)), 30)
	assert.Equal(t, inflighthistory.At(start.Add(35500*time.Millisecond)), 35)
	assert.Equal(t, inflighthistory.At(start), 8, "the oldest that is remembered")
	assert.Equal(t, (&route.InFlightHistory{}).At(start), 0)
}

func TestOthersAreSmoothedOverReports(t *testing.T) {
	inflighthistory := &route.InFlightHistory{}
	inflighthistory.Record(3, start)
	expectOthers := func(reported int, after time.Duration, want int) {
		t.Helper()
		assert.Equal(t, inflighthistory.OtherStreams(reported, start.Add(after), 0), want)
	}
	expectOthers(13, time.Second, 10)
	expectOthers(3, time.Second, 10)
	expectOthers(3, 2*time.Second, 8)
	expectOthers(3, 3*time.Second, 6)
	expectOthers(0, 40*time.Second, 5)
}

func TestPickAllocatesNothing(t *testing.T) {
	table := tableOf(300)
	request := route.Request{Now: start, Prefix: 7, Salt: 9}
	assert.Equal(t, testing.AllocsPerRun(100, func() { table.Pick(request) }), 0.0)
}

func BenchmarkPickAmong300(b *testing.B) {
	table := tableOf(300)
	for b.Loop() {
		table.Pick(route.Request{Now: start, Prefix: 7, Salt: 9})
	}
}

func TestPressure(t *testing.T) {
	table := tableOf(2)
	expectPressure := func(name string, want float64, wait time.Duration) {
		t.Helper()
		load, queue := table.Utilization(start)
		assert.Equal(t, load, want, name)
		assert.Equal(t, queue, wait, name)
	}
	expectPressure("idle", 0, 0)
	table.Replicas[0].OtherStreams = 48
	expectPressure("a queue", 1.5, 8*table.Policy.QueuedStream)
	table.Replicas[1].State.SetCompleteUntil(start, start)
	expectPressure("half of the replicas gone", 3, 32*table.Policy.QueuedStream)
	table.Replicas[0].State.SetCompleteUntil(start, start)
	expectPressure("none whole", -1, 0)
}
