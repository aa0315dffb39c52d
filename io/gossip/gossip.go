package gossip

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"hickorybend/core/evac"
	"hickorybend/core/rows"
	"hickorybend/core/topo"
	"hickorybend/io/wire"
)

const (
	procedureExchange = "/hickorybend.gossip/tell"
	procedureFetch    = "/hickorybend.gossip/fetch"
	procedureBlocks   = "/hickorybend.gossip/blocks"
	procedureLift     = "/hickorybend.gossip/lift"
	procedureZones    = "/hickorybend.gossip/evacuations"
	exchangeTimeout   = 500 * time.Millisecond // a round trip between zones takes 10 ms
	fetchTimeout      = 1500 * time.Millisecond
	operatorTimeout   = 5 * time.Second // of the calls that operators make
)

// ErrNoReply marks errors of calls that another node did not answer.
var ErrNoReply = errors.New("gossip: the node did not answer")

// Digest is the state that nodes exchange many times a second.
type Digest struct {
	Node             string               `cbor:"1,keyasint"`
	Zone             string               `cbor:"9,keyasint"`
	Scope            topo.Scope           `cbor:"29,keyasint,omitempty"` // whose requests are counted
	Versions         []rows.Version       `cbor:"2,keyasint"`            // of the tables that nodes fetch from each other, in a fixed order; that of the configuration is the operators'
	InFlight         map[string]int       `cbor:"3,keyasint,omitempty"`  // requests by endpoint
	PendingTokens    map[string]int       `cbor:"7,keyasint,omitempty"`  // tokens of prompts whose answer has not begun, by endpoint
	Demand           map[string]int64     `cbor:"8,keyasint,omitempty"`  // nanoseconds of estimated host time by model since a start of the node, or in a sum since it first led; see topo.Growth
	Unresponsive     []string             `cbor:"4,keyasint,omitempty"`  // endpoints that do not answer this node, or may not
	Lost             []string             `cbor:"23,keyasint,omitempty"` // endpoints that the node watches for the others, and that do not answer it
	Leaving          []Leaving            `cbor:"19,keyasint,omitempty"` // endpoints that have said in an answer that they leave
	HadRequests      bool                 `cbor:"5,keyasint,omitempty"`  // a request has arrived since the start, at this node or at one whose digest it has
	StoreUnreachable bool                 `cbor:"10,keyasint,omitempty"` // the platform's store does not answer this node
	StoreReplyAge    int64                `cbor:"14,keyasint,omitempty"` // nanoseconds since the store last answered this node
	Fence            int64                `cbor:"11,keyasint,omitempty"` // fencing number of the placement lease whose holder reports PlanCount, Quarantined and Cleared
	PlanCount        int64                `cbor:"12,keyasint,omitempty"` // planning passes that the holder has made under this fencing number
	Quarantined      []string             `cbor:"13,keyasint,omitempty"` // endpoints whose previous first host may still serve; for nodes of earlier builds, which take all others for free
	Cleared          []Cleared            `cbor:"52,keyasint,omitempty"` // endpoints that the holder has cleared; see fleet.Clearance
	Complete         rows.Version         `cbor:"16,keyasint,omitempty"` // the store's version up to which the node's copy of the endpoints has every change
	Compacted        rows.Version         `cbor:"17,keyasint,omitempty"` // that copy has removals up to this version that the node can't list
	Ages             []int64              `cbor:"15,keyasint,omitempty"` // nanoseconds since the node's copies of the tables in Versions were known to be complete; -1 if they never were
	ConfirmedAt      []time.Time          `cbor:"-"`                     // the same as times of the node's own clock
	Crashes          Crashes              `cbor:"20,keyasint,omitempty"`
	Limits           []EndpointLimit      `cbor:"21,keyasint,omitempty"` // what endpoints stated to this node
	Requests         map[string]int64     `cbor:"22,keyasint,omitempty"` // requests received since the start, by service
	Answering        []string             `cbor:"25,keyasint,omitempty"` // endpoints that other nodes list as Unresponsive, and that have just answered this node
	AnswerAges       map[string]int64     `cbor:"28,keyasint,omitempty"` // nanoseconds since those answers
	AnsweredAt       map[string]time.Time `cbor:"-"`                     // the same as times of the node's own clock
	Asked            []string             `cbor:"27,keyasint,omitempty"` // endpoints that the node watches for the others and finds silent, and that some of these are to probe
	Gone             []string             `cbor:"30,keyasint,omitempty"` // nodes that are gone, unless the receiver has said that it holds the same for gone
	GoneSum          uint64               `cbor:"31,keyasint,omitempty"` // SumOf them
	Late             bool                 `cbor:"32,keyasint,omitempty"` // the node's periodic work has been late in the last second; in a sum, that of every node has
	Placing          bool                 `cbor:"50,keyasint,omitempty"` // the node itself places replicas, and polls the store for all tables
	CutOff           []string             `cbor:"26,keyasint,omitempty"` // nodes that endpoints do not answer, though they answer others
	HeldTokens       map[string]int       `cbor:"51,keyasint,omitempty"` // tokens of the prompts and longest answers of the requests in InFlight, by endpoint
	Usable           map[string]int       `cbor:"24,keyasint,omitempty"` // endpoints that the node sends requests to, by pool (reach.PoolKey); in a sum, those of the node that uses most
	Evacuations      *Evacuations         `cbor:"40,keyasint,omitempty"` // nil if the sender does not know
	Evacuated        evac.State           `cbor:"-"`                     // the same with times of the node's own clock
	Cold             []ColdEndpoint       `cbor:"41,keyasint,omitempty"` // endpoints that are cold by the node's tables or by other digests
}

// SumOf returns a fingerprint of names, whatever their order.
func SumOf(names []string) uint64 {
	sum := uint64(0)
	for _, name := range names {
		sum ^= xxhash.Sum64String(name)
	}
	return sum
}

// Leaving names an endpoint that has said in an answer that it leaves.
type Leaving struct {
	Endpoint  string `cbor:"1,keyasint"`
	StartedAt int64  `cbor:"2,keyasint"` // Unix milliseconds; what it said holds until its next start
}

// Cleared names an endpoint that may join a replica as long as it accepts no other command.
type Cleared struct {
	Endpoint     string `cbor:"1,keyasint"`
	StartedAt    int64  `cbor:"2,keyasint"` // Unix milliseconds; of its incarnation
	CommandCount int64  `cbor:"3,keyasint"` // commands that it had accepted then
}

// Entry is a row as the platform's store returned it.
type Entry struct {
	Key       string       `cbor:"1,keyasint"`
	Value     []byte       `cbor:"2,keyasint,omitempty"`
	Version   rows.Version `cbor:"3,keyasint"`
	Removed   bool         `cbor:"4,keyasint,omitempty"`
	GraceLeft int64        `cbor:"5,keyasint,omitempty"` // nanoseconds for which a removed row may still come back after a store outage
	GraceEnd  time.Time    `cbor:"-"`                    // the same as a time of the node's own clock
}

// Table is a node's copy of a table, or the changes in it.
type Table struct {
	Entries          []Entry      `cbor:"1,keyasint"`
	Version          rows.Version `cbor:"2,keyasint"`
	Full             bool         `cbor:"3,keyasint,omitempty"`
	Age              int64        `cbor:"4,keyasint,omitempty"` // nanoseconds since the copy was known to be complete; 0 if that is not known
	Complete         rows.Version `cbor:"5,keyasint,omitempty"` // the store's version up to which the copy has every change, for the endpoints
	Evacuations      *Evacuations `cbor:"6,keyasint,omitempty"` // with the table of the configuration, which has their rows too
	CompactedVersion rows.Version `cbor:"-"`                    // Entries list removals after this version only
}

// ChangesAfter returns the changes after a version as of now, or the full table if
// removals since then are not listed. A full table lists removals only of rows
// that may still come back.
func (table Table) ChangesAfter(version rows.Version, now time.Time) Table {
	changes := Table{Version: table.Version, Full: version < table.CompactedVersion}
	for _, entry := range table.Entries {
		inGrace := entry.GraceEnd.After(now)
		if inGrace {
			entry.GraceLeft = int64(entry.GraceEnd.Sub(now))
		}
		if changes.Full && (!entry.Removed || inGrace) || !changes.Full && entry.Version > version {
			changes.Entries = append(changes.Entries, entry)
		}
	}
	return changes
}

// Local is this node, which answers the calls of others.
type Local interface {
	HandleDigest(digest Digest) Digest
	Table(table int, after rows.Version) Table
	BlockStatusList(ctx context.Context) (BlockStatusList, error)
	Lift(ctx context.Context, request LiftRequest) (LiftReply, error)
	EvacuationList(ctx context.Context) (EvacuationList, error)
}

// blocksRequest asks for the blocked inputs.
type blocksRequest struct{}

// fetchRequest asks for the changes in a table after a version.
type fetchRequest struct {
	Table int          `cbor:"1,keyasint"`
	After rows.Version `cbor:"2,keyasint"`
}

// Handler returns the path prefix and the handler of calls from other nodes, and of
// operators who have the nodes' key.
func Handler(local Local, peerKey string) (string, http.Handler) {
	options := wire.HandlerOptions([]wire.Key{{Name: "peer", SHA256: wire.HashKey(peerKey)}})
	mux := http.NewServeMux()
	mux.Handle(procedureExchange, connect.NewUnaryHandler(procedureExchange, func(_ context.Context, request *connect.Request[Digest]) (*connect.Response[Digest], error) {
		reply := local.HandleDigest(*request.Msg)
		return connect.NewResponse(&reply), nil
	}, options...))
	mux.Handle(procedureFetch, connect.NewUnaryHandler(procedureFetch, func(_ context.Context, request *connect.Request[fetchRequest]) (*connect.Response[Table], error) {
		table := local.Table(request.Msg.Table, request.Msg.After)
		return connect.NewResponse(&table), nil
	}, options...))
	mux.Handle(procedureBlocks, connect.NewUnaryHandler(procedureBlocks, func(ctx context.Context, _ *connect.Request[blocksRequest]) (*connect.Response[BlockStatusList], error) {
		blockstatuslist, err := local.BlockStatusList(ctx)
		return connect.NewResponse(&blockstatuslist), err
	}, options...))
	mux.Handle(procedureLift, connect.NewUnaryHandler(procedureLift, func(ctx context.Context, request *connect.Request[LiftRequest]) (*connect.Response[LiftReply], error) {
		liftreply, err := local.Lift(ctx, *request.Msg)
		return connect.NewResponse(&liftreply), err
	}, options...))
	mux.Handle(procedureZones, connect.NewUnaryHandler(procedureZones, func(ctx context.Context, _ *connect.Request[evacuationsRequest]) (*connect.Response[EvacuationList], error) {
		evacuationlist, err := local.EvacuationList(ctx)
		return connect.NewResponse(&evacuationlist), err
	}, options...))
	return "/hickorybend.gossip/", mux
}

// Client calls one other node.
type Client struct {
	exchange *connect.Client[Digest, Digest]
	fetch    *connect.Client[fetchRequest, Table]
	blocks   *connect.Client[blocksRequest, BlockStatusList]
	lift     *connect.Client[LiftRequest, LiftReply]
	zones    *connect.Client[evacuationsRequest, EvacuationList]
}

// NewClient creates a client for the node at an address.
func NewClient(client *http.Client, address, peerKey string) *Client {
	options := wire.ClientOptions(peerKey)
	return &Client{
		exchange: connect.NewClient[Digest, Digest](client, "http://"+address+procedureExchange, options...),
		fetch:    connect.NewClient[fetchRequest, Table](client, "http://"+address+procedureFetch, options...),
		blocks:   connect.NewClient[blocksRequest, BlockStatusList](client, "http://"+address+procedureBlocks, options...),
		lift:     connect.NewClient[LiftRequest, LiftReply](client, "http://"+address+procedureLift, options...),
		zones:    connect.NewClient[evacuationsRequest, EvacuationList](client, "http://"+address+procedureZones, options...),
	}
}

// Exchange sends a digest and returns the other node's.
func (client *Client) Exchange(ctx context.Context, digest Digest) (Digest, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := client.exchange.CallUnary(ctx, connect.NewRequest(&digest))
	if err != nil {
		return Digest{}, errors.Mark(errors.Wrap(err, "gossip: exchanging digests"), ErrNoReply)
	}
	return *reply.Msg, nil
}

// Fetch returns the changes in the other node's copy of a table after a version, or
// the full table.
func (client *Client) Fetch(ctx context.Context, table int, after rows.Version) (Table, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := client.fetch.CallUnary(ctx, connect.NewRequest(&fetchRequest{Table: table, After: after}))
	if err != nil {
		return Table{}, errors.Mark(errors.Wrap(err, "gossip: fetching a table"), ErrNoReply)
	}
	return *reply.Msg, nil
}

// BlockStatusList returns what the node knows of the inputs that are blocked.
func (client *Client) BlockStatusList(ctx context.Context) (BlockStatusList, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	reply, err := client.blocks.CallUnary(ctx, connect.NewRequest(&blocksRequest{}))
	if err != nil {
		return BlockStatusList{}, errors.Mark(errors.Wrap(err, "gossip: listing blocks"), ErrNoReply)
	}
	return *reply.Msg, nil
}

// Lift has the node lift the blocks of the inputs with an ID, which it tells the other
// nodes. It reports whether there were such blocks.
func (client *Client) Lift(ctx context.Context, input string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	reply, err := client.lift.CallUnary(ctx, connect.NewRequest(&LiftRequest{Input: input}))
	if err != nil {
		return false, errors.Mark(errors.Wrap(err, "gossip: lifting a block"), ErrNoReply)
	}
	return reply.Msg.Lifted, nil
}

// EvacuationList returns what the node knows of the evacuated zones.
func (client *Client) EvacuationList(ctx context.Context) (EvacuationList, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	reply, err := client.zones.CallUnary(ctx, connect.NewRequest(&evacuationsRequest{}))
	if err != nil {
		return EvacuationList{}, errors.Mark(errors.Wrap(err, "gossip: listing evacuated zones"), ErrNoReply)
	}
	return *reply.Msg, nil
}
