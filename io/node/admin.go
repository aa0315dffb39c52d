package node

import (
	"context"
	"net/http"
	"sync"

	"go.uber.org/zap"

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

// Spread tells every node of changed rows and names those that confirmed.
func (bridge *bridge) Spread(ctx context.Context, changed []rows.Row) ([]string, []string) {
	bridge.control.tell(pushed{rows: changed})
	told := []string{bridge.control.self.Name}
	var untold []string
	var mutex sync.Mutex
	var calls sync.WaitGroup
	for _, node := range bridge.control.mind.Load().nodes {
		calls.Go(func() {
			err := bridge.peers.Push(ctx, node.Control, changed)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				untold = append(untold, node.Name)
				return
			}
			told = append(told, node.Name)
		})
	}
	calls.Wait()
	return told, untold
}

// Warn tells every node of a change before it is tried, and names the nodes
// that are alive by their rows and did not answer.
func (bridge *bridge) Warn(ctx context.Context, id string, version int64, abort bool) []string {
	warning := peers.Warning{ID: id, Version: version, Abort: abort}
	known := bridge.control.mind.Load()
	var deaf []string
	var mutex sync.Mutex
	var calls sync.WaitGroup
	if err := (local{control: bridge.control}).Warn(ctx, warning); err != nil {
		deaf = append(deaf, bridge.control.self.Name)
	}
	for _, node := range known.nodes {
		calls.Go(func() {
			if bridge.peers.Warn(ctx, node.Control, warning) != nil {
				mutex.Lock()
				defer mutex.Unlock()
				deaf = append(deaf, node.Name)
			}
		})
	}
	for _, node := range known.silent {
		calls.Go(func() { _ = bridge.peers.Warn(ctx, node.Control, warning) })
	}
	calls.Wait()
	return deaf
}

// Explain tells why a request went where it did.
func (bridge *bridge) Explain(request string) admin.Explained {
	visit, found := bridge.front.Explainer().Of(request)
	explained := admin.Explained{
		Found: found, Request: visit.Request, Team: visit.Team, Service: visit.Service, Came: visit.Came, Ended: visit.Ended,
	}
	for _, attempt := range visit.Attempts {
		explained.Attempts = append(explained.Attempts, admin.Attempt(attempt))
	}
	return explained
}
