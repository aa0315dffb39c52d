package front

import "sync/atomic"

// retryBudget lets second attempts be a bounded part of the first ones, so that
// a dark fabric domain does not double the load on what is left.
type retryBudget struct {
	balance atomic.Int64
}

const (
	retryCost     = 10
	retryEarned   = 1
	retryCeiling  = 1000
	retryAtStart  = 200
	errorCodeCold = "no_replica"
)

func newRetryBudget() *retryBudget {
	budget := &retryBudget{}
	budget.balance.Store(retryAtStart)
	return budget
}

// earn notes a first attempt.
func (retrybudget *retryBudget) earn() {
	if retrybudget.balance.Load() < retryCeiling {
		retrybudget.balance.Add(retryEarned)
	}
}

// spend asks for a second attempt.
func (retrybudget *retryBudget) spend() bool {
	for {
		balance := retrybudget.balance.Load()
		if balance < retryCost {
			return false
		}
		if retrybudget.balance.CompareAndSwap(balance, balance-retryCost) {
			return true
		}
	}
}
