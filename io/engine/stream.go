package engine

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

// GenerateRequest is a request to a model engine.
type GenerateRequest struct {
	Address   string
	Path      string
	RequestID string
	Replica   string
	Epoch     int64
	Priority  int
	Body      []byte
}

// Stream reads an engine's response, a stream of server-sent events.
type Stream struct {
	body   io.ReadCloser
	reader *bufio.Reader
}

const streamBufferBytes = 8 << 10

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, streamBufferBytes) }}

// Generate starts a stream. After ErrUnreached and ErrRejected the engine has not
// started the request, after ErrIncompleteResponse it may have. An engine rejects a request
// with status 409 or 429; no other status tells that it has not run.
func (client *Client) Generate(ctx context.Context, generaterequest GenerateRequest) (*Stream, error) {
	address := "http://" + generaterequest.Address + generaterequest.Path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(generaterequest.Body))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "engine: building a request"), ErrUnreached)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-Id", generaterequest.RequestID)
	request.Header.Set("X-Replica", generaterequest.Replica)
	request.Header.Set("X-Epoch", strconv.FormatInt(generaterequest.Epoch, 10))
	request.Header.Set("X-Priority", strconv.Itoa(generaterequest.Priority))
	response, err := client.requests.Do(request)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "engine: starting a stream"), ErrIncompleteResponse)
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusConflict, http.StatusTooManyRequests:
		_ = response.Body.Close()
		return nil, errors.Wrapf(ErrRejected, "status %d", response.StatusCode)
	default:
		_ = response.Body.Close()
		return nil, errors.Wrapf(ErrIncompleteResponse, "status %d", response.StatusCode)
	}
	reader := readerPool.Get().(*bufio.Reader)
	reader.Reset(response.Body)
	return &Stream{body: response.Body, reader: reader}, nil
}

var dataPrefix = []byte("data: ")

// Next returns the payload of the next event; it is valid until the next call.
func (stream *Stream) Next() ([]byte, error) {
	for {
		line, err := stream.reader.ReadSlice('\n')
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, "engine: reading a stream"), ErrIncompleteResponse)
		}
		line = bytes.TrimRight(line, "\r\n")
		if payload, found := bytes.CutPrefix(line, dataPrefix); found {
			stream.skipBlank()
			return payload, nil
		}
	}
}

// skipBlank discards the blank line that ends the event if it is buffered, so that
// Buffered reports later events only. The payload in the buffer stays valid.
func (stream *Stream) skipBlank() {
	for stream.reader.Buffered() > 0 {
		next, err := stream.reader.Peek(1)
		if err != nil || next[0] != '\n' && next[0] != '\r' {
			return
		}
		_, _ = stream.reader.Discard(1)
	}
}

// Buffered reports whether more of the stream has already arrived.
func (stream *Stream) Buffered() bool { return stream.reader.Buffered() > 0 }

// Close releases the stream. If the response has not ended yet, Close also closes the
// connection, which shows the engine that its client has gone.
func (stream *Stream) Close() {
	_ = stream.body.Close()
	stream.reader.Reset(nil)
	readerPool.Put(stream.reader)
}
