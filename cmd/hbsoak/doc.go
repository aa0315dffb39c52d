// Command hbsoak runs nodes and runners as processes on one machine, injects
// random faults, and checks invariants on what callers and runners observe.
package main
