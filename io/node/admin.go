package node

import (
	"context"
	"net/http"
	"sync"

	"go.uber.org/zap"

	"hickorybend/core/roster"
	"hickorybend/core/rows"
	"hickorybend/io/admin"
	"hickorybend/io/blobs"
	"hickorybend/io/conf"
	"hickorybend/io/front"
	"hickorybend/io/peers"
	"hickorybend/io/wire"
)

// adminHandler is the operators' service with the path that it serves.
type adminHandler struct {
	path    string
	handler http.Handler
}

func newAdmin(settings conf.Settings, store rows.Store, objects *blobs.Client, control *Control, front *front.Server, log *zap.Logger) adminHandler {
	var keys []wire.Key
	for _, operator := range settings.Operators {
		keys = append(keys, wire.Key{Name: operator.Name, SHA256: operator.KeySHA256})
	}
	bridge := &bridge{control: control, front: front, peers: control.outside.Peers}
	path, handler := admin.NewService(store, objects, bridge, log).Handler(keys)
	return adminHandler{path: path, handler: handler}
}

// bridge lets the operators' service see the node.
type bridge struct {
	control *Control
	front   *front.Server
	peers   *peers.Client
}

// Report gives the newest picture of the control state.
func (bridge *bridge) Report() *admin.Report { return bridge.control.Report() }

// Broadcast tells every node of changed rows and names those that confirmed.
func (bridge *bridge) Broadcast(ctx context.Context, changed []rows.Row) ([]string, []string) {
	bridge.control.tell(pushed{rows: changed})
	told, untold := each(bridge.control.mind.Load().nodes, func(node roster.Node) error {
		return bridge.peers.Push(ctx, node.ControlAddress, changed)
	})
	return append(told, bridge.control.self.Name), untold
}

// Notify tells every node of a change before it is tried, and names the nodes
// that are alive by their rows and did not answer.
func (bridge *bridge) Notify(ctx context.Context, id string, version int64, abort bool) []string {
	changenotice := peers.ChangeNotice{ID: id, Version: version, Abort: abort}
	warn := func(node roster.Node) error { return bridge.peers.Notify(ctx, node.ControlAddress, changenotice) }
	known := bridge.control.mind.Load()
	silent := make(chan struct{})
	go func() {
		each(known.silent, warn)
		close(silent)
	}()
	_, deaf := each(known.nodes, warn)
	<-silent
	if (local{control: bridge.control}).Notify(ctx, changenotice) != nil {
		deaf = append(deaf, bridge.control.self.Name)
	}
	return deaf
}

// each calls all nodes at once and names those with and without an answer.
func each(nodes []roster.Node, call func(node roster.Node) error) ([]string, []string) {
	var answered, silent []string
	var mutex sync.Mutex
	var calls sync.WaitGroup
	for _, node := range nodes {
		calls.Go(func() {
			err := call(node)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				silent = append(silent, node.Name)
				return
			}
			answered = append(answered, node.Name)
		})
	}
	calls.Wait()
	return answered, silent
}

// Explain tells why a request went where it did.
func (bridge *bridge) Explain(request string) admin.Explanation {
	routingrecord, found := bridge.front.RoutingLog().Lookup(request)
	explanation := admin.Explanation{
		Found: found, Request: routingrecord.Request, Team: routingrecord.Team, Service: routingrecord.Service, ReceivedAt: routingrecord.ReceivedAt, Ended: routingrecord.Ended,
	}
	for _, attempt := range routingrecord.Attempts {
		explanation.Attempts = append(explanation.Attempts, admin.Attempt(attempt))
	}
	return explanation
}
