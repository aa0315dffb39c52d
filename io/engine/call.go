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

// Call is a request to a plain service.
type Call struct {
	Address string
	Method  string
	Target  string
	Header  http.Header
	Body    []byte
}

// Response is a plain service's complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// MaxResponseBytes bounds the body of a plain service's response. The body has to fit
// into one transaction of the table service, which takes 4 MB.
const MaxResponseBytes = 3 << 20

// Call sends a request once. ErrUnreached proves that the request did not run;
// after any other error it may have run.
func (client *Client) Call(ctx context.Context, call Call) (Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Target, bytes.NewReader(call.Body))
	if err != nil {
		return Response{}, errors.Mark(errors.Wrap(err, "engine: building a call"), ErrUnreached)
	}
	request.Header = call.Header
	response, err := client.requests.Do(request)
	if err != nil && !connected.Load() {
		return Response{}, errors.Mark(errors.Wrap(err, "engine: connecting"), ErrUnreached)
	}
	if err != nil {
		return Response{}, errors.Mark(errors.Wrap(err, "engine: calling"), ErrIncompleteResponse)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseBytes+1))
	if err != nil {
		return Response{}, errors.Mark(errors.Wrap(err, "engine: reading a response"), ErrIncompleteResponse)
	}
	if len(body) > MaxResponseBytes {
		return Response{}, errors.Wrapf(ErrIncompleteResponse, "response larger than %d bytes", MaxResponseBytes)
	}
	return Response{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}
