// Package trace finds in the nodes' logs how a request ended and the events that
// led to it.
package trace
