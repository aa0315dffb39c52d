// Package topo decides which nodes exchange digests, which summarize the
// requests in flight and the versions that a node knows. It keeps the cost of
// informing every node low, however many nodes there are.
package topo
