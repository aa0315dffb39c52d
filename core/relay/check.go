package relay

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
)

// ErrGap says that tokens are missing before a chunk, so the stream must be resumed.
var ErrGap = errors.New("relay: tokens are missing from the stream")

// ErrMalformed says that a chunk is not the JSON that an engine sends.
var ErrMalformed = errors.New("relay: a chunk is malformed")

// Verdict is what to do with one chunk of a stream.
type Verdict int

// The verdicts: pass the chunk on, drop it as already delivered, drop it as
// another request's, note its token counts, or end the answer as whole.
const (
	Pass Verdict = iota
	Repeated
	Foreign
	Tally
	Whole
)

// Usage counts the tokens of one answer.
type Usage struct {
	PromptTokens     int
	CachedTokens     int
	CompletionTokens int
}

// Checker follows one answer over as many engine streams as it takes.
type Checker struct {
	Request string
	Next    int
	Usage   Usage
	Foreign int
	Reason  string
}

var endMarker = []byte("[DONE]")

// Chunk judges the payload of one server-sent event; the payload is not kept.
func (checker *Checker) Chunk(payload []byte) (Verdict, error) {
	if bytes.Equal(payload, endMarker) {
		return checker.end()
	}
	fields := gjson.GetManyBytes(payload, "id", "offset", "tokens", "usage", "choices.0.finish_reason")
	id, offset, tokens, usage, reason := fields[0], fields[1], fields[2], fields[3], fields[4]
	if id.Type != gjson.String {
		return Foreign, ErrMalformed
	}
	if id.Str != checker.Request {
		checker.Foreign++
		return Foreign, nil
	}
	if usage.IsObject() {
		checker.count(usage)
		return Tally, nil
	}
	if offset.Type != gjson.Number || tokens.Type != gjson.Number {
		return Foreign, ErrMalformed
	}
	return checker.advance(int(offset.Num), int(tokens.Num), reason.Str)
}

func (checker *Checker) advance(offset, tokens int, reason string) (Verdict, error) {
	switch {
	case offset > checker.Next:
		return Foreign, ErrGap
	case offset < checker.Next || tokens == 0 && checker.Reason != "":
		return Repeated, nil
	}
	checker.Next += tokens
	checker.Usage.CompletionTokens = checker.Next
	if reason != "" {
		checker.Reason = reason
	}
	return Pass, nil
}

func (checker *Checker) end() (Verdict, error) {
	if checker.Reason == "" {
		return Foreign, ErrGap
	}
	return Whole, nil
}

func (checker *Checker) count(usage gjson.Result) {
	checker.Usage.PromptTokens = int(usage.Get("prompt_tokens").Int())
	checker.Usage.CachedTokens = int(usage.Get("prompt_tokens_details.cached_tokens").Int())
}
