// Package gossip is the talk between nodes on the platform: how many requests
// each has in flight where, which versions it knows, and tables for a node
// that the store turns away.
package gossip
