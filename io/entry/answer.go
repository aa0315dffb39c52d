package entry

import (
	"net/http"
	"strconv"
	"time"

	"hickorybend/core/reach"
)

// refuse says that the request has not run and when to come back.
func (visit *visit) refuse(reason string, after time.Duration) {
	visit.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	visit.fail(http.StatusServiceUnavailable, reason)
}

// fail answers with a status of this node's own.
func (visit *visit) fail(status int, reason string) {
	visit.status, visit.outcome = status, reason
	visit.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	visit.w.WriteHeader(status)
	_, _ = visit.w.Write([]byte(reason + "\n")) // a caller that left is found by its context
}

// giveUp ends a request that no endpoint answered: with "not run" where that
// is certain.
func (visit *visit) giveUp(refusal reach.Reject, cause string) {
	switch {
	case !visit.ran:
		visit.refuse(cause, max(time.Until(refusal.RetryAt), visit.server.reach.MinRetryDelay))
	case !time.Now().Before(visit.deadline):
		visit.fail(http.StatusGatewayTimeout, "no answer within the time limit")
	default:
		visit.fail(http.StatusBadGateway, cause)
	}
}

// writeWhole hands an endpoint's answer back.
func (visit *visit) writeWhole(response *http.Response, body []byte, header http.Header) {
	visit.status = response.StatusCode
	into := visit.w.Header()
	copyHeaders(into, header)
	if _, typed := header["Content-Type"]; !typed {
		into["Content-Type"] = nil // net/http would guess one
	}
	if visit.r.Method == http.MethodHead {
		into["Content-Length"] = response.Header["Content-Length"]
	} else if response.StatusCode != http.StatusNoContent && response.StatusCode != http.StatusNotModified {
		into.Set("Content-Length", strconv.Itoa(len(body)))
	}
	visit.w.WriteHeader(response.StatusCode)
	_, _ = visit.w.Write(body) // a caller that left is found by its context
}
