// Package memory is an in-memory table service for tests, which can inject the
// faults of a real one.
package memory
