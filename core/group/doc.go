// Package group holds the state of a replica and its hosts in the table service:
// the rows, the changes that are allowed in each state, and the transaction that
// makes each change.
//
// A transaction checks the fencing number of the lease under which the change is
// made and the version of every row that it writes. So a previous holder of the
// lease can change nothing, and a host is in at most one replica.
package group
