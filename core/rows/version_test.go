package rows_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"hickorybend/core/rows"
)

// TestVersionsOrderAcrossEras guards against versions that a store gave out before it
// came back from an older copy and that pass for newer than those since.
func TestVersionsOrderAcrossEras(t *testing.T) {
	ordered := []rows.Version{0, rows.NewVersion(0, 1), rows.NewVersion(0, 1<<40), rows.NewVersion(1, 0), rows.NewVersion(1, 7), rows.NewVersion(2, 3), rows.NewVersion(1<<18, 0)}
	for i, version := range ordered[1:] {
		assert.Assert(t, version > ordered[i], "%d in era %d", version.Number(), version.Era())
		assert.Equal(t, rows.NewVersion(version.Era(), version.Number()), version)
	}
	assert.Assert(t, rows.NewVersion(1<<60, 1<<60) > 0, "values beyond the range stay valid versions")
	assert.Equal(t, rows.NewVersion(2, -7), rows.NewVersion(2, 0), "a negative number keeps the era")
	assert.Equal(t, rows.NewVersion(-1, 7), rows.NewVersion(0, 7))
}
