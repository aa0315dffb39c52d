// Package stress sends open-loop load to the nodes' addresses for callers and
// checks that every response is complete and belongs to its request.
package stress
