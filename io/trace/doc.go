// Package trace tells from nodes' logs what led to the end of a request.
package trace
