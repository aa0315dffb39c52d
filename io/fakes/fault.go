package fakes

import (
	"sync"
	"time"
)

// TableFault is a fault of the table service. LoseAnswers and DelayCommits count
// down with each transaction.
type TableFault struct {
	// Outage answers every call with status 503.
	Outage bool `json:"outage"`
	// DelayMillis delays every call.
	DelayMillis int64 `json:"delay-ms"`
	// LoseAnswers is how many transactions commit without an answer.
	LoseAnswers int `json:"lose-answers"`
	// DelayCommits is how many transactions get no answer and commit only after
	// CommitDelayMillis, if their conditions hold then.
	DelayCommits      int   `json:"land-late"`
	CommitDelayMillis int64 `json:"late-ms"`
}

// EndpointFault is a fault of one endpoint. The zero value is no fault.
type EndpointFault struct {
	// Dead closes every connection without an answer.
	Dead bool `json:"dead"`
	// Paused accepts requests and never answers them.
	Paused bool `json:"paused"`
	// Slowdown is a factor on the time of an engine's steps; below 1 it is ignored.
	Slowdown float64 `json:"slowdown"`
	// ForeignChunks is how many chunks are preceded by a chunk of another request.
	ForeignChunks int `json:"cross-chunks"`
	// SkipChunkAt leaves out one chunk of a stream, counted from 1.
	SkipChunkAt int `json:"skip-chunks"`
	// TruncateAfter closes the connection of a stream after this many chunks.
	TruncateAfter int `json:"truncate"`
	// LoseAnswers is how many calls a plain instance runs without answering.
	LoseAnswers int `json:"lose-answers"`
	// PadBytes adds this many bytes to a plain instance's receipt.
	PadBytes int `json:"pad-bytes"`
	// FirstTokenDelayMillis delays the first token of a stream.
	FirstTokenDelayMillis int64 `json:"late-ms"`
}

// FaultCommand is the body of POST /faults. It addresses one host or all hosts of
// a domain. Draining marks them as leaving in the host list; Restart starts a new
// incarnation of an engine.
type FaultCommand struct {
	Table    *TableFault    `json:"table,omitempty"`
	Host     string         `json:"host,omitempty"`
	Domain   string         `json:"domain,omitempty"`
	Restart  bool           `json:"restart,omitempty"`
	Draining bool           `json:"leaving,omitempty"`
	Endpoint *EndpointFault `json:"endpoint,omitempty"`
}

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

// nextCommit returns the outcome of the next transaction and counts it off the fault.
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
