// Package engine speaks to endpoints: probes, orders, streams of model
// engines, and calls of plain services.
package engine
