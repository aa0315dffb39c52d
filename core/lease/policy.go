package lease

import "time"

// Policy holds the times of a lease. They must be the same on every node.
type Policy struct {
	// RenewEvery is the time from one renewal to the next.
	RenewEvery time.Duration `json:"renew-every"`
	// TTL is how long a lease that is not renewed stays with its holder.
	TTL time.Duration `json:"term"`
	// Margin is how much earlier than the TTL the holder stops using the lease.
	Margin time.Duration `json:"margin"`
}

// DefaultPolicy lets another node acquire the lease of a failed holder within
// eight seconds.
func DefaultPolicy() Policy {
	return Policy{RenewEvery: 2 * time.Second, TTL: 6 * time.Second, Margin: 500 * time.Millisecond}
}
