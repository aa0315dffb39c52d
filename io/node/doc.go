// Package node is the daemon: one goroutine owns the control state, effects
// run beside it and report back to it, and traffic reads what it publishes.
package node
