package intent_test

import (
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"hickorybend/core/intent"
	"hickorybend/core/jsonc"
)

func example(t *testing.T, name string) string {
	t.Helper()
	src, err := os.ReadFile("../../examples/" + name + ".jsonc")
	assert.NilError(t, err)
	return string(src)
}

// TestExamplesRoundTripThroughSections guards against a spec that changes when it
// is split into sections, joined, updated section by section, printed or parsed
// again.
func TestExamplesRoundTripThroughSections(t *testing.T) {
	for _, name := range []string{"ravenala", "muscat"} {
		spec, err := intent.Parse(name, []byte(example(t, name)))
		assert.NilError(t, err)
		assert.Equal(t, len(spec.Teams), 10)
		joined, err := intent.Join(spec.Sections())
		assert.NilError(t, err)
		for _, section := range spec.Sections() {
			joined, err = joined.WithSection(section)
			assert.NilError(t, err)
		}
		without, err := joined.WithSection(intent.Section{Name: "team/" + spec.Teams[3].Name})
		assert.NilError(t, err)
		assert.Equal(t, len(without.Teams), 9)
		again, err := intent.Parse(name, jsonc.Indent(joined))
		assert.NilError(t, err)
		assert.DeepEqual(t, again.Sections(), spec.Sections())
	}
}

// TestInvalidSpecsAreRejected makes one error in a valid example and expects
// exactly the faults at the given paths, each with its line.
func TestInvalidSpecsAreRejected(t *testing.T) {
	good := example(t, "ravenala")
	expectFault := func(old, replacement string, paths ...string) {
		t.Helper()
		assert.Assert(t, strings.Contains(good, old), "the example has no %s", old)
		_, err := intent.Parse("f", []byte(strings.Replace(good, old, replacement, 1)))
		var faults jsonc.Faults
		assert.Assert(t, errors.As(err, &faults), "%s is not rejected", replacement)
		var got []string
		for _, fault := range faults {
			assert.Assert(t, fault.At.Line > 1, "the fault at %s has no line", fault.Path)
			got = append(got, fault.Path)
		}
		assert.DeepEqual(t, got, paths)
	}
	expectFault(`"deployment": "ravenala"`, `"deployment": "Rav enala"`, "deployment")
	expectFault(`"depends-on": ["booking-app"]`, `"depends-on": ["nobody"]`, "services[0].depends-on[0]")
	expectFault(`"path-prefix": "/booking",`, `"path-prefix": "/booking", "depends-on": ["assistant-llm"],`, "services[0].depends-on", "services[1].depends-on")
	expectFault(`"max-replicas": 14`, `"max-replicas": 5`, "services[0].max-replicas")
	expectFault(`"hosts-per-replica": 4`, `"hosts-per-replica": 0`, "services[0].hosts-per-replica")
	expectFault(`"path-prefix": "/booking"`, `"path-prefix": "/v1/booking"`, "services[1].path-prefix")
	expectFault(`"stranded-weight": 3`, `"stranded-weight": -3`, "objective.stranded-weight")
	expectFault(`"name": "mu-north-b"`, `"name": "mu-north-a"`, "zones[1].name")
	expectFault(`"priority": "live"`, `"priority": "first"`, "teams[0].priority")
	expectFault(`"method": "POST"`, `"method": "post"`, "services[1].once-calls[0].method")
	expectFault(`"drain-limit": "90s"`, `"drain-limit": "2h"`, "services[0].drain-limit")
	expectFault(`, "drain-limit": "90s"`, ``, "services[0].drain-limit")
	expectFault(`"path-prefix": "/booking"`, `"path-prefix": "/booking", "drain-limit": "2h"`, "services[1].drain-limit")
	expectFault(`"path-prefix": "/booking"`, `"path-prefix": "/booking", "drain-limit": "-1s"`, "services[1].drain-limit")
	expectFault(`"adapters"`, `"adaptors"`, "services[0].adaptors")
}

// TestDrainLimitOfPlainService guards against a specification that must state how long
// replicas of a plain service drain, which has none, or may no longer do so.
func TestDrainLimitOfPlainService(t *testing.T) {
	text := example(t, "ravenala")
	for _, limit := range []string{"", `, "drain-limit": "60s"`, `, "drain-limit": "0s"`} {
		_, err := intent.Parse("f", []byte(strings.Replace(text, `"path-prefix": "/booking"`, `"path-prefix": "/booking"`+limit, 1)))
		assert.NilError(t, err, limit)
	}
}
