package front

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// api is one of the two generation APIs, named by its path.
type api string

const (
	apiChat api = "/v1/chat/completions"
	apiText api = "/v1/completions"
)

const (
	defaultMaxTokens = 256    // when the request sets no limit
	maxTokensLimit   = 131072 // largest limit that a request may set
	maxPrefixBytes   = 1024   // of a text prompt, for the prefix hash
	maxTemperature   = 2.0
	bytesPerToken    = 4 // estimate
	contentPartText  = "text"
)

// completionRequest is a validated request for a chat or text completion.
type completionRequest struct {
	api          api
	model        string
	stream       bool // whether the caller asked for a stream
	includeUsage bool // whether the caller asked for a usage chunk at the end of it
	maxTokens    int
	prefixHash   uint64
	fields       fields // the engine's request body, except for the offset to resume at
	promptTokens int    // estimated from the length of the prompt
}

// fields are the top-level fields of a request body, undecoded, so that those
// unknown to this system reach the engine unchanged.
type fields map[string]json.RawMessage

// parameters are the fields of a request body that this system reads.
type parameters struct {
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

// decode decodes and validates a request body. Nothing of a request is sent to an
// endpoint before its body has passed.
func decode(api api, body []byte) (*completionRequest, *problem) {
	var raw fields
	if err := json.Unmarshal(body, &raw); err != nil {
		return nil, badRequest("invalid_json", "", "The body is not a JSON object: "+err.Error())
	}
	var parameters parameters
	if err := json.Unmarshal(body, &parameters); err != nil {
		return nil, badRequest("invalid_type", paramOf(err), err.Error())
	}
	if problem := checkRanges(parameters); problem != nil {
		return nil, problem
	}
	prompt, problem := promptOf(api, parameters)
	if problem != nil {
		return nil, problem
	}
	if parameters.Model == "" {
		return nil, badRequest("missing_parameter", "model", "model is required.")
	}
	completionrequest := &completionRequest{
		api: api, model: parameters.Model, stream: parameters.Stream,
		includeUsage: parameters.StreamOptions != nil && parameters.StreamOptions.IncludeUsage,
		maxTokens:    maxTokensOf(parameters), fields: raw,
		prefixHash:   prefixHashOf(parameters.Model, api, parameters, prompt),
		promptTokens: len(prompt) / bytesPerToken,
	}
	completionrequest.setEngineFields()
	return completionrequest, nil
}

func paramOf(err error) string {
	if typed, ok := err.(*json.UnmarshalTypeError); ok {
		return typed.Field
	}
	return ""
}

func checkRanges(parameters parameters) *problem {
	if parameters.N != nil && *parameters.N != 1 {
		return badRequest("unsupported_value", "n", fmt.Sprintf("n must be 1, not %d.", *parameters.N))
	}
	if problem := checkTokens("max_tokens", parameters.MaxTokens); problem != nil {
		return problem
	}
	if problem := checkTokens("max_completion_tokens", parameters.MaxCompletionTokens); problem != nil {
		return problem
	}
	if problem := checkRange("temperature", parameters.Temperature, maxTemperature); problem != nil {
		return problem
	}
	return checkRange("top_p", parameters.TopP, 1)
}

func checkTokens(param string, tokens *int) *problem {
	if tokens != nil && (*tokens < 1 || *tokens > maxTokensLimit) {
		return badRequest("invalid_value", param, fmt.Sprintf("%s must be from 1 to %d, not %d.", param, maxTokensLimit, *tokens))
	}
	return nil
}

func checkRange(param string, number *float64, maximum float64) *problem {
	if number != nil && (*number < 0 || *number > maximum) {
		return badRequest("invalid_value", param, fmt.Sprintf("%s must be from 0 to %g, not %g.", param, maximum, *number))
	}
	return nil
}

func maxTokensOf(parameters parameters) int {
	switch {
	case parameters.MaxCompletionTokens != nil:
		return *parameters.MaxCompletionTokens
	case parameters.MaxTokens != nil:
		return *parameters.MaxTokens
	default:
		return defaultMaxTokens
	}
}

func promptOf(api api, parameters parameters) (string, *problem) {
	if api == apiText {
		if parameters.Prompt == nil {
			return "", badRequest("missing_parameter", "prompt", "prompt is required, as one string.")
		}
		return *parameters.Prompt, nil
	}
	if len(parameters.Messages) == 0 {
		return "", badRequest("missing_parameter", "messages", "messages needs at least one message.")
	}
	var prompt strings.Builder
	for i, message := range parameters.Messages {
		text, problem := contentOf(i, message)
		if problem != nil {
			return "", problem
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

// prefixHashOf returns a hash of the start of a prompt that later requests are
// likely to share, so that they can be routed to a replica with that prefix in its
// cache. For a chat this is everything up to its first user message, which each
// later turn of the conversation repeats.
func prefixHashOf(model string, api api, parameters parameters, prompt string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(model + "\n")
	if api == apiText {
		_, _ = digest.WriteString(prompt[:min(len(prompt), maxPrefixBytes)])
		return digest.Sum64()
	}
	for _, message := range parameters.Messages {
		_, _ = digest.WriteString(message.Role)
		_, _ = digest.Write(message.Content)
		if message.Role == "user" {
			break
		}
	}
	return digest.Sum64()
}

// setEngineFields sets the fields that make the engine stream and report usage,
// whatever the caller asked for, and a token limit, even if the caller set none.
func (completionrequest *completionRequest) setEngineFields() {
	completionrequest.fields["stream"] = json.RawMessage("true")
	completionrequest.fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	limit, _ := json.Marshal(completionrequest.maxTokens)
	switch {
	case completionrequest.fields["max_completion_tokens"] != nil:
		completionrequest.fields["max_completion_tokens"] = limit
	default:
		completionrequest.fields["max_tokens"] = limit
	}
}

// bodyFrom encodes the engine's request body. The engine resumes the completion
// at the token offset, or starts it if the offset is 0.
func (completionrequest *completionRequest) bodyFrom(offset int) []byte {
	if offset > 0 {
		number, _ := json.Marshal(offset)
		completionrequest.fields["resume_offset"] = number
	} else {
		delete(completionrequest.fields, "resume_offset")
	}
	body, err := json.Marshal(completionrequest.fields)
	if err != nil {
		panic(err)
	}
	return body
}
