package relay_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hickorybend/core/relay"
)

func chunkOf(id string, offset int, last bool) string {
	reason := "null"
	if last {
		reason = `"length"`
	}
	return fmt.Sprintf(`{"id":%q,"offset":%d,"tokens":1,"choices":[{"text":"t%d ","finish_reason":%s}]}`, id, offset, offset, reason)
}

// TestAnswerIsCompleteDespiteFaults sends the tokens of an answer while chunks
// are dropped, repeated or mixed with those of another request and streams are
// cut off. It resumes at the checker's next offset, and compares what was
// delivered with the answer. The last 100 attempts have no faults, so the
// answer must end.
func TestAnswerIsCompleteDespiteFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(1, 12).Draw(t, "length")
		checker := relay.Checker{RequestID: "own"}
		var delivered strings.Builder
		ended := false
		for attempt := 0; !ended && attempt < 200; attempt++ {
			ended = runAttempt(t, &checker, &delivered, length, attempt < 100)
		}
		var want strings.Builder
		for i := range length {
			_, _ = fmt.Fprintf(&want, "t%d ", i)
		}
		assert.Assert(t, ended)
		assert.Equal(t, delivered.String(), want.String())
		assert.Equal(t, checker.Usage.CompletionTokens, length)
	})
}

// runAttempt sends one stream, with faults injected if faults is set, and returns
// whether the answer is complete.
func runAttempt(t *rapid.T, checker *relay.Checker, delivered *strings.Builder, length int, faults bool) bool {
	check := func(payload string, offset int) error {
		decision, err := checker.Check([]byte(payload))
		if err == nil && decision == relay.Pass {
			_, _ = fmt.Fprintf(delivered, "t%d ", offset)
		}
		return err
	}
	for offset := min(checker.NextOffset, length-1); offset < length; offset++ {
		fault := "none"
		if faults {
			fault = rapid.SampledFrom([]string{"none", "none", "drop", "repeat", "mismatch", "cut"}).Draw(t, "fault")
		}
		own := chunkOf("own", offset, offset == length-1)
		var err error
		switch fault {
		case "drop":
			continue
		case "cut":
			return false
		case "mismatch":
			err = check(chunkOf("other", offset, false), offset)
		case "repeat":
			err = check(own, offset)
		}
		if err == nil {
			err = check(own, offset)
		}
		if err != nil {
			assert.Assert(t, errors.Is(err, relay.ErrGap))
			return false
		}
	}
	decision, err := checker.Check([]byte("[DONE]"))
	return err == nil && decision == relay.Complete
}

func TestCheckDecisions(t *testing.T) {
	expectChunk := func(name string, checker relay.Checker, payload string, want relay.Decision, wantErr error) {
		t.Helper()
		decision, err := checker.Check([]byte(payload))
		assert.Equal(t, decision, want, name)
		assert.Assert(t, errors.Is(err, wantErr) && (err == nil) == (wantErr == nil), "%s: %v", name, err)
	}
	fresh := relay.Checker{RequestID: "own"}
	expectChunk("next chunk", fresh, chunkOf("own", 0, false), relay.Pass, nil)
	expectChunk("another request's chunk", fresh, chunkOf("other", 0, false), relay.Mismatched, nil)
	expectChunk("gap", fresh, chunkOf("own", 1, false), relay.Mismatched, relay.ErrGap)
	expectChunk("not JSON", fresh, "{", relay.Mismatched, relay.ErrMalformed)
	expectChunk("no offset", fresh, `{"id":"own"}`, relay.Mismatched, relay.ErrMalformed)
	expectChunk("end before a finish reason", fresh, "[DONE]", relay.Mismatched, relay.ErrGap)
	expectChunk("duplicate", relay.Checker{RequestID: "own", NextOffset: 3}, chunkOf("own", 2, false), relay.Duplicate, nil)
	expectChunk("usage", fresh, `{"id":"own","offset":0,"tokens":0,"usage":{"prompt_tokens":4},"choices":[]}`, relay.UsageChunk, nil)
	expectChunk("end after a finish reason", relay.Checker{RequestID: "own", NextOffset: 3, FinishReason: "stop"}, "[DONE]", relay.Complete, nil)
}

// FuzzChunk checks that a payload with an error is not passed on, and that no
// payload makes the next offset negative.
func FuzzChunk(f *testing.F) {
	f.Add(chunkOf("own", 0, false))
	f.Add("[DONE]")
	f.Add(`{"id":"own","offset":-1,"tokens":1e300,"usage":{},"choices":[]}`)
	f.Fuzz(func(t *testing.T, payload string) {
		checker := relay.Checker{RequestID: "own"}
		decision, err := checker.Check([]byte(payload))
		if err != nil && decision == relay.Pass {
			t.Fatal("a chunk with an error is passed on")
		}
		if checker.NextOffset < 0 {
			t.Fatalf("the next offset is negative: %d", checker.NextOffset)
		}
	})
}
