package entry

import (
	"net/http"
	"strconv"
	"time"

	"hickorybend/core/reach"
)

// reject answers 503, which means that the request has not run, and states after
// which delay the caller may retry it.
func (request *request) reject(reason string, after time.Duration) {
	request.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	request.fail(http.StatusServiceUnavailable, reason)
}

// fail answers with an error status of this node.
func (request *request) fail(status int, reason string) {
	request.status, request.outcome = status, reason
	request.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	request.markPeerOutcome()
	request.w.WriteHeader(status)
	_, _ = request.w.Write([]byte(reason + "\n")) // the request's context reports a caller that disconnected
}

// giveUp answers a request that no endpoint answered. It answers 503 (not run)
// only if no attempt may have run, and otherwise 504 past the deadline or 502.
func (request *request) giveUp(reject reach.Reject, cause string) {
	switch {
	case !request.mayHaveRun:
		request.reject(cause, max(time.Until(reject.RetryAt), request.server.routing.MinRetryDelay))
	case !time.Now().Before(request.deadline):
		request.fail(http.StatusGatewayTimeout, "no answer within the time limit")
	default:
		request.fail(http.StatusBadGateway, cause)
	}
}

// writeResponse sends an endpoint's response to the caller.
func (request *request) writeResponse(response *http.Response, body []byte, header http.Header) {
	request.status = response.StatusCode
	dst := request.w.Header()
	copyHeaders(dst, header)
	if _, hasType := header["Content-Type"]; !hasType {
		dst["Content-Type"] = nil // keeps net/http from guessing one
	}
	if request.r.Method == http.MethodHead {
		dst["Content-Length"] = response.Header["Content-Length"]
	} else if response.StatusCode != http.StatusNoContent && response.StatusCode != http.StatusNotModified {
		dst.Set("Content-Length", strconv.Itoa(len(body)))
	}
	request.w.WriteHeader(response.StatusCode)
	_, _ = request.w.Write(body) // the request's context reports a caller that disconnected
}
