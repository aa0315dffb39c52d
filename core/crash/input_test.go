package crash_test

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

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

// BenchmarkRequestInput measures the hash of a usual and of the largest body.
func BenchmarkRequestInput(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 16 << 20} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			request := crash.Request{Method: "POST", Host: "site.example", Target: "/book/look/1", Team: "school", Body: make([]byte, size)}
			for b.Loop() {
				request.Input()
			}
		})
	}
}

// BenchmarkSoundRequests measures what it takes to remember an answer, and the bytes that
// a full memory takes up.
func BenchmarkSoundRequests(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	sounduses := crash.NewSoundUses(crash.RequestGeneration)
	for i := range 2*crash.RequestGeneration - 1 {
		sounduses.Record(crash.Request{Target: strconv.Itoa(i)}.Input(), time.Now())
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	next := 2 * crash.RequestGeneration
	for b.Loop() {
		next++
		sounduses.Record(crash.Request{Target: strconv.Itoa(next)}.Input(), time.Now())
	}
	b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "bytes-held")
}
