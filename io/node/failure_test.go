package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/group"
	"hickorybend/io/admin"
	"hickorybend/io/fakes"
)

// replicaOf finds a whole serving replica as node 0 sees it.
func (c *cluster) replicaOf(t *testing.T) group.Replica {
	t.Helper()
	for _, replica := range c.report(0).Replicas {
		if replica.Complete && replica.Replica.State == group.StateServing {
			return replica.Replica
		}
	}
	t.Fatal("no whole replica")
	return group.Replica{}
}

// consistent checks that no host is in two replicas, by every replica's members.
func (c *cluster) consistent(t *testing.T) {
	t.Helper()
	for i := range c.nodes {
		if c.nodes[i].stopped {
			continue
		}
		owner := map[string]string{}
		for _, replica := range c.report(i).Replicas {
			for _, member := range replica.Replica.Members {
				assert.Equal(t, owner[member.Host], "", "host %s", member.Host)
				owner[member.Host] = replica.Replica.ID
			}
		}
	}
}

func TestHostDiesUnderStreams(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 2, true)
	c.up(3, true)
	replica := c.replicaOf(t)
	var streams sync.WaitGroup
	whole := make([]bool, 12)
	for i := range whole {
		streams.Go(func() { whole[i] = c.ask(i%2, fmt.Sprintf("prompt %d", i), 120) })
	}
	time.Sleep(300 * time.Millisecond)
	c.platform.Engine(replica.Members[1].Host).SetFault(fakes.EndpointFault{Dead: true})
	streams.Wait()
	for i := range whole {
		assert.Assert(t, whole[i], "stream %d was not completed elsewhere", i)
	}
	for i := range c.nodes {
		c.eventually("a spare takes the dead host's place", func() bool {
			_, still := c.memberNow(i, replica.ID, replica.Members[1].Host)
			return c.whole(i) == 3 && !still
		})
	}
	c.consistent(t)
	c.platform.Engine(replica.Members[1].Host).SetFault(fakes.EndpointFault{})
	c.eventually("the host that returned is told to let go", func() bool {
		return c.platform.Engine(replica.Members[1].Host).Status().Replica == ""
	})
}

func (c *cluster) memberNow(i int, replica, host string) (group.Member, bool) {
	for _, known := range c.report(i).Replicas {
		if known.Replica.ID == replica {
			return known.Replica.MemberOn(host)
		}
	}
	return group.Member{}, false
}

func TestReplicaWithAMissingHostGetsNothing(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1, true)
	c.up(1, true)
	replica := c.replicaOf(t)
	assert.Assert(t, c.ask(0, "before", 3))
	c.platform.Engine(replica.Members[1].Host).SetFault(fakes.EndpointFault{Paused: true})
	c.eventually("the replica is out of routing", func() bool {
		got := c.call(0, http.MethodPost, "/v1/completions", `{"model":"m","prompt":"x","max_tokens":1}`)
		return got.status == http.StatusServiceUnavailable && got.outcome == "not-run" && strings.Contains(got.body, "no_replica")
	})
}

func TestRestartedHostIsAnotherIncarnation(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1, false)
	c.up(3, false)
	replica := c.replicaOf(t)
	c.platform.Engine(replica.Members[0].Host).Restart()
	c.eventually("the replica is whole again under a later epoch", func() bool {
		for _, known := range c.report(0).Replicas {
			if known.Replica.ID == replica.ID && known.Complete && known.Replica.State == group.StateServing {
				return known.Replica.Epoch > replica.Epoch
			}
		}
		return false
	})
	assert.Assert(t, c.ask(0, "after", 3))
}

// TestAnswersAreWholeUnderEndpointFaults crosses, skips and truncates chunks on
// every engine but leaves the way to resume.
func TestAnswersAreWholeUnderEndpointFaults(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1, true)
	c.up(3, true)
	expectWhole := func(name string, fault fakes.EndpointFault) {
		t.Helper()
		c.platform.Engine(c.replicaOf(t).Members[0].Host).SetFault(fault)
		for i := range 9 {
			assert.Assert(t, c.ask(0, fmt.Sprintf("%s %d", name, i), 20), name)
		}
		for _, replica := range c.report(0).Replicas {
			c.platform.Engine(replica.Replica.Members[0].Host).SetFault(fakes.EndpointFault{})
		}
	}
	expectWhole("crossed", fakes.EndpointFault{ForeignChunks: 5})
	expectWhole("skipped", fakes.EndpointFault{SkipChunkAt: 4})
	expectWhole("late", fakes.EndpointFault{FirstTokenDelayMillis: 300, ForeignChunks: 2})
	expectWhole("truncated", fakes.EndpointFault{TruncateAfter: 7})
	expectWhole("straggling", fakes.EndpointFault{Slowdown: 4})
}

func TestHolderOfTheLeaseDies(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 3, false)
	c.up(3, false)
	holder := c.holder(t)
	c.nodes[holder].store.cut.Store(true)
	other := (holder + 1) % 3
	c.eventually("another node holds the lease", func() bool { return len(c.report(other).Leases)+len(c.report((holder+2)%3).Leases) > 0 })
	replica := c.replicaOf(t)
	c.platform.Engine(replica.Members[0].Host).SetFault(fakes.EndpointFault{Dead: true})
	c.eventually("it repairs what breaks", func() bool {
		_, still := c.memberNow(other, replica.ID, replica.Members[0].Host)
		return c.whole(other) == 3 && !still
	})
	c.nodes[holder].store.cut.Store(false)
	c.eventually("the old holder follows", func() bool { return c.whole(holder) == 3 })
	c.consistent(t)
}

func (c *cluster) holder(t *testing.T) int {
	t.Helper()
	found := -1
	c.eventually("one node holds the lease", func() bool {
		for i := range c.nodes {
			if len(c.report(i).Leases) > 0 {
				found = i
			}
		}
		return found >= 0
	})
	return found
}

func TestDrainOfAZoneCutsNothingOff(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4, 2, true)
	c.up(3, true)
	var streams sync.WaitGroup
	whole := make([]bool, 9)
	for i := range whole {
		streams.Go(func() { whole[i] = c.ask(i%2, fmt.Sprintf("drained %d", i), 150) })
	}
	time.Sleep(200 * time.Millisecond)
	assert.NilError(t, c.admin(0).Drain(t.Context(), admin.DrainRequest{Kind: admin.KindZone, Name: "za"}))
	streams.Wait()
	for i := range whole {
		assert.Assert(t, whole[i], "stream %d", i)
	}
	c.eventually("the zone is empty and the rest carries all", func() bool {
		inZone := 0
		for _, replica := range c.report(1).Replicas {
			if replica.Replica.Zone == "za" {
				inZone++
			}
		}
		return inZone == 0 && c.whole(1) == 3
	})
	c.consistent(t)
}

func TestNodeLeavesWithoutCuttingOff(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 2, true)
	c.up(3, true)
	holder := c.holder(t)
	done := make(chan bool)
	go func() { done <- c.ask(holder, "long", 150) }()
	time.Sleep(200 * time.Millisecond)
	c.stopNode(holder)
	assert.Assert(t, <-done, "the stream was cut off")
	c.eventually("the lease was handed on", func() bool { return len(c.report(1-holder).Leases) == 1 })
}

func TestNodeStartsWhileTheStoreIsDown(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 3, true)
	c.up(3, true)
	c.stopNode(2)
	c.platform.Table.SetFault(fakes.TableFault{Outage: true})
	c.start(2)
	c.eventually("it serves on what its peers know", func() bool { return c.ask(2, "in the dark", 3) })
	assert.Assert(t, c.ask(0, "still", 3), "a node that was up serves on")
	c.platform.Table.SetFault(fakes.TableFault{})
	c.eventually("the store is back", func() bool { return c.report(2).StoreReachable })
}

// TestDrainWaitsForWhatRuns drains a replica under a long stream: the replica's
// own stream ends on it, with nothing resumed elsewhere.
func TestDrainWaitsForWhatRuns(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1, true)
	c.up(1, true)
	replica := c.replicaOf(t)
	done := make(chan answer)
	go func() {
		done <- c.call(0, http.MethodPost, "/v1/completions", `{"model":"m","prompt":"long","max_tokens":700}`, "X-Request-Id", "long")
	}()
	time.Sleep(300 * time.Millisecond)
	assert.NilError(t, c.admin(0).Drain(t.Context(), admin.DrainRequest{Kind: admin.KindEndpoint, Name: replica.Members[0].Host}))
	got := <-done
	assert.Equal(t, got.status, http.StatusOK, got.body)
	explanation, err := c.admin(0).Explain(t.Context(), "long")
	assert.NilError(t, err)
	assert.Equal(t, len(explanation.Attempts), 1, "it was moved: %+v", explanation.Attempts)
	c.eventually("the drained replica is gone", func() bool {
		_, still := c.memberNow(0, replica.ID, replica.Members[0].Host)
		return !still
	})
}

// TestDrainedReplicaIsReleased drains one replica by its name: it goes, and
// another serves in its place.
func TestDrainedReplicaIsReleased(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1, true)
	c.up(2, true)
	replica := c.replicaOf(t)
	assert.NilError(t, c.admin(0).Drain(t.Context(), admin.DrainRequest{Kind: admin.KindReplica, Name: replica.ID}))
	c.eventually("it is gone and another serves", func() bool {
		_, still := c.memberNow(0, replica.ID, replica.Members[0].Host)
		return !still && c.whole(0) == 2
	})
	assert.Assert(t, c.ask(0, "after", 3))
}
