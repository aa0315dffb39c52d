package front

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"hickorybend/core/relay"
)

// reply writes one model answer, as events or whole.
type reply struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	job        *job
	id         string
	limits     Limits
	started    bool
	cutBy      time.Time
	text       strings.Builder
}

const extendEvery = time.Second

func newReply(visit visit, job *job, limits Limits) *reply {
	return &reply{
		w: visit.w, controller: http.NewResponseController(visit.w),
		job: job, id: visit.trace, limits: limits,
	}
}

var (
	eventStart = []byte("data: ")
	eventEnd   = []byte("\n\n")
	eventDone  = []byte("data: [DONE]\n\n")
)

// chunk hands on one checked chunk; flush is false while more has arrived.
func (reply *reply) chunk(payload []byte, flush bool, now time.Time) error {
	if !reply.job.stream {
		reply.collect(payload)
		return nil
	}
	reply.start()
	reply.extend(now)
	if err := reply.event(payload); err != nil {
		return errCaller
	}
	if !flush {
		return nil
	}
	if err := reply.controller.Flush(); err != nil {
		return errCaller
	}
	return nil
}

// extend gives a caller that keeps reading more time.
func (reply *reply) extend(now time.Time) {
	if now.Add(reply.limits.WriteLimit - extendEvery).Before(reply.cutBy) {
		return
	}
	reply.cutBy = now.Add(reply.limits.WriteLimit)
	_ = reply.controller.SetWriteDeadline(reply.cutBy)
}

func (reply *reply) start() {
	if reply.started {
		return
	}
	reply.started = true
	header := reply.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	reply.w.WriteHeader(http.StatusOK)
}

func (reply *reply) event(payload []byte) error {
	if _, err := reply.w.Write(eventStart); err != nil {
		return err
	}
	if _, err := reply.w.Write(payload); err != nil {
		return err
	}
	_, err := reply.w.Write(eventEnd)
	return err
}

func (reply *reply) collect(payload []byte) {
	path := "choices.0.text"
	if reply.job.surface == surfaceChat {
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

type answerBody struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []answerChoice `json:"choices"`
	Usage   usageFields    `json:"usage"`
}

type answerChoice struct {
	Index   int            `json:"index"`
	Text    *string        `json:"text,omitempty"`
	Message *answerMessage `json:"message,omitempty"`
	Reason  string         `json:"finish_reason"`
}

type answerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// end closes a whole answer.
func (reply *reply) end(checker *relay.Checker) *problem {
	usage := usageFields{
		PromptTokens: checker.Usage.PromptTokens, CompletionTokens: checker.Usage.CompletionTokens,
		TotalTokens: checker.Usage.PromptTokens + checker.Usage.CompletionTokens,
		Details:     usageDetails{CachedTokens: checker.Usage.CachedTokens},
	}
	if reply.job.stream {
		reply.endStream(usage)
		return nil
	}
	text := reply.text.String()
	choice := answerChoice{Text: &text, Reason: checker.FinishReason}
	object := "text_completion"
	if reply.job.surface == surfaceChat {
		object = "chat.completion"
		choice = answerChoice{Message: &answerMessage{Role: "assistant", Content: text}, Reason: checker.FinishReason}
	}
	writeJSON(reply.w, answerBody{
		ID: reply.id, Object: object, Created: time.Now().Unix(), Model: reply.job.model,
		Choices: []answerChoice{choice}, Usage: usage,
	})
	return nil
}

func (reply *reply) endStream(usage usageFields) {
	reply.start()
	if reply.job.usage {
		object := "text_completion"
		if reply.job.surface == surfaceChat {
			object = "chat.completion.chunk"
		}
		body, err := json.Marshal(answerBody{ID: reply.id, Object: object, Model: reply.job.model, Choices: []answerChoice{}, Usage: usage})
		if err == nil {
			_ = reply.event(body)
		}
	}
	_, _ = reply.w.Write(eventDone)
	_ = reply.controller.Flush()
}

// fail gives the final answer of a request that is given up on: as the whole
// answer, or as the last event of a stream that has begun, without its end mark.
func (reply *reply) fail(problem *problem) *problem {
	if !reply.started {
		return problem
	}
	_ = reply.event(problem.body())
	_ = reply.controller.Flush()
	return nil
}
