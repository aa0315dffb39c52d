// Package route chooses the replica that serves a request. It decides by load
// reports that lag and by the requests that this node has sent since. Package node
// uses it; package reach does the same for package edge.
package route
