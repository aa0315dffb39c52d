package entry

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"hickorybend/platform"
)

// TestCrashingRequestAcquittedByRejection guards against an answer that acquits a request
// that crashes endpoints, though no endpoint has run it.
func TestCrashingRequestAcquittedByRejection(t *testing.T) {
	for _, test := range []struct {
		status  int
		receipt bool
		want    bool
	}{
		{http.StatusNotFound, true, true},
		{http.StatusNotFound, false, false},
		{http.StatusTooManyRequests, true, false},
		{http.StatusMisdirectedRequest, true, false},
		{http.StatusInternalServerError, true, false},
		{http.StatusServiceUnavailable, true, false},
	} {
		assert.Equal(t, showsExecution(test.status, platform.ResponseHeader{Receipt: test.receipt}), test.want, "%+v", test)
	}
}
