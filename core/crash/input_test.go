package crash_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"hickorybend/core/crash"
)

// TestSoundRequestSharesID checks that requests that differ in one field have
// different IDs, also if their bytes in a row are the same, and repetitions the same.
func TestSoundRequestSharesID(t *testing.T) {
	requests := []crash.Request{
		{Method: "GET", Host: "h", Target: "/a", Team: "team", Body: []byte("body")},
		{Method: "PUT", Host: "h", Target: "/a", Team: "team", Body: []byte("body")},
		{Method: "GET", Host: "i", Target: "/a", Team: "team", Body: []byte("body")},
		{Method: "GET", Host: "h", Target: "/a?b", Team: "team", Body: []byte("body")},
		{Method: "GET", Host: "h", Target: "/a", Team: "other", Body: []byte("body")},
		{Method: "GET", Host: "h", Target: "/a", Team: "team"},
		{Method: "GET", Host: "h", Target: "/at", Team: "eam", Body: []byte("body")},
		{Method: "GET", Host: "h", Target: "/a", Team: "teamb", Body: []byte("ody")},
		{Method: "GETh", Host: "", Target: "/a", Team: "team", Body: []byte("body")},
	}
	known := map[crash.Input]bool{}
	for _, request := range requests {
		input := request.Input()
		assert.Assert(t, input.IsRequest())
		assert.Assert(t, !known[input], "%+v", request)
		known[input] = true
		assert.Equal(t, request.Input(), input)
	}
}
