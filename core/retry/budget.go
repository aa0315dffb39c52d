package retry

import "time"

// bucketCount is the number of buckets of the sliding window.
const bucketCount = 10

// Budget counts the requests and retries of one service on one node. A retry is
// any sending of a request after its first.
//
// Each node may make ratio times its own requests plus an equal share of the
// extra retries. The sums over all nodes then stay within the total budget
// however the requests are spread: with ratio 0.2, extra 100 and 8 nodes, a
// node that received 50 requests in the window may make 0.2*50 + 100/8 = 22
// retries. The policy's UsableShare then reduces that number.
type Budget struct {
	policy   Policy
	requests [bucketCount]int
	retries  [bucketCount]int
	bucket   int64 // number of the current bucket since the Unix epoch
}

// New returns an empty budget.
func New(policy Policy) *Budget { return &Budget{policy: policy} }

// Deposit counts a request, which adds to the budget.
func (budget *Budget) Deposit(now time.Time) {
	budget.advance(now)
	budget.requests[budget.bucket%bucketCount]++
}

// Withdraw reports whether the budget allows a retry when this many nodes share
// it, and counts the retry if so.
func (budget *Budget) Withdraw(now time.Time, nodes int) bool {
	if !budget.Allows(now, nodes) {
		return false
	}
	budget.retries[budget.bucket%bucketCount]++
	return true
}

// Allows reports whether the budget allows a retry when this many nodes share it.
func (budget *Budget) Allows(now time.Time, nodes int) bool {
	budget.advance(now)
	requests, retries := 0, 0
	for i := range bucketCount {
		requests += budget.requests[i]
		retries += budget.retries[i]
	}
	limit := budget.policy.UsableShare * (budget.policy.Ratio*float64(requests) + budget.policy.Extra/float64(max(nodes, 1)))
	return float64(retries+1) <= limit
}

// advance moves the window to the bucket of the given time and clears the
// buckets that have left the window.
func (budget *Budget) advance(now time.Time) {
	bucketWidth := int64(budget.policy.Window) / bucketCount
	bucket := now.UnixNano() / max(bucketWidth, 1)
	if bucket-budget.bucket >= bucketCount {
		budget.requests, budget.retries = [bucketCount]int{}, [bucketCount]int{}
		budget.bucket = bucket
		return
	}
	for budget.bucket < bucket {
		budget.bucket++
		budget.requests[budget.bucket%bucketCount] = 0
		budget.retries[budget.bucket%bucketCount] = 0
	}
}
