package fakes

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// chunks writes a stream as server-sent events, with the faults asked for.
type chunks struct {
	w       http.ResponseWriter
	flusher http.Flusher
	request string
	model   string
	chat    bool
	fault   EndpointFault
	sent    int
}

type wireChunk struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Offset  int          `json:"offset"`
	Tokens  int          `json:"tokens"`
	Choices []wireChoice `json:"choices"`
	Usage   *wireUsage   `json:"usage,omitempty"`
}

type wireChoice struct {
	Index  int        `json:"index"`
	Text   *string    `json:"text,omitempty"`
	Delta  *wireDelta `json:"delta,omitempty"`
	Reason *string    `json:"finish_reason"`
}

type wireDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type wireUsage struct {
	PromptTokens     int         `json:"prompt_tokens"`
	CompletionTokens int         `json:"completion_tokens"`
	TotalTokens      int         `json:"total_tokens"`
	Details          wireDetails `json:"prompt_tokens_details"`
}

type wireDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func newChunks(w http.ResponseWriter, request, model string, chat bool, fault EndpointFault) *chunks {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := w.(http.Flusher)
	flusher.Flush()
	return &chunks{w: w, flusher: flusher, request: request, model: model, chat: chat, fault: fault}
}

// write sends the stream's tokens until it ends, its caller goes, or the
// engine is told to do something else.
func (chunks *chunks) write(stream *stream, stop <-chan struct{}) {
	for {
		select {
		case token, open := <-stream.tokens:
			if !open {
				chunks.finish(stream)
				return
			}
			chunks.token(stream, token)
		case <-stream.gone:
			return
		case <-stop:
			panic(http.ErrAbortHandler)
		}
	}
}

func (chunks *chunks) token(stream *stream, token int) {
	chunks.sent++
	if chunks.sent == 1 {
		time.Sleep(time.Duration(chunks.fault.FirstTokenDelayMillis) * time.Millisecond)
	}
	if chunks.fault.TruncateAfter > 0 && chunks.sent > chunks.fault.TruncateAfter {
		panic(http.ErrAbortHandler)
	}
	if chunks.sent <= chunks.fault.ForeignChunks {
		crossed := chunks.chunk(token, Token("another prompt", token))
		crossed.ID = "another-request"
		chunks.send(crossed)
	}
	if chunks.fault.SkipChunkAt > 0 && chunks.sent == chunks.fault.SkipChunkAt {
		return
	}
	chunk := chunks.chunk(token, Token(stream.prompt, token))
	if token == stream.limit-1 {
		reason := "length"
		chunk.Choices[0].Reason = &reason
	}
	chunks.send(chunk)
}

func (chunks *chunks) chunk(token int, text string) wireChunk {
	chunk := wireChunk{ID: chunks.request, Object: "text_completion", Model: chunks.model, Offset: token, Tokens: 1}
	choice := wireChoice{Text: &text}
	if chunks.chat {
		chunk.Object = "chat.completion.chunk"
		choice = wireChoice{Delta: &wireDelta{Content: text}}
		if token == 0 {
			choice.Delta.Role = "assistant"
		}
	}
	chunk.Choices = []wireChoice{choice}
	return chunk
}

func (chunks *chunks) finish(stream *stream) {
	prompt := len(stream.prompt) / charsPerToken
	usage := &wireUsage{
		PromptTokens: prompt, CompletionTokens: stream.limit, TotalTokens: prompt + stream.limit,
		Details: wireDetails{CachedTokens: stream.cached},
	}
	tally := wireChunk{ID: chunks.request, Model: chunks.model, Offset: stream.limit, Usage: usage, Choices: []wireChoice{}}
	chunks.send(tally)
	_, _ = fmt.Fprint(chunks.w, "data: [DONE]\n\n")
	chunks.flusher.Flush()
}

func (chunks *chunks) send(chunk wireChunk) {
	body, err := json.Marshal(chunk)
	if err != nil {
		panic(err)
	}
	_, _ = fmt.Fprintf(chunks.w, "data: %s\n\n", body)
	chunks.flusher.Flush()
}
