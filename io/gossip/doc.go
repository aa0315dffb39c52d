// Package gossip is the protocol between nodes of package edge. Nodes exchange
// digests of their requests in flight and of the table versions that they have,
// and fetch tables from each other when they can't get them from the store.
package gossip
