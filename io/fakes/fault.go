package fakes

import (
	"sync"
	"time"
)

// TableFault is a fault of the table service. LoseAnswers and DelayCommits are
// counted down, one of them for each transaction, DelayCommits first.
type TableFault struct {
	// Outage makes every call fail with status 503.
	Outage bool `json:"outage"`
	// DelayMillis delays every call.
	DelayMillis int64 `json:"delay-ms"`
	// LoseAnswers is the number of transactions that are committed without an answer.
	LoseAnswers int `json:"lose-answers"`
	// DelayCommits is the number of transactions that get no answer and commit only
	// after CommitDelayMillis, if their conditions hold then.
	DelayCommits      int   `json:"land-late"`
	CommitDelayMillis int64 `json:"late-ms"`
}

// EndpointFault is a fault of one endpoint. The zero value is no fault. While a
// member of a replica is dead or paused, the replica generates no tokens.
type EndpointFault struct {
	// Dead makes the endpoint close the connection of each request unanswered.
	Dead bool `json:"dead"`
	// Paused makes the endpoint accept requests and never answer them.
	Paused bool `json:"paused"`
	// Slowdown multiplies the time of an engine's steps; a value below 1 counts as 1.
	Slowdown float64 `json:"slowdown"`
	// ForeignChunks is the number of chunks at the start of each stream that follow
	// a chunk of another request.
	ForeignChunks int `json:"cross-chunks"`
	// SkipChunkAt is the number of the chunk that each stream omits, counted from 1;
	// 0 omits none.
	SkipChunkAt int `json:"skip-chunks"`
	// TruncateAfter is the number of chunks after which the connection of each
	// stream is closed; 0 closes none.
	TruncateAfter int `json:"truncate"`
	// LoseAnswers is the number of calls that a plain instance executes without
	// answering.
	LoseAnswers int `json:"lose-answers"`
	// PadBytes is the number of bytes added to a plain instance's receipt.
	PadBytes int `json:"pad-bytes"`
	// FirstTokenDelayMillis delays the first token of a stream.
	FirstTokenDelayMillis int64 `json:"late-ms"`
}

// FaultRequest is the body of POST /faults. Host addresses one host, Domain all
// hosts of a fabric domain. Draining gives them the state "leaving" in the host
// list. Restart starts a new incarnation of their engines in place of setting
// Endpoint.
type FaultRequest struct {
	Table    *TableFault    `json:"table,omitempty"`
	Host     string         `json:"host,omitempty"`
	Domain   string         `json:"domain,omitempty"`
	Restart  bool           `json:"restart,omitempty"`
	Draining bool           `json:"leaving,omitempty"`
	Endpoint *EndpointFault `json:"endpoint,omitempty"`
}

// tableFaults holds the current fault of the table service.
type tableFaults struct {
	mutex sync.Mutex
	fault TableFault
}

func (tablefaults *tableFaults) set(fault TableFault) {
	tablefaults.mutex.Lock()
	defer tablefaults.mutex.Unlock()
	tablefaults.fault = fault
}

func (tablefaults *tableFaults) delay() time.Duration {
	tablefaults.mutex.Lock()
	defer tablefaults.mutex.Unlock()
	return time.Duration(tablefaults.fault.DelayMillis) * time.Millisecond
}

func (tablefaults *tableFaults) outage() bool {
	tablefaults.mutex.Lock()
	defer tablefaults.mutex.Unlock()
	return tablefaults.fault.Outage
}

// commitOutcome is what happens to one transaction: whether the caller gets an
// answer, and the delay after which it takes effect. A delayed transaction gets no
// answer.
type commitOutcome struct {
	answered bool
	delay    time.Duration
}

// nextCommit returns the outcome of the next transaction and counts the fault down.
func (tablefaults *tableFaults) nextCommit() commitOutcome {
	tablefaults.mutex.Lock()
	defer tablefaults.mutex.Unlock()
	fault := &tablefaults.fault
	switch {
	case fault.DelayCommits > 0:
		fault.DelayCommits--
		return commitOutcome{delay: time.Duration(fault.CommitDelayMillis) * time.Millisecond}
	case fault.LoseAnswers > 0:
		fault.LoseAnswers--
		return commitOutcome{}
	default:
		return commitOutcome{answered: true}
	}
}
