package main

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// TestParseSeeds checks that numbers, ranges and files are read, and that anything
// else is rejected.
func TestParseSeeds(t *testing.T) {
	file := filepath.Join(t.TempDir(), "seeds.txt")
	assert.NilError(t, os.WriteFile(file, []byte("# comment\n7 a cause\n\n9\n"), 0o600))
	for _, test := range []struct {
		text string
		want []uint64
	}{
		{"4", []uint64{4}},
		{"1,3-5", []uint64{1, 3, 4, 5}},
		{"2," + file, []uint64{2, 7, 9}},
		{"5-3", nil},
		{"one", nil},
		{"1-9999999999", nil},
		{"1-100001", nil}, // one more than maxRangeSize
		{"", nil},
	} {
		got, err := parseSeeds(test.text)
		if test.want == nil {
			assert.ErrorIs(t, err, errSeeds, test.text)
			continue
		}
		assert.NilError(t, err)
		assert.DeepEqual(t, got, test.want)
	}
	got, err := parseSeeds("1-100000")
	assert.NilError(t, err)
	assert.Equal(t, len(got), maxRangeSize)
}
