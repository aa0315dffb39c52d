// Package meter holds the node's counters, gauges and latency histograms, and writes
// them in the Prometheus text format.
package meter
