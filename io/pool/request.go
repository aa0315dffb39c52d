package pool

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"
)

// httpRequest returns the request to write, with its target unchanged.
func (request Request) httpRequest() (*http.Request, error) {
	if !strings.HasPrefix(request.Target, "/") || strings.HasPrefix(request.Target, "//") {
		return nil, errors.Newf("pool: target %q is no path", request.Target)
	}
	httpRequest := &http.Request{
		Method: request.Method, URL: &url.URL{Opaque: request.Target}, Host: request.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: request.Header,
	}
	if _, hasUserAgent := httpRequest.Header["User-Agent"]; !hasUserAgent {
		httpRequest.Header.Set("User-Agent", "") // keeps net/http from adding its own
	}
	if len(request.Body) > 0 {
		httpRequest.Body = io.NopCloser(bytes.NewReader(request.Body))
		httpRequest.ContentLength = int64(len(request.Body))
	}
	return httpRequest, nil
}

func (request Request) isHead() bool { return request.Method == http.MethodHead }
