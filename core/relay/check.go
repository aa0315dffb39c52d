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
	Duplicate
	Foreign
	UsageChunk
	Complete
)

// Usage counts the tokens of one answer.
type Usage struct {
	PromptTokens     int
	CachedTokens     int
	CompletionTokens int
}

// Checker follows one answer over as many engine streams as it takes.
type Checker struct {
	RequestID     string
	NextOffset    int
	Usage         Usage
	ForeignChunks int
	FinishReason  string
}

var endMarker = []byte("[DONE]")

// Check judges the payload of one server-sent event; the payload is not kept.
func (checker *Checker) Check(payload []byte) (Verdict, error) {
	if bytes.Equal(payload, endMarker) {
		return checker.end()
	}
	fields := read(payload)
	if fields.id.Type != gjson.String {
		return Foreign, ErrMalformed
	}
	if fields.id.Str != checker.RequestID {
		checker.ForeignChunks++
		return Foreign, nil
	}
	if fields.usage.IsObject() {
		checker.count(fields.usage)
		return UsageChunk, nil
	}
	if !countable(fields.offset) || !countable(fields.tokens) {
		return Foreign, ErrMalformed
	}
	reason := fields.choices.Get("0.finish_reason").Str
	return checker.advance(int(fields.offset.Num), int(fields.tokens.Num), reason)
}

// maxTokens is above the length of any answer.
const maxTokens = 1 << 30

// countable tells whether a value can be a number of tokens.
func countable(value gjson.Result) bool {
	return value.Type == gjson.Number && value.Num >= 0 && value.Num <= maxTokens
}

// chunk is the part of an engine's chunk that the checker judges by.
type chunk struct {
	id      gjson.Result
	offset  gjson.Result
	tokens  gjson.Result
	usage   gjson.Result
	choices gjson.Result
}

// read goes over the payload once; asking for each field by its path would go
// over it as often as there are fields, for every token.
func read(payload []byte) chunk {
	var fields chunk
	gjson.ParseBytes(payload).ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "id":
			fields.id = value
		case "offset":
			fields.offset = value
		case "tokens":
			fields.tokens = value
		case "usage":
			fields.usage = value
		case "choices":
			fields.choices = value
		}
		return true
	})
	return fields
}

func (checker *Checker) advance(offset, tokens int, reason string) (Verdict, error) {
	switch {
	case offset > checker.NextOffset:
		return Foreign, ErrGap
	case offset < checker.NextOffset || tokens == 0 && checker.FinishReason != "":
		return Duplicate, nil
	}
	checker.NextOffset += tokens
	checker.Usage.CompletionTokens = checker.NextOffset
	if reason != "" {
		checker.FinishReason = reason
	}
	return Pass, nil
}

func (checker *Checker) end() (Verdict, error) {
	if checker.FinishReason == "" {
		return Foreign, ErrGap
	}
	return Complete, nil
}

func (checker *Checker) count(usage gjson.Result) {
	checker.Usage.PromptTokens = int(usage.Get("prompt_tokens").Int())
	checker.Usage.CachedTokens = int(usage.Get("prompt_tokens_details.cached_tokens").Int())
}
