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

// servingReplica returns a complete serving replica that node 0 reports.
func (cluster *cluster) servingReplica(t *testing.T) group.Replica {
	t.Helper()
	for _, replica := range cluster.report(0).Replicas {
		if replica.Complete && replica.Replica.State == group.StateServing {
			return replica.Replica
		}
	}
	t.Fatal("no complete serving replica")
	return group.Replica{}
}

// checkMembership checks on every node that no host is a member of two replicas.
func (cluster *cluster) checkMembership(t *testing.T) {
	t.Helper()
	for i := range cluster.nodes {
		if cluster.nodes[i].stopped {
			continue
		}
		owner := map[string]string{}
		for _, replica := range cluster.report(i).Replicas {
			for _, member := range replica.Replica.Members {
				assert.Equal(t, owner[member.Host], "", "host %s", member.Host)
				owner[member.Host] = replica.Replica.ID
			}
		}
	}
}

// TestStreamsSurviveHostFailure checks that streams complete although a host of a
// replica fails, that a spare replaces the host, and that the host, once it is back, is
// released from the replica that it still reports.
func TestStreamsSurviveHostFailure(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, 3, 2, true)
	cluster.bringUp(3, true)
	replica := cluster.servingReplica(t)
	var streams sync.WaitGroup
	completed := make([]bool, 12)
	for i := range completed {
		streams.Go(func() { completed[i] = cluster.completes(i%2, fmt.Sprintf("prompt %d", i), 120) })
	}
	time.Sleep(300 * time.Millisecond)
	cluster.platform.Engine(replica.Members[1].Host).SetFault(fakes.EndpointFault{Dead: true})
	streams.Wait()
	for i := range completed {
		assert.Assert(t, completed[i], "stream %d did not complete", i)
	}
	for i := range cluster.nodes {
		cluster.eventually("a spare replaces the failed host", func() bool {
			_, still := cluster.memberOf(i, replica.ID, replica.Members[1].Host)
			return cluster.completeReplicas(i) == 3 && !still
		})
	}
	cluster.checkMembership(t)
	cluster.platform.Engine(replica.Members[1].Host).SetFault(fakes.EndpointFault{})
	cluster.eventually("the returned host is released from the replica", func() bool {
		return cluster.platform.Engine(replica.Members[1].Host).Status().Replica == ""
	})
}

func (cluster *cluster) memberOf(i int, replica, host string) (group.Member, bool) {
	for _, known := range cluster.report(i).Replicas {
		if known.Replica.ID == replica {
			return known.Replica.MemberOn(host)
		}
	}
	return group.Member{}, false
}

// TestIncompleteReplicaGetsNoRequests guards against routing to a replica whose first
// host answers while another member does not.
func TestIncompleteReplicaGetsNoRequests(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, 2, 1, true)
	cluster.bringUp(1, true)
	replica := cluster.servingReplica(t)
	assert.Assert(t, cluster.completes(0, "before", 3))
	cluster.platform.Engine(replica.Members[1].Host).SetFault(fakes.EndpointFault{Paused: true})
	cluster.eventually("the replica is out of routing", func() bool {
		result := cluster.call(0, http.MethodPost, "/v1/completions", `{"model":"m","prompt":"x","max_tokens":1}`)
		return result.status == http.StatusServiceUnavailable && result.outcome == "not-run" && strings.Contains(result.body, "no_replica")
	})
}

// TestReplicaRecoversFromHostRestart checks that a first host that restarts, and thus
// has a new incarnation, rejoins its replica under a later epoch.
func TestReplicaRecoversFromHostRestart(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, 2, 1, false)
	cluster.bringUp(3, false)
	replica := cluster.servingReplica(t)
	cluster.platform.Engine(replica.Members[0].Host).Restart()
	cluster.eventually("the replica is complete again under a later epoch", func() bool {
		for _, known := range cluster.report(0).Replicas {
			if known.Replica.ID == replica.ID && known.Complete && known.Replica.State == group.StateServing {
				return known.Replica.Epoch > replica.Epoch
			}
		}
		return false
	})
	assert.Assert(t, cluster.completes(0, "after", 3))
}

// TestAnswersAreCompleteUnderEndpointFaults checks that answers stay complete while a
// first host sends chunks of other requests, skips a chunk, delays its first token,
// ends streams early or is slow. The other replicas have no fault, so that streams can
// be resumed there.
func TestAnswersAreCompleteUnderEndpointFaults(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, 2, 1, true)
	cluster.bringUp(3, true)
	expectComplete := func(name string, fault fakes.EndpointFault) {
		t.Helper()
		cluster.platform.Engine(cluster.servingReplica(t).Members[0].Host).SetFault(fault)
		for i := range 9 {
			assert.Assert(t, cluster.completes(0, fmt.Sprintf("%s %d", name, i), 20), name)
		}
		for _, replica := range cluster.report(0).Replicas {
			cluster.platform.Engine(replica.Replica.Members[0].Host).SetFault(fakes.EndpointFault{})
		}
	}
	expectComplete("foreign chunks", fakes.EndpointFault{ForeignChunks: 5})
	expectComplete("skipped chunk", fakes.EndpointFault{SkipChunkAt: 4})
	expectComplete("late first token", fakes.EndpointFault{FirstTokenDelayMillis: 300, ForeignChunks: 2})
	expectComplete("truncated stream", fakes.EndpointFault{TruncateAfter: 7})
	expectComplete("slow engine", fakes.EndpointFault{Slowdown: 4})
}

// TestLeaseHolderFailover disconnects the lease holder from the store and fails a host.
// Another node must acquire the lease and repair the replica, and the previous holder
// must see the repair once it is connected again.
func TestLeaseHolderFailover(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, 3, 3, false)
	cluster.bringUp(3, false)
	holder := cluster.leaseHolder(t)
	cluster.nodes[holder].store.disconnected.Store(true)
	other := (holder + 1) % 3
	cluster.eventually("another node holds the lease", func() bool { return len(cluster.report(other).Leases)+len(cluster.report((holder+2)%3).Leases) > 0 })
	replica := cluster.servingReplica(t)
	cluster.platform.Engine(replica.Members[0].Host).SetFault(fakes.EndpointFault{Dead: true})
	cluster.eventually("the new holder repairs the replica", func() bool {
		_, still := cluster.memberOf(other, replica.ID, replica.Members[0].Host)
		return cluster.completeReplicas(other) == 3 && !still
	})
	cluster.nodes[holder].store.disconnected.Store(false)
	cluster.eventually("the previous holder sees the repair", func() bool { return cluster.completeReplicas(holder) == 3 })
	cluster.checkMembership(t)
}

func (cluster *cluster) leaseHolder(t *testing.T) int {
	t.Helper()
	found := -1
	cluster.eventually("one node holds the lease", func() bool {
		for i := range cluster.nodes {
			if len(cluster.report(i).Leases) > 0 {
				found = i
			}
		}
		return found >= 0
	})
	return found
}

// TestZoneDrainCompletesStreams checks that streams complete while a zone is drained,
// and that replicas in the other zones replace those of the drained zone.
func TestZoneDrainCompletesStreams(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, 4, 2, true)
	cluster.bringUp(3, true)
	var streams sync.WaitGroup
	completed := make([]bool, 9)
	for i := range completed {
		streams.Go(func() { completed[i] = cluster.completes(i%2, fmt.Sprintf("drained %d", i), 150) })
	}
	time.Sleep(200 * time.Millisecond)
	assert.NilError(t, cluster.admin(0).Drain(t.Context(), admin.DrainRequest{Kind: admin.KindZone, Name: "za"}))
	streams.Wait()
	for i := range completed {
		assert.Assert(t, completed[i], "stream %d", i)
	}
	cluster.eventually("the zone has no replicas and the other zones have all", func() bool {
		inZone := 0
		for _, replica := range cluster.report(1).Replicas {
			if replica.Replica.Zone == "za" {
				inZone++
			}
		}
		return inZone == 0 && cluster.completeReplicas(1) == 3
	})
	cluster.checkMembership(t)
}

// TestNodeShutdownCompletesStreams checks that a stream completes while its node shuts
// down, and that another node acquires the lease.
func TestNodeShutdownCompletesStreams(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, 2, 2, true)
	cluster.bringUp(3, true)
	holder := cluster.leaseHolder(t)
	done := make(chan bool)
	go func() { done <- cluster.completes(holder, "long", 150) }()
	time.Sleep(200 * time.Millisecond)
	cluster.stopNode(holder)
	assert.Assert(t, <-done, "the stream did not complete")
	cluster.eventually("the other node holds the lease", func() bool { return len(cluster.report(1-holder).Leases) == 1 })
}

// TestNodeStartsDuringStoreOutage checks that a node that starts without the store
// serves with the configuration of its peers, and that running nodes continue to serve.
func TestNodeStartsDuringStoreOutage(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, 2, 3, true)
	cluster.bringUp(3, true)
	cluster.stopNode(2)
	cluster.platform.Table.SetFault(fakes.TableFault{Outage: true})
	cluster.start(2)
	cluster.eventually("the started node serves with its peers' configuration", func() bool { return cluster.completes(2, "during the outage", 3) })
	assert.Assert(t, cluster.completes(0, "still", 3), "a running node stopped serving")
	cluster.platform.Table.SetFault(fakes.TableFault{})
	cluster.eventually("the node reaches the store again", func() bool { return cluster.report(2).StoreReachable })
}

// TestDrainWaitsForRunningStreams drains a host of a replica with a long stream. The
// stream must end there instead of being resumed on another replica.
func TestDrainWaitsForRunningStreams(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, 2, 1, true)
	cluster.bringUp(1, true)
	replica := cluster.servingReplica(t)
	done := make(chan callResult)
	go func() {
		done <- cluster.call(0, http.MethodPost, "/v1/completions", `{"model":"m","prompt":"long","max_tokens":700}`, "X-Request-Id", "long")
	}()
	time.Sleep(300 * time.Millisecond)
	assert.NilError(t, cluster.admin(0).Drain(t.Context(), admin.DrainRequest{Kind: admin.KindEndpoint, Name: replica.Members[0].Host}))
	result := <-done
	assert.Equal(t, result.status, http.StatusOK, result.body)
	explanation, err := cluster.admin(0).Explain(t.Context(), "long")
	assert.NilError(t, err)
	assert.Equal(t, len(explanation.Attempts), 1, "the stream was resumed elsewhere: %+v", explanation.Attempts)
	cluster.eventually("the drained replica is released", func() bool {
		_, still := cluster.memberOf(0, replica.ID, replica.Members[0].Host)
		return !still
	})
}

// TestDrainedReplicaIsReleased drains one replica by name. It must be released, and
// another must serve in its place.
func TestDrainedReplicaIsReleased(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, 2, 1, true)
	cluster.bringUp(2, true)
	replica := cluster.servingReplica(t)
	assert.NilError(t, cluster.admin(0).Drain(t.Context(), admin.DrainRequest{Kind: admin.KindReplica, Name: replica.ID}))
	cluster.eventually("the replica is released and another serves", func() bool {
		_, still := cluster.memberOf(0, replica.ID, replica.Members[0].Host)
		return !still && cluster.completeReplicas(0) == 2
	})
	assert.Assert(t, cluster.completes(0, "after", 3))
}
