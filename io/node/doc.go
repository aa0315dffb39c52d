// Package node is the daemon of a node. One goroutine, Control.Run, owns the
// control state. Reads, probes, commands and transactions run in goroutines of
// their own and send their results back to it as messages. Request handling reads
// the view that it publishes.
//
// A replica's first host is its member of rank 0, which takes its requests.
package node
