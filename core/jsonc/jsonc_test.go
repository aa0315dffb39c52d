package jsonc_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"hickorybend/core/jsonc"
)

type inner struct {
	Count int           `json:"count"`
	Wait  time.Duration `json:"wait"`
}

type outer struct {
	Name  string  `json:"name"`
	On    bool    `json:"on"`
	Share float64 `json:"share"`
	Inner inner   `json:"inner"`
	List  []inner `json:"list"`
	Maybe *inner  `json:"maybe"`
}

func TestDecodeAndEncodeAgree(t *testing.T) {
	src := []byte("{ // comment\n \"name\": \"n\", \"on\": true, \"share\": 0.5,\n \"inner\": {\"count\": 3, \"wait\": \"2s\"},\n \"list\": [{\"count\": 1}, {\"wait\": \"1ms\"}],\n}")
	var first, second outer
	assert.NilError(t, jsonc.Decode("f", src, &first).Err())
	assert.DeepEqual(t, first.Inner, inner{Count: 3, Wait: 2 * time.Second})
	assert.NilError(t, jsonc.Decode("f", jsonc.Indent(first), &second).Err())
	assert.DeepEqual(t, first, second)
}

func TestFaultsGiveTheirPosition(t *testing.T) {
	expectFaults := func(name, src string, want ...string) {
		t.Helper()
		var target outer
		var faults jsonc.Faults
		assert.Assert(t, errors.As(jsonc.Decode("f", []byte(src), &target).Err(), &faults), name)
		var got []string
		for _, fault := range faults {
			got = append(got, fault.String())
		}
		assert.DeepEqual(t, got, want)
	}
	expectFaults("all faults at once", "{\n  \"name\": 7,\n  \"inner\": {\"wait\": \"soon\", \"nmae\": 1},\n  \"list\": {}\n}",
		`f:2:11: name: expected a string, found 7`,
		`f:3:21: inner.wait: expected a duration such as "2s", found "soon"`,
		`f:3:29: inner.nmae: expected one of count, wait, found "nmae"`,
		`f:4:11: list: expected an array, found an object`)
	expectFaults("a duplicate key", "{\"on\": true,\n\"on\": false}", `f:2:1: on: expected each key once, found a duplicate`)
	expectFaults("a fraction for a count", `{"inner": {"count": 1.5}}`, `f:1:21: inner.count: expected a whole number, found 1.5`)
	expectFaults("a syntax error", "{\n\"name\": }", `f:2:9: text: expected JSON with comments, found invalid character '}' at start of value`)
}

// TestTables checks tables with any keys, and null for an optional value.
func TestTables(t *testing.T) {
	type settings struct {
		Table map[string]string `json:"table"`
		Maybe *string           `json:"maybe"`
	}
	var decoded settings
	assert.NilError(t, jsonc.Decode("f", []byte(`{"table": {"a": "x", "b": null}, "maybe": "y"}`), &decoded).Err())
	assert.DeepEqual(t, decoded.Table, map[string]string{"a": "x", "b": ""})
	assert.Equal(t, *decoded.Maybe, "y")
	decoded = settings{}
	assert.NilError(t, jsonc.Decode("f", []byte(`{"table": null, "maybe": null}`), &decoded).Err())
	assert.Assert(t, decoded.Table == nil && decoded.Maybe == nil)
	for _, source := range []string{`{"table": {"a": 1}}`, `{"table": {"a": "x", "a": "y"}}`, `{"table": []}`, `{"maybe": 1}`} {
		assert.Assert(t, jsonc.Decode("f", []byte(source), &decoded).Err() != nil, source)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name": "n", "list": [{}], "maybe": null}`))
	f.Add([]byte("{/**/\"inner\":{\"count\":1e400}}"))
	f.Fuzz(func(t *testing.T, src []byte) {
		var first, second outer
		if jsonc.Decode("f", src, &first).Err() != nil {
			return
		}
		if err := jsonc.Decode("f", jsonc.Encode(first), &second).Err(); err != nil {
			t.Fatalf("the output of Encode is rejected: %v", err)
		}
	})
}
