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
	procedurePush = "/hickorybend.peers/push"
	procedureAsk  = "/hickorybend.peers/ask"
	procedureWarn = "/hickorybend.peers/warn"
	callLimit     = time.Second
)

// ErrNoReply says that another node did not answer.
var ErrNoReply = errors.New("peers: a node did not answer")

// ConfigStatus is what a node tells others: the configuration that it holds and how
// long ago that was confirmed, counted by its own clock.
type ConfigStatus struct {
	Zone            string
	StoreReachable  bool
	InDoubt         bool
	Head            int64
	ConfirmationAge time.Duration
	Config          []rows.Row
}

// Local is the node that answers others.
type Local interface {
	ReceiveRows(pushed []rows.Row)
	ConfigStatus(head int64) ConfigStatus
	Notify(ctx context.Context, changenotice ChangeNotice) error
}

// ChangeNotice tells a node of a change before it is tried, or that it was not
// accepted and never will be.
type ChangeNotice struct {
	ID      string
	Version int64
	Abort   bool
}

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

type askCall struct {
	Head int64 `cbor:"1,keyasint"`
}

type askReply struct {
	Zone                 string    `cbor:"1,keyasint"`
	StoreReachable       bool      `cbor:"2,keyasint"`
	Head                 int64     `cbor:"3,keyasint"`
	ConfirmationAgeNanos int64     `cbor:"4,keyasint"`
	Config               []wireRow `cbor:"5,keyasint,omitempty"`
	InDoubt              bool      `cbor:"6,keyasint,omitempty"`
}

type warnCall struct {
	ID      string `cbor:"1,keyasint"`
	Version int64  `cbor:"2,keyasint"`
	Abort   bool   `cbor:"3,keyasint,omitempty"`
}

type warnReply struct{}

// Handler answers other nodes.
func Handler(local Local, peerKey string) (string, http.Handler) {
	options := wire.HandlerOptions([]wire.Key{{Name: "peer", SHA256: wire.HashKey(peerKey)}})
	routes := http.NewServeMux()
	routes.Handle(procedurePush, connect.NewUnaryHandler(procedurePush, func(_ context.Context, request *connect.Request[pushCall]) (*connect.Response[pushReply], error) {
		local.ReceiveRows(decodeRows(request.Msg.Rows))
		return connect.NewResponse(&pushReply{}), nil
	}, options...))
	routes.Handle(procedureAsk, connect.NewUnaryHandler(procedureAsk, func(_ context.Context, request *connect.Request[askCall]) (*connect.Response[askReply], error) {
		configstatus := local.ConfigStatus(request.Msg.Head)
		return connect.NewResponse(&askReply{
			Zone: configstatus.Zone, StoreReachable: configstatus.StoreReachable, InDoubt: configstatus.InDoubt, Head: configstatus.Head,
			ConfirmationAgeNanos: int64(configstatus.ConfirmationAge), Config: encodeRows(configstatus.Config),
		}), nil
	}, options...))
	routes.Handle(procedureWarn, connect.NewUnaryHandler(procedureWarn, func(ctx context.Context, request *connect.Request[warnCall]) (*connect.Response[warnReply], error) {
		changenotice := ChangeNotice{ID: request.Msg.ID, Version: request.Msg.Version, Abort: request.Msg.Abort}
		if err := local.Notify(ctx, changenotice); err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		return connect.NewResponse(&warnReply{}), nil
	}, options...))
	return "/hickorybend.peers/", routes
}

// Client calls other nodes.
type Client struct {
	http   *http.Client
	scheme string
	key    string
}

// NewClient makes a client that calls by a scheme and carries a key.
func NewClient(client *http.Client, scheme, key string) *Client {
	return &Client{http: client, scheme: scheme, key: key}
}

// Push tells a node of rows that changed.
func (client *Client) Push(ctx context.Context, address string, pushed []rows.Row) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	caller := connect.NewClient[pushCall, pushReply](client.http, client.scheme+address+procedurePush, wire.ClientOptions(client.key)...)
	_, err := caller.CallUnary(ctx, connect.NewRequest(&pushCall{Rows: encodeRows(pushed)}))
	if err != nil {
		return errors.Mark(errors.Wrap(err, "peers: pushing"), ErrNoReply)
	}
	return nil
}

// Notify tells a node of a change before it is tried, or that it is off.
func (client *Client) Notify(ctx context.Context, address string, changenotice ChangeNotice) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	caller := connect.NewClient[warnCall, warnReply](client.http, client.scheme+address+procedureWarn, wire.ClientOptions(client.key)...)
	call := &warnCall{ID: changenotice.ID, Version: changenotice.Version, Abort: changenotice.Abort}
	if _, err := caller.CallUnary(ctx, connect.NewRequest(call)); err != nil {
		return errors.Mark(errors.Wrap(err, "peers: warning"), ErrNoReply)
	}
	return nil
}

// ConfigReply is what another node knows, with its confirmation on this node's
// clock: counted from before the question left, it is never too late.
type ConfigReply struct {
	Status config.PeerStatus
	Config []rows.Row
}

// ConfigStatus asks a node what it knows beyond a head version.
func (client *Client) ConfigStatus(ctx context.Context, address string, head int64) (ConfigReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	caller := connect.NewClient[askCall, askReply](client.http, client.scheme+address+procedureAsk, wire.ClientOptions(client.key)...)
	before := time.Now()
	reply, err := caller.CallUnary(ctx, connect.NewRequest(&askCall{Head: head}))
	if err != nil {
		return ConfigReply{}, errors.Mark(errors.Wrap(err, "peers: asking"), ErrNoReply)
	}
	mind := reply.Msg
	return ConfigReply{
		Status: config.PeerStatus{
			Zone: mind.Zone, StoreReachable: mind.StoreReachable, InDoubt: mind.InDoubt, Head: mind.Head, ReceivedAt: before,
			ConfirmedAt: before.Add(-time.Duration(mind.ConfirmationAgeNanos)),
		},
		Config: decodeRows(mind.Config),
	}, nil
}

func encodeRows(all []rows.Row) []wireRow {
	encoded := make([]wireRow, len(all))
	for i, row := range all {
		encoded[i] = wireRow{Partition: row.Key.Partition, Sort: row.Key.Sort, Version: row.Version, Writes: row.Writes, Body: row.Body}
	}
	return encoded
}

func decodeRows(all []wireRow) []rows.Row {
	decoded := make([]rows.Row, len(all))
	for i, row := range all {
		decoded[i] = rows.Row{Key: rows.Key{Partition: row.Partition, Sort: row.Sort}, Version: row.Version, Writes: row.Writes, Body: row.Body}
	}
	return decoded
}
