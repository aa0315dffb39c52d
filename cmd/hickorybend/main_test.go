package main

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/io/shell"
)

const edgeSettings = `{
	"node": "node-1", "zone": "zone-a", "callers-address": "ADDRESS", "ready-address": "127.0.0.1:0", "peers-address": "127.0.0.1:0",
	"peer-key": "secret", "store-address": "127.0.0.1:1", "grace": "GRACE",
}`

// TestCheckOfEdgeStartsNoNode guards against a check of the settings that starts the
// node: beside a running one on the same host, or in place of a check.
func TestCheckOfEdgeStartsNoNode(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") // of the running node
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	for _, test := range []struct {
		grace string
		want  int
	}{{"4s", shell.CodeOK}, {"1ms", shell.CodeUsage}} {
		file := filepath.Join(t.TempDir(), "settings.jsonc")
		text := strings.NewReplacer("ADDRESS", listener.Addr().String(), "GRACE", test.grace).Replace(edgeSettings)
		assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
		for _, args := range [][]string{{"edge", "--config", file, "--check"}, {"--check", "edge", "--config", file}} {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			assert.Equal(t, shell.Run(ctx, rootCommand(), args, "HICKORYBEND_TEST"), test.want, "%v", args)
			assert.NilError(t, ctx.Err(), "%v: the node ran", args)
		}
	}
}
