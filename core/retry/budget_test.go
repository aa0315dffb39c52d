package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hickorybend/core/retry"
)

// TestNodesStayWithinTheBudget has nodes with unequal traffic retry as often as
// they may: in every window the sum of their retries stays within the shared
// budget. The retries of a window may be due to requests up to a window
// earlier.
func TestNodesStayWithinTheBudget(t *testing.T) {
	policy := retry.Policy{Ratio: 0.2, Extra: 100, Window: 10 * time.Second, UsableShare: 0.8}
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 9).Draw(t, "nodes")
		budgets := make([]*retry.Budget, nodes)
		for i := range budgets {
			budgets[i] = retry.New(policy)
		}
		var requests, retries []time.Time
		now := time.Unix(1000, 0)
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * time.Millisecond)
			budget := budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			if rapid.Bool().Draw(t, "request") {
				budget.Deposit(now)
				requests = append(requests, now)
			} else if budget.Withdraw(now, nodes) {
				retries = append(retries, now)
			}
			from := now.Add(-policy.Window)
			limit := policy.Ratio*float64(countAfter(requests, from.Add(-policy.Window))) + policy.Extra
			if float64(countAfter(retries, from)) > limit {
				t.Fatalf("%d retries in a window, %f allowed", countAfter(retries, from), limit)
			}
		}
	})
}

func countAfter(moments []time.Time, from time.Time) int {
	count := 0
	for _, moment := range moments {
		if moment.After(from) {
			count++
		}
	}
	return count
}

// TestBudgetRefills checks that a budget that is used up is available again
// after the window.
func TestBudgetRefills(t *testing.T) {
	budget := retry.New(retry.Policy{Ratio: 0, Extra: 5, Window: 10 * time.Second, UsableShare: 1})
	now := time.Unix(1000, 0)
	for range 5 {
		assert.Assert(t, budget.Withdraw(now, 1))
	}
	assert.Assert(t, !budget.Withdraw(now.Add(5*time.Second), 1))
	assert.Assert(t, budget.Withdraw(now.Add(11*time.Second), 1))
}
