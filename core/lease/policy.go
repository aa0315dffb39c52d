package lease

import "time"

// Policy holds the times of a lease, the same on every node.
type Policy struct {
	RenewEvery time.Duration `json:"renew-every"`
	TTL        time.Duration `json:"term"`
	Margin     time.Duration `json:"margin"`
}

// DefaultPolicy hands a dead holder's lease on within eight seconds.
func DefaultPolicy() Policy {
	return Policy{RenewEvery: 2 * time.Second, TTL: 6 * time.Second, Margin: 500 * time.Millisecond}
}
