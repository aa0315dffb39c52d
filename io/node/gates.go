package node

import (
	"hickorybend/core/buffer"
	"hickorybend/io/gate"
)

const (
	gateMemory         = 256 << 20 // of which a part is for the heads of callers and operators; settings state no memory
	callersConnections = 4096
	controlConnections = 1024
	maxFields          = 16 << 10 // of a head, which has maxHeaderBytes at most
)

// gates are the gates of the node's addresses.
type gates struct {
	callers, control *gate.Gate
}

func newGates(params params) gates {
	ledger, closures := buffer.NewLedger(buffer.PolicyFor(gateMemory)), gate.NewClosures(params.Log, params.Meter)
	create := func(address string, connections int) *gate.Gate {
		limits := gate.Limits{Connections: connections, Fields: maxFields, WriteTime: params.Settings.Limits.WriteTimeout}
		return gate.New(limits, ledger, func(closed gate.Closed) { closures.Add(address, closed) })
	}
	return gates{callers: create("callers", callersConnections), control: create("control", controlConnections)}
}
