package peers

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"hickorybend/core/config"
	"hickorybend/core/rows"
	"hickorybend/io/wire"
)

const (
	procedurePush         = "/hickorybend.peers/push"
	procedureConfigStatus = "/hickorybend.peers/ask"
	procedureNotify       = "/hickorybend.peers/warn"
	callTimeout           = time.Second
)

// ErrNoReply means that a call to another node failed or timed out.
var ErrNoReply = errors.New("peers: the node did not answer")

// ConfigStatus is what a node reports to others: the configuration that it holds,
// whether it reaches the store, and how long ago, by its own clock, it last confirmed
// that its configuration is the newest. InDoubt means that the node was notified of a
// change whose outcome it has not received. Config holds the sections if Head is above
// the version that the caller holds, and also the replicas' rows if that version is 0.
type ConfigStatus struct {
	Zone            string
	StoreReachable  bool
	InDoubt         bool
	Head            int64
	ConfirmationAge time.Duration
	Config          []rows.Row
}

// Local is the node that serves the calls of other nodes. Notify returns once the node
// has recorded the notice.
type Local interface {
	ReceiveRows(pushed []rows.Row)
	ConfigStatus(head int64) ConfigStatus
	Notify(ctx context.Context, changenotice ChangeNotice) error
}

// ChangeNotice announces a configuration change that is about to be committed as
// Version. With Abort it means that the change was not accepted and never will be.
type ChangeNotice struct {
	ID      string
	Version int64
	Abort   bool
}

// wireRow is a row as nodes send it to each other.
type wireRow struct {
	Partition string   `cbor:"1,keyasint"`
	Sort      string   `cbor:"2,keyasint"`
	Version   int64    `cbor:"3,keyasint"`
	Writes    []string `cbor:"4,keyasint,omitempty"`
	Body      []byte   `cbor:"5,keyasint,omitempty"`
}

type pushCall struct {
	Rows []wireRow `cbor:"1,keyasint"`
}

type pushReply struct{}

type configStatusCall struct {
	Head int64 `cbor:"1,keyasint"`
}

type configStatusReply struct {
	Zone                 string    `cbor:"1,keyasint"`
	StoreReachable       bool      `cbor:"2,keyasint"`
	Head                 int64     `cbor:"3,keyasint"`
	ConfirmationAgeNanos int64     `cbor:"4,keyasint"`
	Config               []wireRow `cbor:"5,keyasint,omitempty"`
	InDoubt              bool      `cbor:"6,keyasint,omitempty"`
}

type notifyCall struct {
	ID      string `cbor:"1,keyasint"`
	Version int64  `cbor:"2,keyasint"`
	Abort   bool   `cbor:"3,keyasint,omitempty"`
}

type notifyReply struct{}

// Handler returns the path prefix of the API and its handler, which accepts only
// calls with the peer key.
func Handler(local Local, peerKey string) (string, http.Handler) {
	options := wire.HandlerOptions([]wire.Key{{Name: "peer", SHA256: wire.HashKey(peerKey)}})
	routes := http.NewServeMux()
	routes.Handle(procedurePush, connect.NewUnaryHandler(procedurePush, func(_ context.Context, request *connect.Request[pushCall]) (*connect.Response[pushReply], error) {
		local.ReceiveRows(decodeRows(request.Msg.Rows))
		return connect.NewResponse(&pushReply{}), nil
	}, options...))
	routes.Handle(procedureConfigStatus, connect.NewUnaryHandler(procedureConfigStatus, func(_ context.Context, request *connect.Request[configStatusCall]) (*connect.Response[configStatusReply], error) {
		configstatus := local.ConfigStatus(request.Msg.Head)
		return connect.NewResponse(&configStatusReply{
			Zone: configstatus.Zone, StoreReachable: configstatus.StoreReachable, InDoubt: configstatus.InDoubt, Head: configstatus.Head,
			ConfirmationAgeNanos: int64(configstatus.ConfirmationAge), Config: encodeRows(configstatus.Config),
		}), nil
	}, options...))
	routes.Handle(procedureNotify, connect.NewUnaryHandler(procedureNotify, func(ctx context.Context, request *connect.Request[notifyCall]) (*connect.Response[notifyReply], error) {
		changenotice := ChangeNotice{ID: request.Msg.ID, Version: request.Msg.Version, Abort: request.Msg.Abort}
		if err := local.Notify(ctx, changenotice); err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		return connect.NewResponse(&notifyReply{}), nil
	}, options...))
	return "/hickorybend.peers/", routes
}

// Client calls other nodes.
type Client struct {
	http   *http.Client
	scheme string
	key    string
}

// NewClient returns a client. The scheme is "http://" or "https://"; the key is sent
// with each call.
func NewClient(client *http.Client, scheme, key string) *Client {
	return &Client{http: client, scheme: scheme, key: key}
}

// Push sends changed rows to a node.
func (client *Client) Push(ctx context.Context, address string, pushed []rows.Row) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	caller := connect.NewClient[pushCall, pushReply](client.http, client.scheme+address+procedurePush, wire.ClientOptions(client.key)...)
	_, err := caller.CallUnary(ctx, connect.NewRequest(&pushCall{Rows: encodeRows(pushed)}))
	if err != nil {
		return errors.Mark(errors.Wrap(err, "peers: pushing rows"), ErrNoReply)
	}
	return nil
}

// Notify announces a change to a node before the commit, or the abort of the change.
func (client *Client) Notify(ctx context.Context, address string, changenotice ChangeNotice) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	caller := connect.NewClient[notifyCall, notifyReply](client.http, client.scheme+address+procedureNotify, wire.ClientOptions(client.key)...)
	call := &notifyCall{ID: changenotice.ID, Version: changenotice.Version, Abort: changenotice.Abort}
	if _, err := caller.CallUnary(ctx, connect.NewRequest(call)); err != nil {
		return errors.Mark(errors.Wrap(err, "peers: announcing a change"), ErrNoReply)
	}
	return nil
}

// ConfigReply is the status and the configuration that another node reports. The
// times are on this node's clock and counted from before the call was sent, so that
// they are never later than the actual times.
type ConfigReply struct {
	Status config.PeerStatus
	Config []rows.Row
}

// ConfigStatus asks a node for its status, and for its configuration if that is
// newer than the version head.
func (client *Client) ConfigStatus(ctx context.Context, address string, head int64) (ConfigReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	caller := connect.NewClient[configStatusCall, configStatusReply](client.http, client.scheme+address+procedureConfigStatus, wire.ClientOptions(client.key)...)
	sentAt := time.Now()
	reply, err := caller.CallUnary(ctx, connect.NewRequest(&configStatusCall{Head: head}))
	if err != nil {
		return ConfigReply{}, errors.Mark(errors.Wrap(err, "peers: asking for the configuration"), ErrNoReply)
	}
	configstatusreply := reply.Msg
	return ConfigReply{
		Status: config.PeerStatus{
			Zone: configstatusreply.Zone, StoreReachable: configstatusreply.StoreReachable, InDoubt: configstatusreply.InDoubt, Head: configstatusreply.Head, ReceivedAt: sentAt,
			ConfirmedAt: sentAt.Add(-time.Duration(configstatusreply.ConfirmationAgeNanos)),
		},
		Config: decodeRows(configstatusreply.Config),
	}, nil
}

func encodeRows(all []rows.Row) []wireRow {
	encoded := make([]wireRow, len(all))
	for i, row := range all {
		encoded[i] = wireRow{Partition: row.Key.Partition, Sort: row.Key.Sort, Version: int64(row.Version), Writes: row.WriteIDs, Body: row.Body}
	}
	return encoded
}

func decodeRows(all []wireRow) []rows.Row {
	decoded := make([]rows.Row, len(all))
	for i, row := range all {
		decoded[i] = rows.Row{Key: rows.Key{Partition: row.Partition, Sort: row.Sort}, Version: rows.Version(row.Version), WriteIDs: row.Writes, Body: row.Body}
	}
	return decoded
}
