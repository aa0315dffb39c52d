package fakes

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// chunkWriter writes a stream as server-sent events and injects the endpoint's faults.
type chunkWriter struct {
	w          http.ResponseWriter
	flusher    http.Flusher
	requestID  string
	model      string
	chat       bool
	fault      EndpointFault
	tokenCount int // tokens received so far, also those that a fault omits
}

// wireChunk is a chunk of the OpenAI API with two additional fields: Offset is the
// index of its first token in the completion, and Tokens the number of its tokens.
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
	Index        int        `json:"index"`
	Text         *string    `json:"text,omitempty"`
	Delta        *wireDelta `json:"delta,omitempty"`
	FinishReason *string    `json:"finish_reason"`
}

type wireDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type wireUsage struct {
	PromptTokens        int                     `json:"prompt_tokens"`
	CompletionTokens    int                     `json:"completion_tokens"`
	TotalTokens         int                     `json:"total_tokens"`
	PromptTokensDetails wirePromptTokensDetails `json:"prompt_tokens_details"`
}

type wirePromptTokensDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func newChunkWriter(w http.ResponseWriter, requestID, model string, chat bool, fault EndpointFault) *chunkWriter {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := w.(http.Flusher)
	flusher.Flush()
	return &chunkWriter{w: w, flusher: flusher, requestID: requestID, model: model, chat: chat, fault: fault}
}

// write sends the stream's tokens until the stream ends or its caller
// disconnects. It aborts the connection when stop is closed, which is when the
// engine stops, restarts or gets another replica or epoch.
func (chunkwriter *chunkWriter) write(stream *stream, stop <-chan struct{}) {
	for {
		select {
		case token, open := <-stream.tokens:
			if !open {
				chunkwriter.writeEnd(stream)
				return
			}
			chunkwriter.writeToken(stream, token)
		case <-stream.cancelled:
			return
		case <-stop:
			panic(http.ErrAbortHandler)
		}
	}
}

// writeToken sends the chunk of one token and injects the faults that apply to it.
func (chunkwriter *chunkWriter) writeToken(stream *stream, token int) {
	chunkwriter.tokenCount++
	if chunkwriter.tokenCount == 1 {
		time.Sleep(time.Duration(chunkwriter.fault.FirstTokenDelayMillis) * time.Millisecond)
	}
	if chunkwriter.fault.TruncateAfter > 0 && chunkwriter.tokenCount > chunkwriter.fault.TruncateAfter {
		panic(http.ErrAbortHandler)
	}
	if chunkwriter.tokenCount <= chunkwriter.fault.ForeignChunks {
		foreign := chunkwriter.newChunk(token, Token("another prompt", token))
		foreign.ID = "another-request"
		chunkwriter.writeEvent(foreign)
	}
	if chunkwriter.fault.SkipChunkAt > 0 && chunkwriter.tokenCount == chunkwriter.fault.SkipChunkAt {
		return
	}
	chunk := chunkwriter.newChunk(token, Token(stream.prompt, token))
	if token == stream.maxTokens-1 {
		finishReason := "length"
		chunk.Choices[0].FinishReason = &finishReason
	}
	chunkwriter.writeEvent(chunk)
}

func (chunkwriter *chunkWriter) newChunk(token int, text string) wireChunk {
	chunk := wireChunk{ID: chunkwriter.requestID, Object: "text_completion", Model: chunkwriter.model, Offset: token, Tokens: 1}
	choice := wireChoice{Text: &text}
	if chunkwriter.chat {
		chunk.Object = "chat.completion.chunk"
		choice = wireChoice{Delta: &wireDelta{Content: text}}
		if token == 0 {
			choice.Delta.Role = "assistant"
		}
	}
	chunk.Choices = []wireChoice{choice}
	return chunk
}

// writeEnd sends the usage chunk and the end marker of the stream.
func (chunkwriter *chunkWriter) writeEnd(stream *stream) {
	promptTokens := len(stream.prompt) / bytesPerToken
	usage := &wireUsage{
		PromptTokens: promptTokens, CompletionTokens: stream.maxTokens, TotalTokens: promptTokens + stream.maxTokens,
		PromptTokensDetails: wirePromptTokensDetails{CachedTokens: stream.cachedTokens},
	}
	usageChunk := wireChunk{ID: chunkwriter.requestID, Model: chunkwriter.model, Offset: stream.maxTokens, Usage: usage, Choices: []wireChoice{}}
	chunkwriter.writeEvent(usageChunk)
	_, _ = fmt.Fprint(chunkwriter.w, "data: [DONE]\n\n")
	chunkwriter.flusher.Flush()
}

func (chunkwriter *chunkWriter) writeEvent(chunk wireChunk) {
	body, err := json.Marshal(chunk)
	if err != nil {
		panic(err)
	}
	_, _ = fmt.Fprintf(chunkwriter.w, "data: %s\n\n", body)
	chunkwriter.flusher.Flush()
}
