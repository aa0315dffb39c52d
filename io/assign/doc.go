// Package assign has the leader of each zone say which replica should serve a request.
//
// A Client asks the leader of its node's zone, and reports to it the requests that the node
// has at replicas. A Server answers for the leader with a queue for each model; see package
// queue. What the leader says is advice: the node that asks keeps to its own rules on
// attempts, and decides by itself if no advice comes in time.
package assign
