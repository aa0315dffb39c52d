package admin

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"hickorybend/core/rows"
	"hickorybend/io/blobs"
)

// TestCodesOfErrors guards against outages that operators' tools take for defects, and
// so do not try again.
func TestCodesOfErrors(t *testing.T) {
	outage := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	defer outage.Close()
	objects := blobs.New(blobs.Options{Endpoint: outage.URL, Bucket: "b", Region: "r", KeyID: "k", Secret: "s", HTTP: outage.Client()})
	_, errPut := objects.Put(t.Context(), []byte("text"))
	_, errGet := objects.Get(t.Context(), "name")
	for _, test := range []struct {
		name string
		err  error
		want connect.Code
	}{
		{"object store does not store", errPut, connect.CodeUnavailable},
		{"object store does not read", errGet, connect.CodeUnavailable},
		{"table service does not answer", errors.Wrap(rows.ErrOutage, "listing"), connect.CodeUnavailable},
		{"change not confirmed", ErrBusy, connect.CodeUnavailable},
		{"unknown version", errors.Wrap(ErrUnknownVersion, "9"), connect.CodeFailedPrecondition},
		{"object does not match its hash", blobs.ErrCorrupt, connect.CodeInternal},
	} {
		assert.Assert(t, test.err != nil, test.name)
		assert.Equal(t, connect.CodeOf(connectError(test.err)), test.want, test.name)
	}
}
