package fakes

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is the number of prompt bytes that count as one token.
const bytesPerToken = 4

// Token returns the token at an index of a prompt's completion. It depends on
// nothing else, so that a client that knows the prompt can check the completion.
func Token(prompt string, index int) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt)>>32, 16) + "." + strconv.Itoa(index) + " "
}

// CompletionText returns the text of a completion with the given number of tokens.
func CompletionText(prompt string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(Token(prompt, i))
	}
	return text.String()
}

// Message is one message of a chat prompt.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt returns the prompt that an engine makes of chat messages.
func ChatPrompt(messages []Message) string {
	var prompt strings.Builder
	for _, message := range messages {
		prompt.WriteString(message.Role + ": " + message.Content + "\n")
	}
	return prompt.String()
}
