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

// GenerateRequest is one request to a model engine.
type GenerateRequest struct {
	Address   string
	Path      string
	RequestID string
	Replica   string
	Epoch     int64
	Priority  int
	Body      []byte
}

// Stream is an engine's answer, event by event.
type Stream struct {
	body   io.ReadCloser
	reader *bufio.Reader
}

const streamBufferBytes = 8 << 10

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, streamBufferBytes) }}

// Generate starts a stream; the error tells whether the engine may have begun.
func (client *Client) Generate(ctx context.Context, generaterequest GenerateRequest) (*Stream, error) {
	address := "http://" + generaterequest.Address + generaterequest.Path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(generaterequest.Body))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "engine: making a request"), ErrUnreached)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-Id", generaterequest.RequestID)
	request.Header.Set("X-Replica", generaterequest.Replica)
	request.Header.Set("X-Epoch", strconv.FormatInt(generaterequest.Epoch, 10))
	request.Header.Set("X-Priority", strconv.Itoa(generaterequest.Priority))
	answer, err := client.streams.Do(request)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "engine: starting a stream"), ErrIncompleteResponse)
	}
	if answer.StatusCode != http.StatusOK {
		_ = answer.Body.Close()
		return nil, errors.Wrapf(ErrRefused, "status %d", answer.StatusCode)
	}
	reader := readers.Get().(*bufio.Reader)
	reader.Reset(answer.Body)
	return &Stream{body: answer.Body, reader: reader}, nil
}

var dataPrefix = []byte("data: ")

// Next gives the payload of the next event; it is valid until the next call.
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

// skipBlank takes the end of the event out of the buffer, so that Buffered
// speaks of later events only; the payload stays where it is.
func (stream *Stream) skipBlank() {
	for stream.reader.Buffered() > 0 {
		next, err := stream.reader.Peek(1)
		if err != nil || next[0] != '\n' && next[0] != '\r' {
			return
		}
		_, _ = stream.reader.Discard(1)
	}
}

// Buffered tells whether more of the stream has arrived already.
func (stream *Stream) Buffered() bool { return stream.reader.Buffered() > 0 }

// Close ends the stream; the engine sees its caller go.
func (stream *Stream) Close() {
	_ = stream.body.Close()
	stream.reader.Reset(nil)
	readers.Put(stream.reader)
}
