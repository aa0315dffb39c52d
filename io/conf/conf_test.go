package conf_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"hickorybend/core/jsonc"
	"hickorybend/io/conf"
)

// TestSettingsWithoutEffect guards against settings that a node accepts and does not
// use: operators rely on them.
func TestSettingsWithoutEffect(t *testing.T) {
	files, err := filepath.Glob("../../examples/nodes/*.jsonc")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		src, err := os.ReadFile(file)
		assert.NilError(t, err)
		with := func(config string) (conf.Settings, error) {
			return conf.Parse(file, []byte(strings.Replace(string(src), `"peer-key"`, `"config": {`+config+`}, "peer-key"`, 1)))
		}
		settings, err := with(`"confirm-term": "7s"`)
		assert.NilError(t, err)
		assert.Equal(t, settings.Config.ConfirmationTTL, 7*time.Second)
		for _, name := range []string{"prepare-time", "doubt-time"} {
			_, err := with(`"` + name + `": "3s"`)
			var faults jsonc.Faults
			assert.Assert(t, errors.As(err, &faults), "%s is accepted", name)
			assert.Equal(t, faults[0].Path, "config."+name)
		}
	}
}
