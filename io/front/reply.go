package front

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"hickorybend/core/relay"
)

// reply writes the response to one request to a model, as a stream of server-sent
// events or as one JSON body.
type reply struct {
	w             http.ResponseWriter
	controller    *http.ResponseController
	completion    *completionRequest
	id            string
	limits        Limits
	started       bool // whether the header of a stream was written
	writeDeadline time.Time
	text          strings.Builder // the completion so far, for a JSON body
}

// extendInterval is the minimum time between two extensions of the write deadline.
const extendInterval = time.Second

func newReply(request request, completionrequest *completionRequest, limits Limits) *reply {
	return &reply{
		w: request.w, controller: http.NewResponseController(request.w),
		completion: completionrequest, id: request.internalID, limits: limits,
	}
}

var (
	eventPrefix = []byte("data: ")
	eventSuffix = []byte("\n\n")
	doneEvent   = []byte("data: [DONE]\n\n")
)

// writeChunk passes one checked chunk to the caller; flush is false if the next
// chunk has already arrived.
func (reply *reply) writeChunk(payload []byte, flush bool, now time.Time) error {
	if !reply.completion.stream {
		reply.collectText(payload)
		return nil
	}
	reply.writeHeader()
	reply.extendWriteDeadline(now)
	if err := reply.writeEvent(payload); err != nil {
		return errCallerGone
	}
	if !flush {
		return nil
	}
	if err := reply.controller.Flush(); err != nil {
		return errCallerGone
	}
	return nil
}

// extendWriteDeadline extends the write deadline before a chunk is written. If the
// caller reads nothing, a later write blocks and fails at the deadline.
func (reply *reply) extendWriteDeadline(now time.Time) {
	if now.Add(reply.limits.WriteTimeout - extendInterval).Before(reply.writeDeadline) {
		return
	}
	reply.writeDeadline = now.Add(reply.limits.WriteTimeout)
	_ = reply.controller.SetWriteDeadline(reply.writeDeadline)
}

func (reply *reply) writeHeader() {
	if reply.started {
		return
	}
	reply.started = true
	header := reply.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	reply.w.WriteHeader(http.StatusOK)
}

func (reply *reply) writeEvent(payload []byte) error {
	if _, err := reply.w.Write(eventPrefix); err != nil {
		return err
	}
	if _, err := reply.w.Write(payload); err != nil {
		return err
	}
	_, err := reply.w.Write(eventSuffix)
	return err
}

func (reply *reply) collectText(payload []byte) {
	path := "choices.0.text"
	if reply.completion.api == apiChat {
		path = "choices.0.delta.content"
	}
	reply.text.WriteString(gjson.GetBytes(payload, path).Str)
}

type usageFields struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type responseBody struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []responseChoice `json:"choices"`
	Usage   usageFields      `json:"usage"`
}

type responseChoice struct {
	Index   int              `json:"index"`
	Text    *string          `json:"text,omitempty"`
	Message *responseMessage `json:"message,omitempty"`
	Reason  string           `json:"finish_reason"`
}

type responseMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// writeEnd ends a complete response: a stream with the usage, if the caller asked
// for it, and the end marker; any other response by writing its JSON body.
func (reply *reply) writeEnd(checker *relay.Checker) *problem {
	usage := usageFields{
		PromptTokens: checker.Usage.PromptTokens, CompletionTokens: checker.Usage.CompletionTokens,
		TotalTokens: checker.Usage.PromptTokens + checker.Usage.CompletionTokens,
		Details:     usageDetails{CachedTokens: checker.Usage.CachedTokens},
	}
	if reply.completion.stream {
		reply.writeStreamEnd(usage)
		return nil
	}
	text := reply.text.String()
	choice := responseChoice{Text: &text, Reason: checker.FinishReason}
	object := "text_completion"
	if reply.completion.api == apiChat {
		object = "chat.completion"
		choice = responseChoice{Message: &responseMessage{Role: "assistant", Content: text}, Reason: checker.FinishReason}
	}
	writeJSON(reply.w, responseBody{
		ID: reply.id, Object: object, Created: time.Now().Unix(), Model: reply.completion.model,
		Choices: []responseChoice{choice}, Usage: usage,
	})
	return nil
}

func (reply *reply) writeStreamEnd(usage usageFields) {
	reply.writeHeader()
	if reply.completion.includeUsage {
		object := "text_completion"
		if reply.completion.api == apiChat {
			object = "chat.completion.chunk"
		}
		body, err := json.Marshal(responseBody{ID: reply.id, Object: object, Model: reply.completion.model, Choices: []responseChoice{}, Usage: usage})
		if err == nil {
			_ = reply.writeEvent(body)
		}
	}
	_, _ = reply.w.Write(doneEvent)
	_ = reply.controller.Flush()
}

// writeFailure reports that the response could not be completed. Before anything
// was sent it returns the problem as the response. In a stream that has begun, it
// sends the problem as the last event, without the end marker.
func (reply *reply) writeFailure(problem *problem) *problem {
	if !reply.started {
		return problem
	}
	_ = reply.writeEvent(problem.body())
	_ = reply.controller.Flush()
	return nil
}
