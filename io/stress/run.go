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

// Run sends the plan's load and waits for every answer.
func Run(ctx context.Context, plan Plan) Report {
	runner := &runner{plan: plan, tally: newTally(plan), http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections}}}
	begun := time.Now()
	var open sync.WaitGroup
	for _, arrival := range arrivals(plan) {
		if !sleepUntil(ctx, begun.Add(arrival.at)) {
			break
		}
		open.Go(func() { runner.tally.add(runner.send(ctx, arrival, begun.Add(arrival.at))) })
	}
	open.Wait()
	return runner.tally.report(time.Since(begun))
}

const (
	connections   = 1024
	maxLineBytes  = 1 << 20
	seedSeparator = "/"
)

type runner struct {
	plan  Plan
	tally *tally
	http  *http.Client
}

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

func (runner *runner) send(ctx context.Context, arrival arrival, due time.Time) Result {
	ctx, cancel := context.WithTimeout(ctx, runner.plan.Timeout)
	defer cancel()
	result := Result{Class: arrival.class, Team: arrival.key.Team}
	switch arrival.class {
	case ClassChat:
		runner.chat(ctx, arrival, due, &result)
	case ClassText:
		runner.text(ctx, arrival, due, &result)
	case ClassPlain:
		runner.read(ctx, arrival, due, &result)
	case ClassAtMostOnce:
		runner.once(ctx, arrival, due, &result)
	}
	result.Latency = time.Since(due)
	return result
}

// prompt begins with one of the plan's shared beginnings and ends with what
// only this request says.
func (runner *runner) prompt(arrival arrival) string {
	shared := fmt.Sprintf("shared beginning %d ", arrival.prefix)
	body := strings.Repeat(shared, runner.plan.PromptBytes/len(shared)+1)[:runner.plan.PromptBytes]
	return fmt.Sprintf("%s request %d%s%d", body, runner.plan.Seed, seedSeparator, arrival.number)
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
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func (runner *runner) post(ctx context.Context, target, path, key string, body any, idempotency string) (*http.Response, error) {
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
	if idempotency != "" {
		request.Header.Set("Idempotency-Key", idempotency)
		request.GetBody = nil
	}
	return runner.http.Do(request)
}

func (runner *runner) chat(ctx context.Context, arrival arrival, due time.Time, result *Result) {
	messages := []fakes.Message{
		{Role: "system", Content: runner.prompt(arrival)},
		{Role: "user", Content: fmt.Sprintf("question %d", arrival.number)},
	}
	if runner.plan.Prefixes > 0 {
		messages[0].Content = strings.Split(messages[0].Content, " request ")[0]
	}
	body := chatBody{
		Model: runner.plan.Model, Messages: messages, MaxTokens: runner.plan.Tokens, Stream: true,
		StreamOptions: streamOptions{IncludeUsage: true},
	}
	answer, err := runner.post(ctx, arrival.target, "/v1/chat/completions", arrival.key.Key, body, "")
	if err != nil {
		result.Outcome, result.Note = OutcomeFailed, err.Error()
		return
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		refused(answer, result)
		return
	}
	runner.follow(answer.Body, due, result, fakes.CompletionText(fakes.ChatPrompt(messages), runner.plan.Tokens))
}

// follow reads a stream and compares it with the answer that the prompt has.
func (runner *runner) follow(body io.Reader, due time.Time, result *Result, want string) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	var got strings.Builder
	var first, last time.Time
	tokens, ended := 0, false
	for lines.Scan() {
		payload, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if payload == "[DONE]" {
			ended = true
			break
		}
		var chunk chunk
		if json.Unmarshal([]byte(payload), &chunk) != nil || chunk.Error != nil {
			result.Outcome, result.Note = OutcomeFailed, payload
			return
		}
		if chunk.Usage != nil {
			result.CachedTokens, result.PromptTokens = chunk.Usage.Details.CachedTokens, chunk.Usage.PromptTokens
		}
		if len(chunk.Choices) == 0 {
			continue
		}
		now := time.Now()
		if tokens == 0 {
			first = now
		}
		last = now
		tokens++
		got.WriteString(chunk.Choices[0].Delta.Content)
	}
	if !ended {
		result.Outcome, result.Note = OutcomeFailed, "the stream has no end mark"
		return
	}
	result.Outcome = OutcomeCompleted
	if got.String() != want {
		result.Outcome, result.Note = OutcomeWrong, fmt.Sprintf("got %q", clip(got.String()))
		return
	}
	result.FirstToken = first.Sub(due)
	if tokens > 1 {
		result.InterToken = last.Sub(first) / time.Duration(tokens-1)
	}
}

const clipLength = 80

func clip(text string) string { return text[:min(len(text), clipLength)] }

func refused(answer *http.Response, result *Result) {
	body, _ := io.ReadAll(io.LimitReader(answer.Body, maxLineBytes))
	result.Note = fmt.Sprintf("status %d: %s", answer.StatusCode, clip(string(body)))
	switch answer.Header.Get("X-Outcome") {
	case "not-run":
		result.Outcome = OutcomeShed
	case "unknown":
		result.Outcome = OutcomeUnknown
	default:
		result.Outcome = OutcomeFailed
	}
}

func (runner *runner) text(ctx context.Context, arrival arrival, due time.Time, result *Result) {
	prompt := runner.prompt(arrival)
	body := textBody{Model: runner.plan.Model, Prompt: prompt, MaxTokens: runner.plan.Tokens}
	answer, err := runner.post(ctx, arrival.target, "/v1/completions", arrival.key.Key, body, "")
	if err != nil {
		result.Outcome, result.Note = OutcomeFailed, err.Error()
		return
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		refused(answer, result)
		return
	}
	var got chunk
	if err := json.NewDecoder(answer.Body).Decode(&got); err != nil {
		result.Outcome, result.Note = OutcomeFailed, err.Error()
		return
	}
	result.Outcome = OutcomeCompleted
	whole := len(got.Choices) == 1 && got.Choices[0].Text == fakes.CompletionText(prompt, runner.plan.Tokens)
	if !whole || got.Usage == nil || got.Usage.CompletionTokens != runner.plan.Tokens {
		result.Outcome, result.Note = OutcomeWrong, "the text or its count is not the prompt's"
	}
}

type receipt struct {
	Path string `json:"path"`
	Key  string `json:"key"`
	Run  int    `json:"run"`
}

func (runner *runner) read(ctx context.Context, arrival arrival, _ time.Time, result *Result) {
	path := fmt.Sprintf("%s/items/%d", runner.plan.PlainPath, arrival.number)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+arrival.target+path, nil)
	if err != nil {
		result.Outcome, result.Note = OutcomeFailed, err.Error()
		return
	}
	request.Header.Set("Authorization", "Bearer "+arrival.key.Key)
	answer, err := runner.http.Do(request)
	got := runner.receipt(answer, err, result)
	if result.Outcome == OutcomeCompleted && got.Path != fmt.Sprintf("/items/%d", arrival.number) {
		result.Outcome, result.Note = OutcomeWrong, "the receipt is for "+got.Path
	}
}

func (runner *runner) receipt(answer *http.Response, err error, result *Result) receipt {
	var got receipt
	if err != nil {
		result.Outcome, result.Note = OutcomeFailed, err.Error()
		return got
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode >= http.StatusMultipleChoices {
		refused(answer, result)
		return got
	}
	result.Outcome = OutcomeCompleted
	if err := json.NewDecoder(answer.Body).Decode(&got); err != nil {
		result.Outcome, result.Note = OutcomeFailed, err.Error()
	}
	return got
}

// once sends a call that may run at most once, through two nodes: the second
// has to give the first one's answer.
func (runner *runner) once(ctx context.Context, arrival arrival, _ time.Time, result *Result) {
	key := fmt.Sprintf("hbload-%d-%d", runner.plan.Seed, arrival.number)
	path := runner.plan.PlainPath + runner.plan.AtMostOncePath
	body := chunk{}
	answer, err := runner.post(ctx, arrival.target, path, arrival.key.Key, body, key)
	first := runner.receipt(answer, err, result)
	if result.Outcome != OutcomeCompleted {
		return
	}
	answer, err = runner.post(ctx, arrival.other, path, arrival.key.Key, body, key)
	second := runner.receipt(answer, err, result)
	if result.Outcome == OutcomeCompleted && (first != second || first.Key != key || first.Run != 1) {
		result.Outcome, result.Note = OutcomeWrong, fmt.Sprintf("receipts %v and %v", first, second)
	}
}
