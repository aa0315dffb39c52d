package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"

	"hickorybend/io/drain"
	"hickorybend/io/entry"
	"hickorybend/io/gate"
	"hickorybend/io/meter"
)

const (
	connectionsPerMB = 12       // of callers; one without a request takes about 20 KB
	readyConnections = 256      // of load balancers
	peerConnections  = 2048     // of other nodes
	keptDescriptors  = 0.5      // of the process's, for peers, the store, endpoints and files
	peerHeaderBytes  = 16 << 10 // that a request has more when another node sends it on
	gatesInterval    = time.Second
)

// newHTTPServer returns a server that waits neither for a head nor for a body for good.
func newHTTPServer(handler http.Handler, settings Settings, headerTime, idleTime time.Duration) *http.Server {
	return &http.Server{
		Handler: gate.Handler(handler), ReadHeaderTimeout: headerTime, ReadTimeout: max(settings.BodyTime, headerTime), IdleTimeout: idleTime, MaxHeaderBytes: settings.HeaderBytes,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return gate.ConnContext(entry.ConnContext(ctx, conn), conn)
		},
		ConnState: drain.ConnState,
	}
}

// gates are the gates of the node's addresses. Each address has its own, so that clients at one keep no one from another.
type gates struct {
	callers, ready, peers *gate.Gate
}

func newGates(params params) gates {
	settings, closures := params.Settings, gate.NewClosures(params.Log, params.Meter)
	create := func(address string, connections, perSource int) *gate.Gate {
		limits := gate.Limits{Connections: connections, PerSource: perSource, Fields: settings.HeaderFields, WriteTime: settings.WriteTime}
		return gate.New(limits, params.Server.Ledger(), func(closed gate.Closed) { closures.Add(address, closed) })
	}
	connections := settings.Connections
	if connections == 0 {
		connections = connectionsPerMB * settings.MemoryMB
	}
	return gates{
		callers: create("callers", min(connections, callersDescriptors()), settings.SourceConnections),
		ready:   create("ready", readyConnections, 0), peers: create("peers", peerConnections, 0),
	}
}

// callersDescriptors returns how many of the process's descriptors callers may use.
func callersDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > 1<<20 {
		return 1 << 20
	}
	return max(1, int((1-keptDescriptors)*float64(limit.Cur)))
}

// report publishes the numbers of connections until the context ends.
func (gates gates) report(ctx context.Context, meter *meter.Meter) {
	for ctx.Err() == nil {
		meter.LabeledGauge("client_connections", "callers", float64(gates.callers.Open()))
		meter.LabeledGauge("client_connections", "ready", float64(gates.ready.Open()))
		meter.LabeledGauge("client_connections", "peers", float64(gates.peers.Open()))
		sleep(ctx, gatesInterval)
	}
}
