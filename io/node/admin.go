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

// adminHandler is the handler of the operators' API with its path prefix.
type adminHandler struct {
	path    string
	handler http.Handler
}

func newAdmin(settings conf.Settings, store rows.Store, objects *blobs.Client, control *Control, front *front.Server, log *zap.Logger) adminHandler {
	var keys []wire.Key
	for _, operator := range settings.Operators {
		keys = append(keys, wire.Key{Name: operator.Name, SHA256: operator.KeySHA256})
	}
	adminnode := &adminNode{control: control, front: front, peers: control.dependencies.Peers}
	path, handler := admin.NewService(store, objects, adminnode, log).Handler(keys)
	return adminHandler{path: path, handler: handler}
}

// adminNode implements admin.Node, which is what the operators' API needs of the
// node.
type adminNode struct {
	control *Control
	front   *front.Server
	peers   *peers.Client
}

// Report returns the latest report of the control state.
func (adminnode *adminNode) Report() *admin.Report { return adminnode.control.Report() }

// Broadcast sends changed rows to every node. It returns the names of the nodes that
// acknowledged them and of those that did not.
func (adminnode *adminNode) Broadcast(ctx context.Context, changed []rows.Row) ([]string, []string) {
	adminnode.control.enqueue(rowsReceived{rows: changed})
	acknowledged, unacknowledged := callAll(adminnode.control.snapshot.Load().otherNodes, func(node roster.Node) error {
		return adminnode.peers.Push(ctx, node.ControlAddress, changed)
	})
	return append(acknowledged, adminnode.control.self.Name), unacknowledged
}

// Notify notifies every node of a change that is about to be committed, or of its
// abort. It returns the names of the nodes that did not acknowledge the notice
// although their heartbeats are recent. A node whose heartbeat has timed out may
// still run: it is notified too, but need not acknowledge.
func (adminnode *adminNode) Notify(ctx context.Context, id string, version int64, abort bool) []string {
	changenotice := peers.ChangeNotice{ID: id, Version: version, Abort: abort}
	notify := func(node roster.Node) error { return adminnode.peers.Notify(ctx, node.ControlAddress, changenotice) }
	snapshot := adminnode.control.snapshot.Load()
	unresponsiveDone := make(chan struct{})
	go func() {
		callAll(snapshot.unresponsive, notify)
		close(unresponsiveDone)
	}()
	_, unacknowledged := callAll(snapshot.otherNodes, notify)
	<-unresponsiveDone
	if (local{control: adminnode.control}).Notify(ctx, changenotice) != nil {
		unacknowledged = append(unacknowledged, adminnode.control.self.Name)
	}
	return unacknowledged
}

// callAll calls all nodes concurrently. It returns the names of those that answered
// and of those that did not.
func callAll(nodes []roster.Node, call func(node roster.Node) error) ([]string, []string) {
	var answered, unanswered []string
	var mutex sync.Mutex
	var calls sync.WaitGroup
	for _, node := range nodes {
		calls.Go(func() {
			err := call(node)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				unanswered = append(unanswered, node.Name)
				return
			}
			answered = append(answered, node.Name)
		})
	}
	calls.Wait()
	return answered, unanswered
}

// Explain returns how a request was routed, if the routing log still has it.
func (adminnode *adminNode) Explain(request string) admin.Explanation {
	routingrecord, found := adminnode.front.RoutingLog().Lookup(request)
	explanation := admin.Explanation{
		Found: found, Request: routingrecord.Request, Team: routingrecord.Team, Service: routingrecord.Service, ReceivedAt: routingrecord.ReceivedAt, Ended: routingrecord.Result,
	}
	for _, attempt := range routingrecord.Attempts {
		explanation.Attempts = append(explanation.Attempts, admin.Attempt(attempt))
	}
	return explanation
}
