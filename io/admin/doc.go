// Package admin is the operators' service, both ends of it: changes of the
// configuration, orders to drain, and what a node knows.
package admin
