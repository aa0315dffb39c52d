package admin

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"hickorybend/io/wire"
)

// Client calls the operators' API of a node.
type Client struct {
	http *http.Client
	base string
	key  string
}

// NewClient returns a client for the node at a base URL such as
// "http://127.0.0.1:8180". The client authenticates with key.
func NewClient(client *http.Client, base, key string) *Client {
	return &Client{http: client, base: base, key: key}
}

// Apply puts the text of a spec in force as a change of the version base. Faults
// in the text are reported under the name file.
func (client *Client) Apply(ctx context.Context, file string, text []byte, base int64) (ApplyResult, error) {
	caller := connect.NewClient[applyCall, applyReply](client.http, client.base+procedureApply, wire.ClientOptions(client.key)...)
	reply, err := caller.CallUnary(ctx, connect.NewRequest(&applyCall{File: file, Text: text, Base: base}))
	if err != nil {
		return ApplyResult{}, err
	}
	return reply.Msg.Result, nil
}

// Show returns the configuration in force, or with a version above 0 the configuration
// as of that version.
func (client *Client) Show(ctx context.Context, version int64) (ConfigSnapshot, error) {
	caller := connect.NewClient[showCall, showReply](client.http, client.base+procedureShow, wire.ClientOptions(client.key)...)
	reply, err := caller.CallUnary(ctx, connect.NewRequest(&showCall{Version: version}))
	if err != nil {
		return ConfigSnapshot{}, err
	}
	return reply.Msg.Snapshot, nil
}

// History returns every accepted change, oldest first.
func (client *Client) History(ctx context.Context) ([]Change, error) {
	caller := connect.NewClient[historyCall, historyReply](client.http, client.base+procedureHistory, wire.ClientOptions(client.key)...)
	reply, err := caller.CallUnary(ctx, connect.NewRequest(&historyCall{}))
	if err != nil {
		return nil, err
	}
	return reply.Msg.Changes, nil
}

// Status returns the node's view of the deployment.
func (client *Client) Status(ctx context.Context) (Report, error) {
	caller := connect.NewClient[statusCall, statusReply](client.http, client.base+procedureStatus, wire.ClientOptions(client.key)...)
	reply, err := caller.CallUnary(ctx, connect.NewRequest(&statusCall{}))
	if err != nil {
		return Report{}, err
	}
	return reply.Msg.Report, nil
}

// Drain starts draining an endpoint, a replica or an availability zone, or
// cancels its drain.
func (client *Client) Drain(ctx context.Context, drainrequest DrainRequest) error {
	caller := connect.NewClient[drainCall, drainReply](client.http, client.base+procedureDrain, wire.ClientOptions(client.key)...)
	_, err := caller.CallUnary(ctx, connect.NewRequest(&drainCall{Request: drainrequest}))
	return err
}

// Explain returns how a request was routed. Only the node that served the request has
// a record of it.
func (client *Client) Explain(ctx context.Context, request string) (Explanation, error) {
	caller := connect.NewClient[explainCall, explainReply](client.http, client.base+procedureExplain, wire.ClientOptions(client.key)...)
	reply, err := caller.CallUnary(ctx, connect.NewRequest(&explainCall{Request: request}))
	if err != nil {
		return Explanation{}, err
	}
	return reply.Msg.Explanation, nil
}
