// Package gossip is the protocol between nodes on the platform. Nodes exchange
// digests of their requests in flight and of the versions they know, and fetch
// tables from each other when the store does not serve them.
package gossip
