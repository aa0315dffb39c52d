// Package engine is the client of endpoints: status probes, commands that place an
// endpoint in a replica, streams from model engines, and calls to plain services.
package engine
