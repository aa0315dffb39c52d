package stress

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"hickorybend/io/fakes"
)

// Run sends the plan's load and waits for every response.
func Run(ctx context.Context, plan Plan) Report {
	sender := &sender{plan: plan, tally: newTally(plan), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}}}
	start := time.Now()
	var inFlight sync.WaitGroup
	for _, arrival := range arrivals(plan) {
		if !sleepUntil(ctx, start.Add(arrival.offset)) {
			break
		}
		inFlight.Go(func() { sender.tally.add(sender.send(ctx, arrival, start.Add(arrival.offset))) })
	}
	inFlight.Wait()
	return sender.tally.report(time.Since(start))
}

const (
	maxIdleConnsPerHost = 1024
	maxLineBytes        = 1 << 20
	seedSeparator       = "/"
)

// sender sends the requests of a plan.
type sender struct {
	plan   Plan
	tally  *tally
	client *http.Client
}

// sleepUntil sleeps until a moment. It returns false if ctx is done first.
func sleepUntil(ctx context.Context, moment time.Time) bool {
	timer := time.NewTimer(time.Until(moment))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends a request and waits for its response. Latencies count from due, the
// time at which the plan schedules the request.
func (sender *sender) send(ctx context.Context, arrival arrival, due time.Time) Result {
	ctx, cancel := context.WithTimeout(ctx, sender.plan.Timeout)
	defer cancel()
	result := Result{Class: arrival.class, Team: arrival.key.Team}
	switch arrival.class {
	case ClassChat:
		sender.sendChat(ctx, arrival, due, &result)
	case ClassText:
		sender.sendText(ctx, arrival, due, &result)
	case ClassPlain:
		sender.sendPlainRead(ctx, arrival, due, &result)
	case ClassAtMostOnce:
		sender.sendAtMostOnce(ctx, arrival, due, &result)
	}
	result.Latency = time.Since(due)
	return result
}

// prompt returns a request's prompt. It starts with PromptBytes of one of the plan's
// shared prefixes and ends with the seed and the request's number, which make it
// unique.
func (sender *sender) prompt(arrival arrival) string {
	shared := fmt.Sprintf("shared beginning %d ", arrival.prefix)
	body := strings.Repeat(shared, sender.plan.PromptBytes/len(shared)+1)[:sender.plan.PromptBytes]
	return fmt.Sprintf("%s request %d%s%d", body, sender.plan.Seed, seedSeparator, arrival.number)
}

type chatBody struct {
	Model         string          `json:"model"`
	Messages      []fakes.Message `json:"messages"`
	MaxTokens     int             `json:"max_tokens"`
	Stream        bool            `json:"stream"`
	StreamOptions streamOptions   `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type textBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

type chunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *usage          `json:"usage"`
	Error json.RawMessage `json:"error"`
}

type usage struct {
	PromptTokens        int `json:"prompt_tokens"`
	CompletionTokens    int `json:"completion_tokens"`
	PromptTokensDetails struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// post sends a JSON body. If the request has an idempotency key, it clears GetBody
// so that net/http does not repeat the request by itself.
func (sender *sender) post(ctx context.Context, target, path, key string, body any, idempotencyKey string) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
		request.GetBody = nil
	}
	return sender.client.Do(request)
}

// sendChat sends a request for a streamed chat completion. If prefixes are shared,
// the system message holds the prefix alone and only the user message is unique.
func (sender *sender) sendChat(ctx context.Context, arrival arrival, due time.Time, result *Result) {
	messages := []fakes.Message{
		{Role: "system", Content: sender.prompt(arrival)},
		{Role: "user", Content: fmt.Sprintf("question %d", arrival.number)},
	}
	if sender.plan.Prefixes > 0 {
		messages[0].Content = strings.Split(messages[0].Content, " request ")[0]
	}
	body := chatBody{
		Model: sender.plan.Model, Messages: messages, MaxTokens: sender.plan.Tokens, Stream: true,
		StreamOptions: streamOptions{IncludeUsage: true},
	}
	response, err := sender.post(ctx, arrival.target, "/v1/chat/completions", arrival.key.Key, body, "")
	if err != nil {
		result.Outcome, result.Note = OutcomeFailed, err.Error()
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		recordErrorStatus(response, result)
		return
	}
	sender.readStream(response.Body, due, result, fakes.CompletionText(fakes.ChatPrompt(messages), sender.plan.Tokens))
}

// readStream reads a stream of server-sent events, measures its latencies, and
// compares its text with the expected completion.
func (sender *sender) readStream(body io.Reader, due time.Time, result *Result, want string) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	var got strings.Builder
	var firstAt, lastAt time.Time
	tokens, done := 0, false
	for lines.Scan() {
		payload, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if payload == "[DONE]" {
			done = true
			break
		}
		var chunk chunk
		if json.Unmarshal([]byte(payload), &chunk) != nil || chunk.Error != nil {
			result.Outcome, result.Note = OutcomeFailed, payload
			return
		}
		if chunk.Usage != nil {
			result.CachedTokens, result.PromptTokens = chunk.Usage.PromptTokensDetails.CachedTokens, chunk.Usage.PromptTokens
		}
		if len(chunk.Choices) == 0 {
			continue
		}
		now := time.Now()
		if tokens == 0 {
			firstAt = now
		}
		lastAt = now
		tokens++
		got.WriteString(chunk.Choices[0].Delta.Content)
	}
	if !done {
		result.Outcome, result.Note = OutcomeFailed, "the stream ended without [DONE]"
		return
	}
	result.Outcome = OutcomeCompleted
	if got.String() != want {
		result.Outcome, result.Note = OutcomeWrong, fmt.Sprintf("got %q", truncate(got.String()))
		return
	}
	result.FirstToken = firstAt.Sub(due)
	if tokens > 1 {
		result.InterToken = lastAt.Sub(firstAt) / time.Duration(tokens-1)
	}
}

const maxNoteBytes = 80

func truncate(text string) string { return text[:min(len(text), maxNoteBytes)] }

// recordErrorStatus sets the outcome of a response with an error status from its
// X-Outcome header.
func recordErrorStatus(response *http.Response, result *Result) {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxLineBytes))
	result.Note = fmt.Sprintf("status %d: %s", response.StatusCode, truncate(string(body)))
	switch response.Header.Get("X-Outcome") {
	case "not-run":
		result.Outcome = OutcomeShed
	case "unknown":
		result.Outcome = OutcomeUnknown
	default:
		result.Outcome = OutcomeFailed
	}
}

// sendText sends a request for a text completion that is not streamed.
func (sender *sender) sendText(ctx context.Context, arrival arrival, due time.Time, result *Result) {
	prompt := sender.prompt(arrival)
	body := textBody{Model: sender.plan.Model, Prompt: prompt, MaxTokens: sender.plan.Tokens}
	response, err := sender.post(ctx, arrival.target, "/v1/completions", arrival.key.Key, body, "")
	if err != nil {
		result.Outcome, result.Note = OutcomeFailed, err.Error()
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		recordErrorStatus(response, result)
		return
	}
	var got chunk
	if err := json.NewDecoder(response.Body).Decode(&got); err != nil {
		result.Outcome, result.Note = OutcomeFailed, err.Error()
		return
	}
	result.Outcome = OutcomeCompleted
	matches := len(got.Choices) == 1 && got.Choices[0].Text == fakes.CompletionText(prompt, sender.plan.Tokens)
	if !matches || got.Usage == nil || got.Usage.CompletionTokens != sender.plan.Tokens {
		result.Outcome, result.Note = OutcomeWrong, "the text or the token count is not that of the prompt's completion"
	}
}

// receipt is the part of a plain instance's response that is checked; Run counts
// the executions of the idempotency key.
type receipt struct {
	Path string `json:"path"`
	Key  string `json:"key"`
	Run  int    `json:"run"`
}

// sendPlainRead sends a GET to the plain service.
func (sender *sender) sendPlainRead(ctx context.Context, arrival arrival, _ time.Time, result *Result) {
	path := fmt.Sprintf("%s/items/%d", sender.plan.PlainPath, arrival.number)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+arrival.target+path, nil)
	if err != nil {
		result.Outcome, result.Note = OutcomeFailed, err.Error()
		return
	}
	request.Header.Set("Authorization", "Bearer "+arrival.key.Key)
	response, err := sender.client.Do(request)
	got := sender.readReceipt(response, err, result)
	if result.Outcome == OutcomeCompleted && got.Path != fmt.Sprintf("/items/%d", arrival.number) {
		result.Outcome, result.Note = OutcomeWrong, "the receipt is for path "+got.Path
	}
}

// readReceipt reads the receipt of a plain call and sets the outcome.
func (sender *sender) readReceipt(response *http.Response, err error, result *Result) receipt {
	var got receipt
	if err != nil {
		result.Outcome, result.Note = OutcomeFailed, err.Error()
		return got
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		recordErrorStatus(response, result)
		return got
	}
	result.Outcome = OutcomeCompleted
	if err := json.NewDecoder(response.Body).Decode(&got); err != nil {
		result.Outcome, result.Note = OutcomeFailed, err.Error()
	}
	return got
}

// sendAtMostOnce sends an at-most-once call twice with the same idempotency key, to
// two targets, which may be the same. The second call has to return the response of
// the first, and the endpoint has to have executed the call once.
func (sender *sender) sendAtMostOnce(ctx context.Context, arrival arrival, _ time.Time, result *Result) {
	key := fmt.Sprintf("hbload-%d-%d", sender.plan.Seed, arrival.number)
	path := sender.plan.PlainPath + sender.plan.AtMostOncePath
	body := chunk{} // any JSON; the endpoint ignores its content
	response, err := sender.post(ctx, arrival.target, path, arrival.key.Key, body, key)
	first := sender.readReceipt(response, err, result)
	if result.Outcome != OutcomeCompleted {
		return
	}
	response, err = sender.post(ctx, arrival.secondTarget, path, arrival.key.Key, body, key)
	second := sender.readReceipt(response, err, result)
	if result.Outcome == OutcomeCompleted && (first != second || first.Key != key || first.Run != 1) {
		result.Outcome, result.Note = OutcomeWrong, fmt.Sprintf("two calls with the same key returned receipts %v and %v", first, second)
	}
}
