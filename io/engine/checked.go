package engine

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"

	"github.com/cockroachdb/errors"

	"hickorybend/io/pool"
)

const (
	maxHeadBytes   = 64 << 10 // of a response
	maxInterim     = 32       // interim responses before one response
	lengthHeader   = "Content-Length"
	encodingHeader = "Transfer-Encoding"
)

var (
	errInvalidStatus  = errors.New("engine: the response has no valid status")
	errInvalidInterim = errors.New("engine: an interim response has a body, or too many have come")
)

// checkedTransport passes on no response whose status is invalid, and uses no connection again on which one, or an
// interim response, has come. Errors of such responses are marked by ErrIncompleteResponse.
type checkedTransport struct{ transport http.RoundTripper }

// exchange is what a checkedTransport knows of one request.
type exchange struct {
	mutex   sync.Mutex
	conn    net.Conn
	interim int
	begun   bool // a byte of a response has come
}

// RoundTrip sends a request and returns its response.
func (checkedtransport checkedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	exchange := &exchange{}
	trace := &httptrace.ClientTrace{GotConn: exchange.gotConn, GotFirstResponseByte: exchange.gotByte, Got1xxResponse: exchange.gotInterim}
	response, err := checkedtransport.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	switch {
	case err != nil && exchange.hasBegun() && !pool.EndedInHead(err):
		exchange.close()
		return nil, errors.Mark(err, ErrIncompleteResponse)
	case err != nil:
		return nil, err
	}
	if response.StatusCode < http.StatusOK || response.StatusCode > pool.MaxStatus {
		exchange.close()
		_ = response.Body.Close()
		return nil, errors.Mark(errors.Wrapf(errInvalidStatus, "%03d", response.StatusCode), ErrIncompleteResponse)
	}
	if exchange.hadInterim() {
		response.Body = closingBody{ReadCloser: response.Body, exchange: exchange}
	}
	return response, nil
}

func (exchange *exchange) gotByte() {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	exchange.begun = true
}

func (exchange *exchange) hasBegun() bool {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	return exchange.begun
}

func (exchange *exchange) gotConn(info httptrace.GotConnInfo) {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	exchange.conn = info.Conn
}

// gotInterim counts an interim response. One with a length or chunks is meant as the final one.
func (exchange *exchange) gotInterim(_ int, header textproto.MIMEHeader) error {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	exchange.interim++
	if len(header[lengthHeader]) > 0 || len(header[encodingHeader]) > 0 || exchange.interim > maxInterim {
		return errInvalidInterim
	}
	return nil
}

func (exchange *exchange) hadInterim() bool {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	return exchange.interim > 0
}

// close closes the connection, so that it is not used again.
func (exchange *exchange) close() {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	if exchange.conn != nil {
		_ = exchange.conn.Close()
	}
}

// closingBody is a body whose connection is not used again.
type closingBody struct {
	io.ReadCloser
	exchange *exchange
}

// Close closes the body and its connection.
func (closingbody closingBody) Close() error {
	closingbody.exchange.close()
	return closingbody.ReadCloser.Close()
}
