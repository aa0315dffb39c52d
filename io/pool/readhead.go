package pool

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"
)

// MaxStatus is the highest status of a response.
const MaxStatus = 599

// readHead reads the head of an interim or a final response. Nothing follows an invalid one that could belong
// to the request.
func (connection *connection) readHead(httpRequest *http.Request) (*http.Response, error) {
	response, err := http.ReadResponse(connection.reader, httpRequest)
	switch {
	case err != nil && !EndedInHead(err):
		return nil, errors.Mark(err, ErrInvalidResponse)
	case err != nil:
		return nil, err
	case !validStatus(response):
		return nil, errors.Mark(errors.Newf("pool: status %03d is not valid here", response.StatusCode), ErrInvalidResponse)
	}
	return response, nil
}

// EndedInHead reports whether an error while a head was read is one of the connection or of the context, rather than of
// what has come on the connection.
func EndedInHead(err error) bool {
	var netError net.Error
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, os.ErrDeadlineExceeded, context.Canceled) || errors.As(err, &netError)
}

// validStatus reports whether a status is one of a final response, or of an interim one that needs no request for
// it. An interim response has neither a length nor chunks: one that has them is meant as the final one.
func validStatus(response *http.Response) bool {
	switch status := response.StatusCode; {
	case status == http.StatusSwitchingProtocols:
		return false
	case status >= http.StatusContinue && status < http.StatusOK:
		return len(response.Header["Content-Length"]) == 0 && len(response.Header["Transfer-Encoding"]) == 0 && len(response.TransferEncoding) == 0
	default:
		return status >= http.StatusOK && status <= MaxStatus
	}
}
