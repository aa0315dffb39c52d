// Package quota decides which requests a node admits. Each team is limited to
// this node's share of its limits, and under load requests of low priority are
// rejected first.
package quota
