// Package memory is a table service in memory, with the faults of a real one
// on demand: for tests of what rests on it.
package memory
