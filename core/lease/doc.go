// Package lease decides when to take, renew and give up a lease that lives in
// the table service, without trust in synchronized clocks.
package lease
