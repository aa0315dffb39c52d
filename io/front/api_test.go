package front

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"gotest.tools/v3/assert"

	"hickorybend/io/fakes"
)

// officialClient returns a client of OpenAI's published library, without retries.
func officialClient(harness *harness, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL(harness.listeners[0].URL+"/v1/"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

var greeting = []openai.ChatCompletionMessageParamUnion{
	openai.SystemMessage("be brief"), openai.UserMessage("hello"),
}

// greetingCompletion is the fake engine's completion of greeting.
func greetingCompletion(tokens int) string {
	return fakes.CompletionText(fakes.ChatPrompt([]fakes.Message{{Role: "system", Content: "be brief"}, {Role: "user", Content: "hello"}}), tokens)
}

func TestOfficialClientChats(t *testing.T) {
	harness := newHarness(t, 1)
	client := officialClient(harness, "key1")
	completion, err := client.Chat.Completions.New(t.Context(), openai.ChatCompletionNewParams{
		Model: "m", Messages: greeting, MaxTokens: openai.Int(9),
	})
	assert.NilError(t, err)
	assert.Equal(t, completion.Choices[0].Message.Content, greetingCompletion(9))
	assert.Equal(t, completion.Choices[0].FinishReason, "length")
	assert.Equal(t, completion.Usage.CompletionTokens, int64(9))
	assert.Equal(t, completion.Usage.TotalTokens, completion.Usage.PromptTokens+9)

	stream := client.Chat.Completions.NewStreaming(t.Context(), openai.ChatCompletionNewParams{
		Model: "m", Messages: greeting, MaxCompletionTokens: openai.Int(12),
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	})
	gathered := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		assert.Assert(t, gathered.AddChunk(stream.Current()))
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, gathered.Choices[0].Message.Content, greetingCompletion(12))
	assert.Equal(t, gathered.Usage.CompletionTokens, int64(12))
}

func TestOfficialClientCompletesAndLists(t *testing.T) {
	harness := newHarness(t, 1)
	client := officialClient(harness, "key1")
	completion, err := client.Completions.New(t.Context(), openai.CompletionNewParams{
		Model: "m", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("once upon")}, MaxTokens: openai.Int(5),
	})
	assert.NilError(t, err)
	assert.Equal(t, completion.Choices[0].Text, fakes.CompletionText("once upon", 5))
	models, err := client.Models.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(models.Data), 1)
	model, err := client.Models.Get(t.Context(), "m")
	assert.NilError(t, err)
	assert.Equal(t, model.ID, "m")
}

func TestOfficialClientUnderstandsProblems(t *testing.T) {
	harness := newHarness(t, 1)
	expectProblem := func(name string, err error, status int, code string) {
		t.Helper()
		var failure *openai.Error
		assert.Assert(t, errors.As(err, &failure), "%s: %v", name, err)
		assert.Equal(t, failure.StatusCode, status, name)
		assert.Equal(t, failure.Code, code, name)
	}
	client := officialClient(harness, "key1")
	_, err := client.Chat.Completions.New(t.Context(), openai.ChatCompletionNewParams{Model: "none", Messages: greeting})
	expectProblem("unknown model", err, http.StatusNotFound, "model_not_found")
	wrongKey := officialClient(harness, "wrong")
	_, err = wrongKey.Chat.Completions.New(t.Context(), openai.ChatCompletionNewParams{Model: "m", Messages: greeting})
	expectProblem("wrong key", err, http.StatusUnauthorized, "invalid_api_key")
	limited := officialClient(harness, "key2")
	_, err = limited.Models.List(t.Context())
	assert.NilError(t, err)
	for range 3 {
		_, err = limited.Chat.Completions.New(t.Context(), openai.ChatCompletionNewParams{Model: "m", Messages: greeting, MaxTokens: openai.Int(1)})
	}
	expectProblem("over its request rate", err, http.StatusTooManyRequests, "limit_request-rate")
	harness.replicaStates[0].SetCompleteUntil(harness.start, harness.start)
	_, err = client.Chat.Completions.New(t.Context(), openai.ChatCompletionNewParams{Model: "m", Messages: greeting})
	expectProblem("no complete replica", err, http.StatusServiceUnavailable, "no_replica")
}

func TestBadInputReachesNoEndpoint(t *testing.T) {
	harness := newHarness(t, 1)
	expectBad := func(name, path, body string, status int, code string) {
		t.Helper()
		got := harness.send(t, 0, http.MethodPost, path, body)
		assert.Equal(t, got.status, status, "%s: %s", name, got.body)
		assert.Assert(t, strings.Contains(got.body, `"code":"`+code+`"`), "%s: %s", name, got.body)
		assert.Equal(t, got.outcome, OutcomeNotRun, name)
	}
	const chat, text = "/v1/chat/completions", "/v1/completions"
	expectBad("broken JSON", chat, `{"model":`, 400, "invalid_json")
	expectBad("an array", chat, `[]`, 400, "invalid_json")
	expectBad("a wrong type", chat, `{"model":7}`, 400, "invalid_type")
	expectBad("no messages", chat, `{"model":"m"}`, 400, "missing_parameter")
	expectBad("no model", text, `{"prompt":"x"}`, 400, "missing_parameter")
	expectBad("an unknown role", chat, `{"model":"m","messages":[{"role":"king","content":"x"}]}`, 400, "invalid_value")
	expectBad("content of a wrong type", chat, `{"model":"m","messages":[{"role":"user","content":7}]}`, 400, "invalid_type")
	expectBad("an image", chat, `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, 400, "unsupported_value")
	expectBad("several prompts", text, `{"model":"m","prompt":["a","b"]}`, 400, "invalid_type")
	expectBad("two answers", text, `{"model":"m","prompt":"x","n":2}`, 400, "unsupported_value")
	expectBad("a negative max_tokens", text, `{"model":"m","prompt":"x","max_tokens":-4}`, 400, "invalid_value")
	expectBad("a temperature out of range", text, `{"model":"m","prompt":"x","temperature":99}`, 400, "invalid_value")
	expectBad("a top_p out of range", text, `{"model":"m","prompt":"x","top_p":2}`, 400, "invalid_value")
	expectBad("too large", text, `{"model":"m","prompt":"`+strings.Repeat("x", 70<<10)+`"}`, 413, "body_too_large")
	expectBad("unknown path", "/nothing", ``, 404, "not_found")
	expectBad("unknown v1 path", "/v1/images", ``, 404, "not_found")
	got := harness.send(t, 0, http.MethodDelete, text, "")
	assert.Equal(t, got.status, http.StatusMethodNotAllowed)
	bad := harness.send(t, 0, http.MethodPost, text, `{"model":"m","prompt":"x"}`, headerTimeout, "soon")
	assert.Equal(t, bad.status, http.StatusBadRequest)
	assert.Equal(t, harness.engine.Started(), int64(0))
}

// TestSlowRequestBodyTimesOut sends a body that never ends: the caller must get a
// status and not wait forever, and no engine may get the request.
func TestSlowRequestBodyTimesOut(t *testing.T) {
	harness := newHarness(t, 0)
	harness.limits.ReadTimeout = 50 * time.Millisecond
	harness.servers, harness.listeners = append(harness.servers, nil), append(harness.listeners, nil)
	harness.restartNode(t, 0)
	connection, err := net.Dial("tcp", strings.TrimPrefix(harness.listeners[0].URL, "http://"))
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	_, err = connection.Write([]byte("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key1\r\nContent-Length: 100\r\n\r\n{"))
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
	assert.Equal(t, harness.engine.Started(), int64(0))
}

// TestCallerDisconnectCancelsTheEngineStream guards against an engine that
// continues a long completion whose caller has disconnected.
func TestCallerDisconnectCancelsTheEngineStream(t *testing.T) {
	harness := newHarness(t, 1)
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, harness.listeners[0].URL+"/v1/completions",
		strings.NewReader(`{"model":"m","prompt":"x","max_tokens":100000,"stream":true}`))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer key1")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	_, err = bufio.NewReader(response.Body).ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, harness.engine.ActiveStreams(), 1)
	cancel()
	_ = response.Body.Close()
	for range 400 {
		if harness.engine.ActiveStreams() == 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the engine still streams to a caller that disconnected")
}

// TestStalledEngineTimesOut pauses the engine before its first token: the attempt
// ends at FirstTokenTimeout, or at the request's own deadline if that is earlier.
func TestStalledEngineTimesOut(t *testing.T) {
	harness := newHarness(t, 0)
	harness.limits.StallTimeout, harness.limits.FirstTokenTimeout = 200*time.Millisecond, 300*time.Millisecond
	harness.servers, harness.listeners = append(harness.servers, nil), append(harness.listeners, nil)
	harness.restartNode(t, 0)
	harness.engine.SetFault(fakes.EndpointFault{Paused: true})
	got := harness.send(t, 0, http.MethodPost, "/v1/completions", `{"model":"m","prompt":"x","max_tokens":5}`)
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, got.outcome, OutcomeUnknown)
	late := harness.send(t, 0, http.MethodPost, "/v1/completions", `{"model":"m","prompt":"x","max_tokens":5}`, headerTimeout, "100")
	assert.Equal(t, late.status, http.StatusGatewayTimeout)
}

func TestPlainServiceKeepsMethodHeadersBodyAndStatus(t *testing.T) {
	harness := newHarness(t, 1)
	got := harness.send(t, 0, http.MethodPut, "/ledger/kits/7%2F8?x=1", "four", "X-Own", "1", "X-Request-Id", "mine")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.outcome, OutcomeRan)
	assert.Equal(t, got.header.Get("X-Request-Id"), "mine")
	assert.Assert(t, strings.Contains(got.body, `"method":"PUT"`) && strings.Contains(got.body, `"bytes":4`), got.body)
	harness.plainInstance.SetFault(fakes.EndpointFault{LoseAnswers: 1})
	lost := harness.send(t, 0, http.MethodPut, "/ledger/kits/7", "four")
	assert.Equal(t, lost.outcome, OutcomeUnknown, "a call that may have run is not sent again")
}

func FuzzDecode(f *testing.F) {
	f.Add(`{"model":"m","messages":[{"role":"user","content":"x"}]}`)
	f.Add(`{"model":"m","prompt":"x","max_tokens":1e99}`)
	f.Add(`{"messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"model":"m","stream_options":null}`)
	f.Fuzz(func(t *testing.T, body string) {
		for _, api := range []api{apiChat, apiText} {
			completionrequest, problem := decode(api, []byte(body))
			if (completionrequest == nil) == (problem == nil) {
				t.Fatal("neither a request nor a problem, or both")
			}
			if completionrequest != nil && len(completionrequest.bodyFrom(3)) == 0 {
				t.Fatal("empty body for the engine")
			}
		}
	})
}
