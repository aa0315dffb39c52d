package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Call is one request to a plain service.
type Call struct {
	Address string
	Method  string
	Target  string
	Header  http.Header
	Body    []byte
}

// Response is a plain service's whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// MaxResponseBytes bounds a plain service's answer; it has to fit into one
// transaction of the table service, which takes 4 MB.
const MaxResponseBytes = 3 << 20

// Call sends a request once. ErrUnreached is proof that it did not run; any
// other error leaves that open.
func (client *Client) Call(ctx context.Context, call Call) (Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Target, bytes.NewReader(call.Body))
	if err != nil {
		return Response{}, errors.Mark(errors.Wrap(err, "engine: making a call"), ErrUnreached)
	}
	request.Header = call.Header
	answer, err := client.calls.Do(request)
	if err != nil && !connected.Load() {
		return Response{}, errors.Mark(errors.Wrap(err, "engine: connecting"), ErrUnreached)
	}
	if err != nil {
		return Response{}, errors.Mark(errors.Wrap(err, "engine: calling"), ErrIncompleteResponse)
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, MaxResponseBytes+1))
	if err != nil {
		return Response{}, errors.Mark(errors.Wrap(err, "engine: reading an answer"), ErrIncompleteResponse)
	}
	if len(body) > MaxResponseBytes {
		return Response{}, errors.Wrapf(ErrIncompleteResponse, "an answer over %d bytes", MaxResponseBytes)
	}
	return Response{Status: answer.StatusCode, Header: answer.Header, Body: body}, nil
}
