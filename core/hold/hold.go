package hold

import "time"

// Unknown is for how long the other nodes may not know what a node has sent: two times the
// greatest age of figures between nodes that all exchange digests every 100 ms.
const Unknown = 400 * time.Millisecond

// Memory is what a node knows of the memory of an endpoint.
type Memory struct {
	Tokens int // that it holds at most; 0 if not stated
	Held   int // of all nodes' requests in flight there, at most
	Lately int // tokens that this node has sent within Unknown
	Nodes  int // that may send requests there
}

// Fits reports whether a request with a prompt and an answer of at most so many tokens may be sent. One
// that is alone there may be, unless its prompt is larger than the memory: answers
// seldom take all that their callers accept.
func (memory Memory) Fits(promptTokens, answerTokens int) bool {
	tokens := promptTokens + answerTokens
	switch {
	case memory.Tokens <= 0:
		return true
	case memory.Held <= 0 && memory.Lately <= 0:
		return promptTokens <= memory.Tokens
	case memory.Held+tokens > memory.Tokens:
		return false
	}
	free := memory.Tokens - max(0, memory.Held-memory.Lately)
	return memory.Lately+tokens <= free/max(1, memory.Nodes)
}

// Window is what a node has sent to an endpoint of late.
type Window struct {
	sent []sending
}

type sending struct {
	at     time.Time
	tokens int
}

// Add adds a request that is sent.
func (window *Window) Add(tokens int, now time.Time) {
	window.drop(now)
	window.sent = append(window.sent, sending{at: now, tokens: tokens})
}

// Lately returns the tokens that were sent within Unknown.
func (window *Window) Lately(now time.Time) int {
	window.drop(now)
	sum := 0
	for _, sending := range window.sent {
		sum += sending.tokens
	}
	return sum
}

func (window *Window) drop(now time.Time) {
	kept := 0
	for kept < len(window.sent) && now.Sub(window.sent[kept].at) >= Unknown {
		kept++
	}
	window.sent = window.sent[kept:]
}
