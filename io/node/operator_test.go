package node_test

import (
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"hickorybend/io/admin"
	"hickorybend/io/fakes"
)

// TestConcurrentChangesThroughTwoNodes applies two changes of the same base version
// through two nodes at once.
// Changes of different sections must both be accepted. Of two changes of one section,
// one must be accepted and the other rejected with a conflict.
func TestConcurrentChangesThroughTwoNodes(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, 2, 2, true)
	cluster.bringUp(1, true)
	first := specText(1, true)
	applyConcurrently := func(texts ...string) []admin.ApplyResult {
		t.Helper()
		base := cluster.report(0).Head
		results := make([]admin.ApplyResult, len(texts))
		var calls sync.WaitGroup
		for i, text := range texts {
			calls.Go(func() {
				applyresult, err := cluster.apply(i%2, text, base)
				assert.Check(t, err == nil, "%v", err)
				results[i] = applyresult
			})
		}
		calls.Wait()
		return results
	}
	different := applyConcurrently(strings.Replace(first, `"requests-per-second": 6`, `"requests-per-second": 7`, 1), strings.Replace(first, `"max-replicas": 6`, `"max-replicas": 5`, 1))
	assert.Equal(t, len(different[0].Conflicts)+len(different[1].Conflicts), 0, "changes of different sections conflict")
	assert.Assert(t, different[0].Head != different[1].Head, "%+v", different)
	configsnapshot, err := cluster.admin(0).Show(t.Context(), 0)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(configsnapshot.Text, `"requests-per-second": 7`) && strings.Contains(configsnapshot.Text, `"max-replicas": 5`), configsnapshot.Text)
	for i := range cluster.nodes {
		cluster.eventually("both changes are in force", func() bool { return cluster.report(i).Head == configsnapshot.Head })
	}

	same := applyConcurrently(strings.Replace(configsnapshot.Text, `"requests-per-second": 7`, `"requests-per-second": 8`, 1), strings.Replace(configsnapshot.Text, `"requests-per-second": 7`, `"requests-per-second": 9`, 1))
	winner, loser := same[0], same[1]
	if len(winner.Conflicts) > 0 {
		winner, loser = loser, winner
	}
	assert.Equal(t, len(winner.Conflicts), 0, "%+v", same)
	assert.Equal(t, len(loser.Conflicts), 1, "%+v", same)
	assert.Equal(t, loser.Head, winner.Head)
	assert.Assert(t, strings.Contains(loser.Conflicts[0].Proposed, `"requests-per-second":`))
	assert.Assert(t, loser.Conflicts[0].Current != loser.Conflicts[0].Base, "the conflict does not show the accepted section")
}

// TestChangeWithLostRepliesIsResolved checks that a change whose commit takes effect
// while the store's replies are lost is reported as accepted, not as of unknown outcome.
func TestChangeWithLostRepliesIsResolved(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, 2, 1, true)
	cluster.bringUp(1, true)
	head := cluster.report(0).Head
	cluster.platform.Table.SetFault(fakes.TableFault{LoseAnswers: 3})
	applyresult, err := cluster.apply(0, strings.Replace(specText(1, true), `"max-replicas": 6`, `"max-replicas": 5`, 1), head)
	assert.NilError(t, err)
	assert.Assert(t, !applyresult.Unknown && applyresult.Head > head, "%+v", applyresult)
	cluster.eventually("the change is in force", func() bool { return cluster.report(0).Head == applyresult.Head })
}

// TestFailedNodeBlocksChangesUntilHeartbeatTimeout stops a node that cannot delete its
// row. Until the node's heartbeat has timed out, a change must be rejected and have no
// effect; then the same change must be accepted.
func TestFailedNodeBlocksChangesUntilHeartbeatTimeout(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, 2, 3, true)
	cluster.bringUp(1, true)
	cluster.eventually("the node sees all nodes", func() bool { return len(cluster.report(0).Nodes) == 3 })
	head := cluster.report(0).Head
	cluster.nodes[2].store.disconnected.Store(true)
	cluster.stopNode(2)
	text := strings.Replace(specText(1, true), `"max-replicas": 6`, `"max-replicas": 5`, 1)
	rejected, err := cluster.apply(0, text, head)
	assert.NilError(t, err)
	assert.DeepEqual(t, rejected.NoticeUnacknowledged, []string{"n2"})
	assert.Equal(t, rejected.Head, head)
	cluster.eventually("the change is accepted after the heartbeat timeout", func() bool {
		applyresult, err := cluster.apply(0, text, head)
		return err == nil && len(applyresult.NoticeUnacknowledged) == 0 && applyresult.Head == head+1
	})
	cluster.eventually("the change is in force", func() bool { return cluster.report(1).Head == head+1 })
}
