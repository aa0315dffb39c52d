// Package topo decides which nodes talk to which, so that what each node knows
// of load and versions costs little however many nodes there are.
package topo
