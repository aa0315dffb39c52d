// Package route chooses the replica that serves a request, from load reports
// that lag and from what this node itself has sent since.
package route
