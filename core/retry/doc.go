// Package retry limits the requests that a node sends to a second endpoint, so
// that all nodes together stay within one budget without coordination.
package retry
