package node_test

import (
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"hickorybend/io/admin"
	"hickorybend/io/fakes"
)

func TestRacingOperatorsThroughTwoNodes(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 2, true)
	c.up(1, true)
	first := textOf(1, true)
	race := func(texts ...string) []admin.ApplyResult {
		t.Helper()
		base := c.report(0).Head
		results := make([]admin.ApplyResult, len(texts))
		var racers sync.WaitGroup
		for i, text := range texts {
			racers.Go(func() {
				applyresult, err := c.apply(i%2, text, base)
				assert.Check(t, err == nil, "%v", err)
				results[i] = applyresult
			})
		}
		racers.Wait()
		return results
	}
	apart := race(strings.Replace(first, `"requests-per-second": 6`, `"requests-per-second": 7`, 1), strings.Replace(first, `"max-replicas": 6`, `"max-replicas": 5`, 1))
	assert.Equal(t, len(apart[0].Conflicts)+len(apart[1].Conflicts), 0, "different sections do not conflict")
	assert.Assert(t, apart[0].Head != apart[1].Head, "%+v", apart)
	configsnapshot, err := c.admin(0).Show(t.Context(), 0)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(configsnapshot.Text, `"requests-per-second": 7`) && strings.Contains(configsnapshot.Text, `"max-replicas": 5`), configsnapshot.Text)
	for i := range c.nodes {
		c.eventually("both are in force", func() bool { return c.report(i).Head == configsnapshot.Head })
	}

	same := race(strings.Replace(configsnapshot.Text, `"requests-per-second": 7`, `"requests-per-second": 8`, 1), strings.Replace(configsnapshot.Text, `"requests-per-second": 7`, `"requests-per-second": 9`, 1))
	winner, loser := same[0], same[1]
	if len(winner.Conflicts) > 0 {
		winner, loser = loser, winner
	}
	assert.Equal(t, len(winner.Conflicts), 0, "%+v", same)
	assert.Equal(t, len(loser.Conflicts), 1, "%+v", same)
	assert.Equal(t, loser.Head, winner.Head)
	assert.Assert(t, strings.Contains(loser.Conflicts[0].Proposed, `"requests-per-second":`))
	assert.Assert(t, loser.Conflicts[0].Current != loser.Conflicts[0].Base, "the winning text is shown")
}

func TestChangeWithALostAnswerIsSettled(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1, true)
	c.up(1, true)
	head := c.report(0).Head
	c.platform.Table.SetFault(fakes.TableFault{LoseAnswers: 3})
	applyresult, err := c.apply(0, strings.Replace(textOf(1, true), `"max-replicas": 6`, `"max-replicas": 5`, 1), head)
	assert.NilError(t, err)
	assert.Assert(t, !applyresult.Unknown && applyresult.Head > head, "%+v", applyresult)
	c.eventually("it is in force", func() bool { return c.report(0).Head == applyresult.Head })
}

// TestDeadNodeBlocksChangesOnlyForItsTerm kills a node without a farewell: a
// change is refused while its row may stand for a living node, and nothing of
// the refused change is left.
func TestDeadNodeBlocksChangesOnlyForItsTerm(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 3, true)
	c.up(1, true)
	c.eventually("all know each other", func() bool { return len(c.report(0).Nodes) == 3 })
	head := c.report(0).Head
	c.nodes[2].store.cut.Store(true)
	c.stopNode(2)
	text := strings.Replace(textOf(1, true), `"max-replicas": 6`, `"max-replicas": 5`, 1)
	refused, err := c.apply(0, text, head)
	assert.NilError(t, err)
	assert.DeepEqual(t, refused.Unresponsive, []string{"n2"})
	assert.Equal(t, refused.Head, head)
	c.eventually("the dead node's row stops counting", func() bool {
		applyresult, err := c.apply(0, text, head)
		return err == nil && len(applyresult.Unresponsive) == 0 && applyresult.Head == head+1
	})
	c.eventually("it is in force", func() bool { return c.report(1).Head == head+1 })
}
