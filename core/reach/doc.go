// Package reach decides where a request goes, or that it is turned away, from
// what a node knows of endpoints and of the load that all nodes put on them.
package reach
