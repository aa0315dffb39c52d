// Package queue decides, at the leader of a zone, which replica of a model serves each
// request of the zone.
//
// Nodes that choose by figures that are up to a second old send their requests to the same
// replicas, whose prompts then wait while other replicas are idle. A queue knows the
// requests that the nodes of its zone have at each replica, since each is assigned by it or
// reported to it, and those of other zones as of their last digest. It estimates with package
// batch when a request would get its first event at each replica.
//
// A queue has neither a clock nor locks: its caller passes the time, and one call at a time.
package queue
