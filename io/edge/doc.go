// Package edge is a node on the users' platform: it follows the platform's
// tables, talks with the other nodes, places replicas while it holds the lease,
// and publishes to traffic what can be reached.
package edge
