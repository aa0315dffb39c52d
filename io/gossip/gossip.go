package gossip

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"hickorybend/io/wire"
)

const (
	procedureTell  = "/hickorybend.gossip/tell"
	procedureFetch = "/hickorybend.gossip/fetch"
	tellLimit      = 500 * time.Millisecond // for an exchange; a round trip between zones takes 10 ms
	fetchLimit     = 1500 * time.Millisecond
)

// ErrNoReply says that another node did not answer.
var ErrNoReply = errors.New("gossip: a node did not answer")

// Digest is what a node tells the others many times a second.
type Digest struct {
	Node             string           `cbor:"1,keyasint"`
	Zone             string           `cbor:"9,keyasint"`
	Versions         []int64          `cbor:"2,keyasint"` // of the tables that nodes follow, in their order
	InFlight         map[string]int   `cbor:"3,keyasint,omitempty"`
	PromptTokens     map[string]int   `cbor:"7,keyasint,omitempty"`  // tokens not answered yet
	Demand           map[string]int64 `cbor:"8,keyasint,omitempty"`  // nanoseconds of hosts' time asked of each model since the start
	Unresponsive     []string         `cbor:"4,keyasint,omitempty"`  // endpoints that answer this node nothing
	HadRequests      bool             `cbor:"5,keyasint,omitempty"`  // a caller has come
	StoreUnreachable bool             `cbor:"10,keyasint,omitempty"` // the platform does not answer this node
	StoreReplyAge    int64            `cbor:"14,keyasint,omitempty"` // nanoseconds since the platform's store last answered this node
	Fence            int64            `cbor:"11,keyasint,omitempty"` // of who places, whom the two below are from
	PlanCount        int64            `cbor:"12,keyasint,omitempty"` // its plans so far
	Quarantined      []string         `cbor:"13,keyasint,omitempty"` // endpoints whose last first host may still serve
}

// Entry is a row as the platform's store gave it.
type Entry struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint,omitempty"`
	Version int64  `cbor:"3,keyasint"`
	Removed bool   `cbor:"4,keyasint,omitempty"`
}

// Table is a table as a node knows it, or what changed in it.
type Table struct {
	Entries          []Entry `cbor:"1,keyasint"`
	Version          int64   `cbor:"2,keyasint"`
	Full             bool    `cbor:"3,keyasint,omitempty"`
	CompactedVersion int64   `cbor:"-"` // removals after this version are listed
}

// ChangesAfter gives what changed after a version; the whole table where that is not
// known any more.
func (table Table) ChangesAfter(version int64) Table {
	if version <= table.CompactedVersion {
		whole := Table{Version: table.Version, Full: true}
		for _, entry := range table.Entries {
			if !entry.Removed {
				whole.Entries = append(whole.Entries, entry)
			}
		}
		return whole
	}
	changed := Table{Version: table.Version}
	for _, entry := range table.Entries {
		if entry.Version > version {
			changed.Entries = append(changed.Entries, entry)
		}
	}
	return changed
}

// Local is the node that answers others.
type Local interface {
	HandleDigest(digest Digest) Digest
	Table(table int, after int64) Table
}

type fetchCall struct {
	Table int   `cbor:"1,keyasint"`
	After int64 `cbor:"2,keyasint"`
}

// Handler answers other nodes.
func Handler(local Local, peerKey string) (string, http.Handler) {
	options := wire.HandlerOptions([]wire.Key{{Name: "peer", SHA256: wire.HashKey(peerKey)}})
	routes := http.NewServeMux()
	routes.Handle(procedureTell, connect.NewUnaryHandler(procedureTell, func(_ context.Context, request *connect.Request[Digest]) (*connect.Response[Digest], error) {
		reply := local.HandleDigest(*request.Msg)
		return connect.NewResponse(&reply), nil
	}, options...))
	routes.Handle(procedureFetch, connect.NewUnaryHandler(procedureFetch, func(_ context.Context, request *connect.Request[fetchCall]) (*connect.Response[Table], error) {
		table := local.Table(request.Msg.Table, request.Msg.After)
		return connect.NewResponse(&table), nil
	}, options...))
	return "/hickorybend.gossip/", routes
}

// Client calls one other node.
type Client struct {
	tell  *connect.Client[Digest, Digest]
	fetch *connect.Client[fetchCall, Table]
}

// NewClient makes a client of the node at an address.
func NewClient(client *http.Client, address, peerKey string) *Client {
	options := wire.ClientOptions(peerKey)
	return &Client{
		tell:  connect.NewClient[Digest, Digest](client, "http://"+address+procedureTell, options...),
		fetch: connect.NewClient[fetchCall, Table](client, "http://"+address+procedureFetch, options...),
	}
}

// Exchange exchanges digests.
func (client *Client) Exchange(ctx context.Context, digest Digest) (Digest, error) {
	ctx, cancel := context.WithTimeout(ctx, tellLimit)
	defer cancel()
	reply, err := client.tell.CallUnary(ctx, connect.NewRequest(&digest))
	if err != nil {
		return Digest{}, errors.Mark(errors.Wrap(err, "gossip: telling"), ErrNoReply)
	}
	return *reply.Msg, nil
}

// Fetch gets what changed in a table after a version.
func (client *Client) Fetch(ctx context.Context, table int, after int64) (Table, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchLimit)
	defer cancel()
	reply, err := client.fetch.CallUnary(ctx, connect.NewRequest(&fetchCall{Table: table, After: after}))
	if err != nil {
		return Table{}, errors.Mark(errors.Wrap(err, "gossip: fetching"), ErrNoReply)
	}
	return *reply.Msg, nil
}
