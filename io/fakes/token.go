package fakes

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// charsPerToken is how many bytes of a prompt the engine counts as one token.
const charsPerToken = 4

// Token gives the i-th token of the engine's answer to a prompt, so that
// whoever knows the prompt can check an answer.
func Token(prompt string, i int) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt)>>32, 16) + "." + strconv.Itoa(i) + " "
}

// CompletionText gives the engine's whole answer of so many tokens.
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

// ChatPrompt gives the prompt that the engine makes of a chat.
func ChatPrompt(messages []Message) string {
	var prompt strings.Builder
	for _, message := range messages {
		prompt.WriteString(message.Role + ": " + message.Content + "\n")
	}
	return prompt.String()
}
