package reach

import (
	"sync"
	"time"

	"hickorybend/core/hold"
)

// heldTokens is the tokens of requests in flight at one endpoint.
type heldTokens struct {
	mutex  sync.Mutex
	own    int
	peers  int
	window hold.Window // of this node's
}

// Hold adds the tokens of a request's prompt and longest answer that is sent.
func (load *Load) Hold(tokens int, now time.Time) {
	load.held.mutex.Lock()
	defer load.held.mutex.Unlock()
	load.held.own += tokens
	load.held.window.Add(tokens, now)
}

// EndHold subtracts the tokens of a request that has ended.
func (load *Load) EndHold(tokens int) {
	load.held.mutex.Lock()
	defer load.held.mutex.Unlock()
	load.held.own -= tokens
}

// OwnHeldTokens returns the tokens of this node's requests in flight.
func (load *Load) OwnHeldTokens() int {
	load.held.mutex.Lock()
	defer load.held.mutex.Unlock()
	return load.held.own
}

// SetPeerHeldTokens sets the tokens of the other nodes' requests in flight.
func (load *Load) SetPeerHeldTokens(tokens int) {
	load.held.mutex.Lock()
	defer load.held.mutex.Unlock()
	load.held.peers = tokens
}

// memoryFull reports whether the candidate's memory has no room for a request. Where the nodes form no
// mesh, their parts would be smaller than a request, so that nothing is decided here.
func (candidate *Candidate) memoryFull(request Request) bool {
	if candidate.MemoryTokens <= 0 || request.SampleSize > 0 {
		return false
	}
	held := &candidate.Load.held
	held.mutex.Lock()
	defer held.mutex.Unlock()
	// A node of an earlier build tells only of prompts that wait.
	peers := max(held.peers, int(candidate.Load.peerPendingTokens.Load()))
	memory := hold.Memory{Tokens: candidate.MemoryTokens, Held: held.own + peers, Lately: held.window.Lately(request.Now), Nodes: request.Nodes}
	return !memory.Fits(request.PromptTokens, request.AnswerTokens)
}

// anyMemoryFull reports whether the memory of a candidate that would take the request else has no room.
func anyMemoryFull(candidates []*Candidate, request Request) bool {
	for _, candidate := range candidates {
		if candidate.takesRequests(request.Now) && candidate.memoryFull(request) {
			return true
		}
	}
	return false
}
