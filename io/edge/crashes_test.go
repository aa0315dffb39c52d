package edge

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/core/site"
	"hickorybend/platform"
)

// receivePlainEndpoint gives the control the row of an endpoint of a service without an
// engine.
func receivePlainEndpoint(control *Control, id, address string, startedAt, now time.Time) {
	control.config.index = site.NewIndex(site.Config{Services: []site.Service{{Name: "app", HealthPath: "/health"}}})
	value := fmt.Sprintf(`{"service":"app","address":%q,"state":"ready","sequence":1,"born":%d}`, address, startedAt.UnixMilli())
	control.handleEndpointRow(platform.Entry{Key: id, Value: []byte(value), Version: 1}, fromStore, now)
}

// TestPlainEndpointMarkedAsProbed guards against endpoints that are never probed: one of
// a service without an engine, which has no report, counted as being probed for ever.
func TestPlainEndpointMarkedAsProbed(t *testing.T) {
	now := time.Now()
	control := newHolder(now)
	receivePlainEndpoint(control, "e-1", "127.0.0.1:1", now, now)
	control.probeReplica("e-1", now)
	assert.Assert(t, !control.endpoints.probing["e-1"])
}
