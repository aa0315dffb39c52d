// Package retry bounds how many requests a node sends to a second endpoint, so
// that all nodes together stay within one budget without talking about it.
package retry
