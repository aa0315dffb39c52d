package engine_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"hickorybend/io/engine"
)

// TestEnginesErrorPassesForRejection guards against a caller who is told that a request has not
// run, though an engine that has begun it has answered with an error.
func TestEnginesErrorPassesForRejection(t *testing.T) {
	for status, rejected := range map[int]bool{400: false, 409: true, 421: false, 429: true, 500: false, 502: false, 503: false, 504: false} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
			defer server.Close()
			_, err := engine.New().Generate(t.Context(), engine.GenerateRequest{Address: strings.TrimPrefix(server.URL, "http://"), Path: "/v1/completions"})
			assert.Equal(t, errors.Is(err, engine.ErrRejected), rejected, "%v", err)
			assert.Equal(t, errors.Is(err, engine.ErrIncompleteResponse), !rejected, "%v", err)
		})
	}
}
