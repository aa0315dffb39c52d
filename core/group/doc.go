// Package group is the aggregate of a replica and its hosts: what state it is
// in, which changes its rules allow, and the transaction of each change.
package group
