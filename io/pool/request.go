package pool

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"
)

// http makes the request that is written, with the target as it came.
func (request Request) http() (*http.Request, error) {
	if !strings.HasPrefix(request.Target, "/") || strings.HasPrefix(request.Target, "//") {
		return nil, errors.Newf("pool: target %q is no path", request.Target)
	}
	sent := &http.Request{
		Method: request.Method, URL: &url.URL{Opaque: request.Target}, Host: request.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: request.Header,
	}
	if _, given := sent.Header["User-Agent"]; !given {
		sent.Header.Set("User-Agent", "") // net/http would name itself
	}
	if len(request.Body) > 0 {
		sent.Body = io.NopCloser(bytes.NewReader(request.Body))
		sent.ContentLength = int64(len(request.Body))
	}
	return sent, nil
}
