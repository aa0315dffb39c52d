package relay

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
)

// ErrGap says that tokens before a chunk, or the end of the answer, are missing, so
// the stream must be resumed.
var ErrGap = errors.New("relay: tokens are missing from the stream")

// ErrMalformed says that a chunk is not the JSON that an engine sends.
var ErrMalformed = errors.New("relay: a chunk is malformed")

// Decision is what to do with one chunk of a stream.
type Decision int

// The decisions.
const (
	Pass       Decision = iota // send the chunk to the caller
	Duplicate                  // drop it: its tokens were delivered before
	Mismatched                 // drop it: it belongs to another request, or an error is returned
	UsageChunk                 // drop it: its token counts are recorded in Usage
	Complete                   // end the answer: it is complete
)

// Usage is the token counts of one answer.
type Usage struct {
	PromptTokens     int
	CachedTokens     int
	CompletionTokens int
}

// Checker checks the chunks of one answer. If the answer is resumed by another
// stream, the same Checker checks that stream.
type Checker struct {
	RequestID        string
	NextOffset       int // offset of the next token, which is the number of tokens passed on so far
	Usage            Usage
	MismatchedChunks int    // chunks of other requests
	FinishReason     string // empty until the engine has sent one
}

// endMarker is the payload of the last event of a stream.
var endMarker = []byte("[DONE]")

// Check decides on the payload of one server-sent event. It does not keep the
// payload.
func (checker *Checker) Check(payload []byte) (Decision, error) {
	if bytes.Equal(payload, endMarker) {
		return checker.end()
	}
	fields := parseFields(payload)
	if fields.id.Type != gjson.String {
		return Mismatched, ErrMalformed
	}
	if fields.id.Str != checker.RequestID {
		checker.MismatchedChunks++
		return Mismatched, nil
	}
	if fields.usage.IsObject() {
		checker.recordUsage(fields.usage)
		return UsageChunk, nil
	}
	if !isTokenCount(fields.offset) || !isTokenCount(fields.tokens) {
		return Mismatched, ErrMalformed
	}
	reason := fields.choices.Get("0.finish_reason").Str
	return checker.advance(int(fields.offset.Num), int(fields.tokens.Num), reason)
}

// maxTokens is more than the tokens of any answer.
const maxTokens = 1 << 30

// isTokenCount reports whether a value can be a number of tokens.
func isTokenCount(value gjson.Result) bool {
	return value.Type == gjson.Number && value.Num >= 0 && value.Num <= maxTokens
}

// chunk is the fields of an engine's chunk that the checker uses.
type chunk struct {
	id      gjson.Result
	offset  gjson.Result
	tokens  gjson.Result
	usage   gjson.Result
	choices gjson.Result
}

// parseFields gets all fields in one pass over the payload. A look-up of each
// field by its path would scan the payload once per field, for every token.
func parseFields(payload []byte) chunk {
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

// advance decides on a chunk by the offset of its first token.
func (checker *Checker) advance(offset, tokens int, reason string) (Decision, error) {
	switch {
	case offset > checker.NextOffset:
		return Mismatched, ErrGap
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

// end decides on the end marker, which only counts after a finish reason.
func (checker *Checker) end() (Decision, error) {
	if checker.FinishReason == "" {
		return Mismatched, ErrGap
	}
	return Complete, nil
}

func (checker *Checker) recordUsage(usage gjson.Result) {
	checker.Usage.PromptTokens = int(usage.Get("prompt_tokens").Int())
	checker.Usage.CachedTokens = int(usage.Get("prompt_tokens_details.cached_tokens").Int())
}
