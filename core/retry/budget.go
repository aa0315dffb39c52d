package retry

import "time"

const buckets = 10

// Budget counts one service's requests and second sends on one node.
//
// Each node may spend ratio times its own requests plus an equal share of the
// extra. The sums over all nodes then stay within the whole budget however the
// requests are spread: with ratio 0.2, extra 100 and 8 nodes, a node that took
// 50 requests in the window may send 0.2*50 + 100/8 = 22 of them twice.
type Budget struct {
	policy   Policy
	requests [buckets]int
	seconds  [buckets]int
	epoch    int64
}

// New makes an empty budget.
func New(policy Policy) *Budget { return &Budget{policy: policy} }

// Deposit counts a request.
func (budget *Budget) Deposit(now time.Time) {
	budget.turn(now)
	budget.requests[budget.epoch%buckets]++
}

// Withdraw counts a second send if the budget allows it.
func (budget *Budget) Withdraw(now time.Time, nodes int) bool {
	budget.turn(now)
	requests, spent := 0, 0
	for i := range buckets {
		requests += budget.requests[i]
		spent += budget.seconds[i]
	}
	limit := budget.policy.UsableShare * (budget.policy.Ratio*float64(requests) + budget.policy.Extra/float64(max(nodes, 1)))
	if float64(spent+1) > limit {
		return false
	}
	budget.seconds[budget.epoch%buckets]++
	return true
}

func (budget *Budget) turn(now time.Time) {
	width := int64(budget.policy.Window) / buckets
	epoch := now.UnixNano() / max(width, 1)
	if epoch-budget.epoch >= buckets {
		budget.requests, budget.seconds = [buckets]int{}, [buckets]int{}
		budget.epoch = epoch
		return
	}
	for budget.epoch < epoch {
		budget.epoch++
		budget.requests[budget.epoch%buckets] = 0
		budget.seconds[budget.epoch%buckets] = 0
	}
}
