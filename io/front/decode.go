package front

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// surface is which of the two model calls a request is.
type surface string

const (
	surfaceChat surface = "/v1/chat/completions"
	surfaceText surface = "/v1/completions"
)

const (
	defaultTokens   = 256
	maxTokens       = 131072
	prefixBytes     = 1024
	maxTemperature  = 2.0
	bytesPerToken   = 4
	contentPartText = "text"
)

// job is a checked request to a model; body is what the engine gets, but for
// the offset to resume at.
type job struct {
	surface  surface
	model    string
	stream   bool
	usage    bool
	tokens   int
	prefix   uint64
	fields   fields
	prompted int
}

// fields are the top-level fields of a request, so that those this system does
// not know reach the engine as they came.
type fields map[string]json.RawMessage

type wanted struct {
	Model               string         `json:"model"`
	Messages            []message      `json:"messages"`
	Prompt              *string        `json:"prompt"`
	Stream              bool           `json:"stream"`
	StreamOptions       *streamOptions `json:"stream_options"`
	MaxTokens           *int           `json:"max_tokens"`
	MaxCompletionTokens *int           `json:"max_completion_tokens"`
	N                   *int           `json:"n"`
	Temperature         *float64       `json:"temperature"`
	TopP                *float64       `json:"top_p"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// decode checks a request body; nothing reaches an endpoint before it passes.
func decode(surface surface, body []byte) (*job, *problem) {
	var raw fields
	if err := json.Unmarshal(body, &raw); err != nil {
		return nil, badRequest("invalid_json", "", "The body is not a JSON object: "+err.Error())
	}
	var request wanted
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, badRequest("invalid_type", paramOf(err), err.Error())
	}
	if found := checkNumbers(request); found != nil {
		return nil, found
	}
	prompt, found := promptOf(surface, request)
	if found != nil {
		return nil, found
	}
	if request.Model == "" {
		return nil, badRequest("missing_parameter", "model", "model is required.")
	}
	job := &job{
		surface: surface, model: request.Model, stream: request.Stream,
		usage:  request.StreamOptions != nil && request.StreamOptions.IncludeUsage,
		tokens: tokensOf(request), fields: raw,
		prefix:   prefixOf(request.Model, surface, request, prompt),
		prompted: len(prompt) / bytesPerToken,
	}
	job.prepare()
	return job, nil
}

func paramOf(err error) string {
	if typed, ok := err.(*json.UnmarshalTypeError); ok {
		return typed.Field
	}
	return ""
}

func checkNumbers(request wanted) *problem {
	if request.N != nil && *request.N != 1 {
		return badRequest("unsupported_value", "n", fmt.Sprintf("n must be 1, not %d.", *request.N))
	}
	if found := checkTokens("max_tokens", request.MaxTokens); found != nil {
		return found
	}
	if found := checkTokens("max_completion_tokens", request.MaxCompletionTokens); found != nil {
		return found
	}
	if found := checkRange("temperature", request.Temperature, maxTemperature); found != nil {
		return found
	}
	return checkRange("top_p", request.TopP, 1)
}

func checkTokens(param string, tokens *int) *problem {
	if tokens != nil && (*tokens < 1 || *tokens > maxTokens) {
		return badRequest("invalid_value", param, fmt.Sprintf("%s must be from 1 to %d, not %d.", param, maxTokens, *tokens))
	}
	return nil
}

func checkRange(param string, number *float64, most float64) *problem {
	if number != nil && (*number < 0 || *number > most) {
		return badRequest("invalid_value", param, fmt.Sprintf("%s must be from 0 to %g, not %g.", param, most, *number))
	}
	return nil
}

func tokensOf(request wanted) int {
	switch {
	case request.MaxCompletionTokens != nil:
		return *request.MaxCompletionTokens
	case request.MaxTokens != nil:
		return *request.MaxTokens
	default:
		return defaultTokens
	}
}

func promptOf(surface surface, request wanted) (string, *problem) {
	if surface == surfaceText {
		if request.Prompt == nil {
			return "", badRequest("missing_parameter", "prompt", "prompt is required, as one string.")
		}
		return *request.Prompt, nil
	}
	if len(request.Messages) == 0 {
		return "", badRequest("missing_parameter", "messages", "messages needs at least one message.")
	}
	var prompt strings.Builder
	for i, message := range request.Messages {
		text, found := contentOf(i, message)
		if found != nil {
			return "", found
		}
		prompt.WriteString(message.Role + ": " + text + "\n")
	}
	return prompt.String(), nil
}

func contentOf(index int, message message) (string, *problem) {
	at := fmt.Sprintf("messages[%d]", index)
	switch message.Role {
	case "system", "developer", "user", "assistant", "tool":
	default:
		return "", badRequest("invalid_value", at+".role", fmt.Sprintf("%q is not a role.", message.Role))
	}
	content := bytes.TrimSpace(message.Content)
	if len(content) == 0 || bytes.Equal(content, []byte("null")) {
		return "", nil
	}
	if content[0] == '"' {
		var text string
		err := json.Unmarshal(content, &text)
		return text, contentProblem(at, err)
	}
	var parts []contentPart
	if err := json.Unmarshal(content, &parts); err != nil {
		return "", contentProblem(at, err)
	}
	return joinParts(at, parts)
}

func contentProblem(at string, err error) *problem {
	if err == nil {
		return nil
	}
	return badRequest("invalid_type", at+".content", "content must be a string or a list of parts.")
}

func joinParts(at string, parts []contentPart) (string, *problem) {
	var text strings.Builder
	for _, part := range parts {
		if part.Type != contentPartText {
			return "", badRequest("unsupported_value", at+".content", fmt.Sprintf("content parts of type %q are not served.", part.Type))
		}
		text.WriteString(part.Text)
	}
	return text.String(), nil
}

// prefixOf identifies the start of a prompt that later requests are likely to
// share: of a chat all up to its first user message, which each turn repeats.
func prefixOf(model string, surface surface, request wanted, prompt string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(model + "\n")
	if surface == surfaceText {
		_, _ = digest.WriteString(prompt[:min(len(prompt), prefixBytes)])
		return digest.Sum64()
	}
	for _, message := range request.Messages {
		_, _ = digest.WriteString(message.Role)
		_, _ = digest.Write(message.Content)
		if message.Role == "user" {
			break
		}
	}
	return digest.Sum64()
}

// prepare makes the engine stream and count, whatever the caller asked for.
func (job *job) prepare() {
	job.fields["stream"] = json.RawMessage("true")
	job.fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	limit, _ := json.Marshal(job.tokens)
	switch {
	case job.fields["max_completion_tokens"] != nil:
		job.fields["max_completion_tokens"] = limit
	default:
		job.fields["max_tokens"] = limit
	}
}

// bodyFrom gives the engine's request, to begin at a token.
func (job *job) bodyFrom(offset int) []byte {
	if offset > 0 {
		number, _ := json.Marshal(offset)
		job.fields["resume_offset"] = number
	} else {
		delete(job.fields, "resume_offset")
	}
	body, err := json.Marshal(job.fields)
	if err != nil {
		panic(err)
	}
	return body
}
