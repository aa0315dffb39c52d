package fakes

import (
	"sync"
	"time"
)

// TableFault is what is wrong with the table service.
type TableFault struct {
	Outage            bool  `json:"outage"`
	DelayMillis       int64 `json:"delay-ms"`
	LoseAnswers       int   `json:"lose-answers"`
	DelayCommits      int   `json:"land-late"`
	CommitDelayMillis int64 `json:"late-ms"`
}

// EndpointFault is what is wrong with one endpoint.
type EndpointFault struct {
	Dead                  bool    `json:"dead"`
	Paused                bool    `json:"paused"`
	Slowdown              float64 `json:"slowdown"`
	ForeignChunks         int     `json:"cross-chunks"`
	SkipChunkAt           int     `json:"skip-chunks"`
	TruncateAfter         int     `json:"truncate"`
	LoseAnswers           int     `json:"lose-answers"`
	PadBytes              int     `json:"pad-bytes"`
	FirstTokenDelayMillis int64   `json:"late-ms"`
}

// FaultCommand sets faults by HTTP; Restart gives the endpoint a new incarnation.
type FaultCommand struct {
	Table    *TableFault    `json:"table,omitempty"`
	Host     string         `json:"host,omitempty"`
	Domain   string         `json:"domain,omitempty"`
	Restart  bool           `json:"restart,omitempty"`
	Leaving  bool           `json:"leaving,omitempty"`
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

// commitFate says what happens to one commit: whether it is answered, and
// after what delay it lands.
type commitFate struct {
	answered bool
	late     time.Duration
}

func (tablefaults *tableFaults) fate() commitFate {
	tablefaults.mutex.Lock()
	defer tablefaults.mutex.Unlock()
	fault := &tablefaults.fault
	switch {
	case fault.DelayCommits > 0:
		fault.DelayCommits--
		return commitFate{late: time.Duration(fault.CommitDelayMillis) * time.Millisecond}
	case fault.LoseAnswers > 0:
		fault.LoseAnswers--
		return commitFate{}
	default:
		return commitFate{answered: true}
	}
}
