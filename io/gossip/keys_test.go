package gossip_test

import (
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hickorybend/io/gossip"
)

// TestFieldsShareKey guards against two fields of a digest with the same key: the codec
// drops both without an error, and nodes do not learn of what they hold.
func TestFieldsShareKey(t *testing.T) {
	fields := map[string]string{}
	for digest, i := reflect.TypeFor[gossip.Digest](), 0; i < digest.NumField(); i++ {
		field := digest.Field(i)
		key, _, _ := strings.Cut(field.Tag.Get("cbor"), ",")
		if key == "-" {
			continue
		}
		assert.Check(t, fields[key] == "", "%s and %s have the key %s", fields[key], field.Name, key)
		fields[key] = field.Name
	}
}
