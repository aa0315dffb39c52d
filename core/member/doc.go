// Package member decides which nodes are members of the cluster: which are alive, which are
// suspected, and which are gone. It is driven by rows of the nodes table, by answers of other
// nodes and by time, and does no I/O.
//
// A node that is frozen or that lost its links is silent as well, so silence alone shows
// little. What shows that a node is gone is in Policy.
package member
