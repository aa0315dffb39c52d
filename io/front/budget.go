package front

import "sync/atomic"

// retryBudget limits the retries of one node to a fraction of its first attempts,
// so that the failure of a fabric domain (hosts with a fast network between them)
// does not double the load on the remaining replicas. Each first attempt deposits
// 1 and each retry costs 10, so that in the long run retries are at most a tenth
// of the requests.
type retryBudget struct {
	balance atomic.Int64
}

const (
	retryCost           = 10
	retryDeposit        = 1
	maxRetryBalance     = 1000 // for 100 retries
	initialRetryBalance = 200  // for 20 retries
	errorCodeNoReplica  = "no_replica"
)

func newRetryBudget() *retryBudget {
	retrybudget := &retryBudget{}
	retrybudget.balance.Store(initialRetryBalance)
	return retrybudget
}

// deposit credits the budget for a first attempt.
func (retrybudget *retryBudget) deposit() {
	if retrybudget.balance.Load() < maxRetryBalance {
		retrybudget.balance.Add(retryDeposit)
	}
}

// withdraw pays for a retry. It returns false if the budget is exhausted.
func (retrybudget *retryBudget) withdraw() bool {
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
