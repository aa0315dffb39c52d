// Package topo decides which nodes exchange digests, so that it stays cheap to
// keep every node informed of load and versions however many nodes there are.
package topo
