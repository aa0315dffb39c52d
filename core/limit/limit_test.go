package limit_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/limit"
	"hickorybend/core/reach"
)

const (
	window      = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
)

// listFrom returns the nodes as one of them lists them.
func listFrom(nodes []limit.Node, first int) []limit.Node {
	return append([]limit.Node{nodes[first]}, slices.Delete(slices.Clone(nodes), first, first+1)...)
}

func newNodes(count int, rate func(i int) float64) (nodes []limit.Node) {
	for i := range count {
		nodes = append(nodes, limit.Node{Name: fmt.Sprint("node-", i), Rate: rate(i)})
	}
	return nodes
}

// TestSharesAddUpToTheLimit checks for all sizes that the nodes' shares add up to the
// limit.
func TestSharesAddUpToTheLimit(t *testing.T) {
	for _, count := range []int{1, 2, 6, 12, 75, 390} {
		for _, perSecond := range []float64{0.2, 1.2, 3.2, 20, 1000} {
			nodes := newNodes(count, func(i int) float64 { return float64(i % 5) })
			sum := 0.0
			for i := range nodes {
				sum += limit.Share("e", perSecond, listFrom(nodes, i))
			}
			assert.Assert(t, math.Abs(sum-perSecond) < 1e-9*perSecond, "%d nodes, limit %g: %g", count, perSecond, sum)
		}
	}
}

// TestShareFollowsDemand checks that a node with more requests gets more, and one
// without any still something.
func TestShareFollowsDemand(t *testing.T) {
	nodes := []limit.Node{{Name: "busy", Rate: 30}, {Name: "other", Rate: 10}, {Name: "idle"}}
	busy, other, idle := limit.Share("e", 8, listFrom(nodes, 0)), limit.Share("e", 8, listFrom(nodes, 1)), limit.Share("e", 8, listFrom(nodes, 2))
	assert.Assert(t, busy > 2.5*other && idle > 0.1 && idle < other, "%g, %g, %g", busy, other, idle)
	alone := limit.Share("e", 0, []limit.Node{{Name: "alone"}})
	assert.Assert(t, alone > 0 && alone <= 0.1, "%g for a limit of 0: somebody has to learn that it has ended", alone)
}

// TestNodesStayWithinTheLimit lets all nodes send whenever their shares permit it,
// while their views of each other's rates differ by a fifth: no window has more than
// half as much again as the limit allows and five requests.
func TestNodesStayWithinTheLimit(t *testing.T) {
	for _, count := range []int{1, 3, 6, 12, 390} {
		for _, perSecond := range []float64{0, 0.2, 0.5, 1.2, 2.7, 3.2, 20} {
			t.Run(fmt.Sprint(count, perSecond), func(t *testing.T) {
				random := rand.New(rand.NewPCG(uint64(count), math.Float64bits(perSecond)))
				nodes := newNodes(count, func(int) float64 { return 1 + 20*random.Float64() })
				var loads []*reach.Load
				for i := range nodes {
					load, list := &reach.Load{}, listFrom(nodes, i)
					for j := range list {
						list[j].Rate *= 0.9 + 0.2*random.Float64()
					}
					load.SetRate(limit.Share("e", perSecond, list))
					loads = append(loads, load)
				}
				var sent []time.Time
				for at := time.Unix(1000, 0); at.Before(time.Unix(1030, 0)); at = at.Add(10 * time.Millisecond) {
					for _, load := range loads {
						if !load.Limited(at) && load.TakeTurn(at) {
							sent = append(sent, at)
						}
					}
				}
				most := 0
				for i := range sent {
					end, _ := slices.BinarySearchFunc(sent, sent[i].Add(window), time.Time.Compare)
					most = max(most, end-i)
				}
				allowed := limitFactor*perSecond*window.Seconds() + limitExtra
				assert.Assert(t, float64(most) <= allowed, "%d requests in %s, allowed are %g", most, window, allowed)
			})
		}
	}
}

// TestNodesOfTwoVersionsAgree guards against a change of the order in which nodes may
// use an endpoint: while a site is updated, two versions would allow two sets of nodes.
// The figures are those of commit 55e9d0c.
func TestNodesOfTwoVersionsAgree(t *testing.T) {
	nodes := newNodes(390, func(i int) float64 { return float64(i % 5) })
	for _, test := range []struct {
		perSecond float64
		want      map[int]float64
	}{
		{0.5, map[int]float64{175: 0.022727, 179: 0.30303, 292: 0.151515, 300: 0.022727}},
		{1.2, map[int]float64{175: 0.044444, 179: 0.634921, 231: 0.15873, 292: 0.31746, 300: 0.044444}},
		{3.2, map[int]float64{12: 0.550369, 175: 0.086486, 177: 0.550369, 179: 1.100737, 231: 0.275184, 292: 0.550369, 300: 0.086486}},
	} {
		got := map[int]float64{}
		for i := range nodes {
			if share := limit.Share("i-0123456789", test.perSecond, listFrom(nodes, i)); share > 0 {
				got[i] = math.Round(share*1e6) / 1e6
			}
		}
		assert.DeepEqual(t, got, test.want)
	}
}

// BenchmarkShare computes the share of one endpoint among 390 nodes, for a node that
// does not use it and for one that does.
func BenchmarkShare(b *testing.B) {
	nodes := newNodes(390, func(int) float64 { return 0 })
	for _, first := range []int{0, 179} {
		b.Run(fmt.Sprint(first), func(b *testing.B) {
			listed := listFrom(nodes, first)
			b.ReportAllocs()
			for b.Loop() {
				limit.Share("i-0123456789", 3.2, listed)
			}
		})
	}
}
