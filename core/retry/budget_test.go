package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hickorybend/core/retry"
)

// TestNodesStayWithinTheBudget has nodes of unequal traffic spend all they may:
// in every window the sum stays within the whole budget.
func TestNodesStayWithinTheBudget(t *testing.T) {
	policy := retry.Policy{Ratio: 0.2, Extra: 100, Window: 10 * time.Second, UsableShare: 0.8}
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 9).Draw(t, "nodes")
		budgets := make([]*retry.Budget, nodes)
		for i := range budgets {
			budgets[i] = retry.New(policy)
		}
		var requests, seconds []time.Time
		now := time.Unix(1000, 0)
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * time.Millisecond)
			budget := budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			if rapid.Bool().Draw(t, "request") {
				budget.Deposit(now)
				requests = append(requests, now)
			} else if budget.Withdraw(now, nodes) {
				seconds = append(seconds, now)
			}
			from := now.Add(-policy.Window)
			limit := policy.Ratio*float64(after(requests, from.Add(-policy.Window))) + policy.Extra
			if float64(after(seconds, from)) > limit {
				t.Fatalf("%d second sends in a window, %f allowed", after(seconds, from), limit)
			}
		}
	})
}

func after(moments []time.Time, from time.Time) int {
	count := 0
	for _, moment := range moments {
		if moment.After(from) {
			count++
		}
	}
	return count
}

// TestBudgetComesBack has the budget used up and time pass.
func TestBudgetComesBack(t *testing.T) {
	budget := retry.New(retry.Policy{Ratio: 0, Extra: 5, Window: 10 * time.Second, UsableShare: 1})
	now := time.Unix(1000, 0)
	for range 5 {
		assert.Assert(t, budget.Withdraw(now, 1))
	}
	assert.Assert(t, !budget.Withdraw(now.Add(5*time.Second), 1))
	assert.Assert(t, budget.Withdraw(now.Add(11*time.Second), 1))
}
