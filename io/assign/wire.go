package assign

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"hickorybend/io/wire"
)

const (
	procedurePlace  = "/hickorybend.assign/place"
	procedureReport = "/hickorybend.assign/report"
)

// placeRequest asks which replica should serve a request. Times are nanoseconds from now on.
type placeRequest struct {
	reportRequest
	ID        uint64   `cbor:"10,keyasint"`
	Service   string   `cbor:"11,keyasint"`
	Model     string   `cbor:"12,keyasint"`
	Prompt    int      `cbor:"13,keyasint,omitempty"` // tokens
	Answer    int      `cbor:"14,keyasint,omitempty"` // the most tokens
	FirstLeft int64    `cbor:"15,keyasint,omitempty"` // until its first event is due
	Left      int64    `cbor:"16,keyasint,omitempty"` // until its deadline
	Pause     int64    `cbor:"17,keyasint,omitempty"` // objective for the longest pause between two events
	Priority  int      `cbor:"18,keyasint,omitempty"`
	Team      string   `cbor:"19,keyasint,omitempty"`
	Resumed   bool     `cbor:"21,keyasint,omitempty"` // part of its answer has been delivered
	Unusable  []string `cbor:"20,keyasint,omitempty"` // endpoints that the node cannot send it to
}

// placeReply is the answer to a placeRequest.
type placeReply struct {
	reportReply
	Endpoint   string `cbor:"10,keyasint,omitempty"` // empty if the leader names none
	Rejected   bool   `cbor:"11,keyasint,omitempty"`
	RetryAfter int64  `cbor:"12,keyasint,omitempty"` // nanoseconds from now on, of a request that is rejected
}

// reportRequest reports on the requests that a node has at replicas.
type reportRequest struct {
	Node    string   `cbor:"1,keyasint"`
	Epoch   int64    `cbor:"2,keyasint,omitempty"` // the leader's, as the node knows it
	Full    bool     `cbor:"3,keyasint,omitempty"` // the reports are on all requests that the node has
	Reports []report `cbor:"4,keyasint,omitempty"`
	Number  int64    `cbor:"5,keyasint,omitempty"` // higher than that of all calls with reports before; 0 without reports
}

// reportReply is the answer to a reportRequest.
type reportReply struct {
	Epoch   int64 `cbor:"1,keyasint,omitempty"` // since when the node has led; 0 if it does not lead or is late
	Unknown bool  `cbor:"2,keyasint,omitempty"` // the leader needs a full report
}

// The stages of a request at a replica.
const (
	stageBegun = iota
	stageStarted
	stageEnded
)

// report says how far a request has got at a replica.
type report struct {
	ID      uint64 `cbor:"1,keyasint"`
	Stage   int    `cbor:"2,keyasint,omitempty"`
	Service string `cbor:"3,keyasint,omitempty"` // this and what follows only if it has not ended
	Model   string `cbor:"4,keyasint,omitempty"`
	Replica string `cbor:"5,keyasint,omitempty"`
	Prompt  int    `cbor:"6,keyasint,omitempty"`
	Answer  int    `cbor:"7,keyasint,omitempty"`
	Left    int64  `cbor:"8,keyasint,omitempty"` // nanoseconds until its deadline
}

// leader is a leader that a client asks, over the network or in the same process.
type leader interface {
	place(ctx context.Context, request *placeRequest) (*placeReply, error)
	report(ctx context.Context, request *reportRequest) (*reportReply, error)
}

// Handler returns the path prefix and the handler of calls from other nodes.
func Handler(server *Server, peerKey string) (string, http.Handler) {
	options := wire.HandlerOptions([]wire.Key{{Name: "peer", SHA256: wire.HashKey(peerKey)}})
	mux := http.NewServeMux()
	mux.Handle(procedurePlace, connect.NewUnaryHandler(procedurePlace, func(ctx context.Context, request *connect.Request[placeRequest]) (*connect.Response[placeReply], error) {
		reply, err := server.place(ctx, request.Msg)
		return connect.NewResponse(reply), err
	}, options...))
	mux.Handle(procedureReport, connect.NewUnaryHandler(procedureReport, func(ctx context.Context, request *connect.Request[reportRequest]) (*connect.Response[reportReply], error) {
		reply, err := server.report(ctx, request.Msg)
		return connect.NewResponse(reply), err
	}, options...))
	return "/hickorybend.assign/", mux
}

// remote is a leader at another node.
type remote struct {
	placing   *connect.Client[placeRequest, placeReply]
	reporting *connect.Client[reportRequest, reportReply]
}

func newRemote(client *http.Client, address, peerKey string) *remote {
	options := append(wire.ClientOptions(peerKey), connect.WithAcceptCompression("gzip", nil, nil)) // compressing a small reply costs more than sending it
	return &remote{
		placing:   connect.NewClient[placeRequest, placeReply](client, "http://"+address+procedurePlace, options...),
		reporting: connect.NewClient[reportRequest, reportReply](client, "http://"+address+procedureReport, options...),
	}
}

func (remote *remote) place(ctx context.Context, request *placeRequest) (*placeReply, error) {
	reply, err := remote.placing.CallUnary(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, errors.Wrap(err, "assign: asking for a replica")
	}
	return reply.Msg, nil
}

func (remote *remote) report(ctx context.Context, request *reportRequest) (*reportReply, error) {
	reply, err := remote.reporting.CallUnary(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, errors.Wrap(err, "assign: reporting requests")
	}
	return reply.Msg, nil
}
