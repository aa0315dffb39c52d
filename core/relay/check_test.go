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

// TestAnswerIsWholeWhateverTheStreamDoes sends the tokens of an answer with
// chunks dropped, repeated, crossed and cut off, resumes where the checker
// says, and compares what was delivered with the answer.
func TestAnswerIsWholeWhateverTheStreamDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(1, 12).Draw(t, "length")
		checker := relay.Checker{RequestID: "own"}
		var delivered strings.Builder
		ended := false
		for attempt := 0; !ended && attempt < 200; attempt++ {
			ended = attemptOnce(t, &checker, &delivered, length, attempt < 100)
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

// attemptOnce is one stream, with faults if wanted.
func attemptOnce(t *rapid.T, checker *relay.Checker, delivered *strings.Builder, length int, faults bool) bool {
	take := func(payload string, offset int) error {
		verdict, err := checker.Check([]byte(payload))
		if err == nil && verdict == relay.Pass {
			_, _ = fmt.Fprintf(delivered, "t%d ", offset)
		}
		return err
	}
	for offset := min(checker.NextOffset, length-1); offset < length; offset++ {
		fault := "none"
		if faults {
			fault = rapid.SampledFrom([]string{"none", "none", "drop", "repeat", "cross", "cut"}).Draw(t, "fault")
		}
		own := chunkOf("own", offset, offset == length-1)
		var err error
		switch fault {
		case "drop":
			continue
		case "cut":
			return false
		case "cross":
			err = take(chunkOf("other", offset, false), offset)
		case "repeat":
			err = take(own, offset)
		}
		if err == nil {
			err = take(own, offset)
		}
		if err != nil {
			assert.Assert(t, errors.Is(err, relay.ErrGap))
			return false
		}
	}
	verdict, err := checker.Check([]byte("[DONE]"))
	return err == nil && verdict == relay.Complete
}

func TestChunkVerdicts(t *testing.T) {
	expectChunk := func(name string, checker relay.Checker, payload string, want relay.Verdict, wantErr error) {
		t.Helper()
		verdict, err := checker.Check([]byte(payload))
		assert.Equal(t, verdict, want, name)
		assert.Assert(t, errors.Is(err, wantErr) && (err == nil) == (wantErr == nil), "%s: %v", name, err)
	}
	fresh := relay.Checker{RequestID: "own"}
	expectChunk("own", fresh, chunkOf("own", 0, false), relay.Pass, nil)
	expectChunk("another's", fresh, chunkOf("other", 0, false), relay.Foreign, nil)
	expectChunk("a gap", fresh, chunkOf("own", 1, false), relay.Foreign, relay.ErrGap)
	expectChunk("not JSON", fresh, "{", relay.Foreign, relay.ErrMalformed)
	expectChunk("no offset", fresh, `{"id":"own"}`, relay.Foreign, relay.ErrMalformed)
	expectChunk("the end before a finish reason", fresh, "[DONE]", relay.Foreign, relay.ErrGap)
	expectChunk("a repeat", relay.Checker{RequestID: "own", NextOffset: 3}, chunkOf("own", 2, false), relay.Duplicate, nil)
	expectChunk("usage", fresh, `{"id":"own","offset":0,"tokens":0,"usage":{"prompt_tokens":4},"choices":[]}`, relay.UsageChunk, nil)
	expectChunk("the end", relay.Checker{RequestID: "own", NextOffset: 3, FinishReason: "stop"}, "[DONE]", relay.Complete, nil)
}

func FuzzChunk(f *testing.F) {
	f.Add(chunkOf("own", 0, false))
	f.Add("[DONE]")
	f.Add(`{"id":"own","offset":-1,"tokens":1e300,"usage":{},"choices":[]}`)
	f.Fuzz(func(t *testing.T, payload string) {
		checker := relay.Checker{RequestID: "own"}
		verdict, err := checker.Check([]byte(payload))
		if err != nil && verdict == relay.Pass {
			t.Fatal("a chunk with an error passes")
		}
		if checker.NextOffset < 0 {
			t.Fatalf("the next token is %d", checker.NextOffset)
		}
	})
}
