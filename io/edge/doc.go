// Package edge is a node on the users' platform. It follows the platform's
// tables, exchanges digests with the other nodes, places replicas while it
// holds the placement lease, and publishes a snapshot of the reachable endpoints
// for request handling.
//
// A replica's first host, its head, is the member of rank 0. It takes the
// replica's requests.
package edge
