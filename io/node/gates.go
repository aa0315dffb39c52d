package node

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"hickorybend/core/buffer"
	"hickorybend/io/event"
	"hickorybend/io/gate"
)

const (
	gateMemory         = 256 << 20 // of which a part is for the heads of callers and operators; settings state no memory
	callersConnections = 4096
	controlConnections = 1024
	maxFields          = 16 << 10 // of a head, which has maxHeaderBytes at most
	closedLogInterval  = time.Second
)

// gates are the gates of the node's addresses.
type gates struct {
	callers, control *gate.Gate
}

func newGates(params params) gates {
	ledger, closures := buffer.NewLedger(buffer.PolicyFor(gateMemory)), &closures{params: params}
	create := func(address string, connections int) *gate.Gate {
		limits := gate.Limits{Connections: connections, Fields: maxFields, WriteTime: params.Settings.Limits.WriteTimeout}
		return gate.New(limits, ledger, func(closed gate.Closed) { closures.add(address, closed) })
	}
	return gates{callers: create("callers", callersConnections), control: create("control", controlConnections)}
}

// closures counts connections that were closed or refused, and logs them once in closedLogInterval at most.
type closures struct {
	params    params
	mutex     sync.Mutex
	count     int
	nextLogAt time.Time
}

func (closures *closures) add(address string, closed gate.Closed) {
	closures.params.Meter.Count("client_connections_closed", string(closed.Reason))
	closures.mutex.Lock()
	defer closures.mutex.Unlock()
	closures.count++
	now := time.Now()
	if now.Before(closures.nextLogAt) {
		return
	}
	event.Log(closures.params.Log, event.ClientsClosed, zap.String("address", address), zap.String("reason", string(closed.Reason)), zap.String("source", closed.Source),
		zap.Int64("bytes", closed.Cost), zap.Int("fields", closed.Fields), zap.Int("count", closures.count))
	closures.count, closures.nextLogAt = 0, now.Add(closedLogInterval)
}
