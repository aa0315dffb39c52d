// Package lease decides when to acquire, renew and release a lease that is stored
// in the table service. It compares only times of a node's own clock, so the
// clocks of the nodes need not be synchronized.
package lease
