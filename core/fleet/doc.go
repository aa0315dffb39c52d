// Package fleet forms replicas out of endpoints that take orders to join one
// another, opens them once whole, takes broken ones apart and repairs them.
package fleet
