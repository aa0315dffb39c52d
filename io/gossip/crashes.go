package gossip

import (
	"slices"
	"time"
)

// Crashes is what a node knows of crashes of endpoints and of the inputs
// that cause them; see package crash. Ages and delays are in nanoseconds; the times
// beside them are of the node's own clock.
type Crashes struct {
	Reports []CrashReport `cbor:"1,keyasint,omitempty"` // crashes that the node saw
	Answers []InputAnswer `cbor:"2,keyasint,omitempty"` // the node's last answers to requests with the suspected inputs
	Blocks  []InputBlock  `cbor:"3,keyasint,omitempty"` // all that the node knows of
}

// CrashReport says that an input was in a request that an endpoint was about to answer
// when it crashed.
type CrashReport struct {
	Service   string    `cbor:"1,keyasint"`
	Input     string    `cbor:"2,keyasint"`
	Position  int       `cbor:"3,keyasint,omitempty"` // of the part in the prompt
	Endpoint  string    `cbor:"4,keyasint"`
	StartedAt int64     `cbor:"5,keyasint"` // Unix milliseconds; of the incarnation that crashed
	Age       int64     `cbor:"6,keyasint"`
	At        time.Time `cbor:"-"`
}

// InputAnswer says when an endpoint last answered a request with an input.
type InputAnswer struct {
	Service string    `cbor:"1,keyasint"`
	Input   string    `cbor:"2,keyasint"`
	Age     int64     `cbor:"3,keyasint"`
	At      time.Time `cbor:"-"`
}

// InputBlock says that requests with an input are rejected, or were.
type InputBlock struct {
	Service        string    `cbor:"1,keyasint"`
	Input          string    `cbor:"2,keyasint"`
	Round          int       `cbor:"3,keyasint"`
	Lifted         bool      `cbor:"4,keyasint,omitempty"`
	Crashes        int       `cbor:"5,keyasint,omitempty"`
	Trials         int       `cbor:"6,keyasint,omitempty"`
	Age            int64     `cbor:"7,keyasint"` // of this round
	NextTrialDelay int64     `cbor:"8,keyasint"`
	Since          time.Time `cbor:"-"`
	NextTrial      time.Time `cbor:"-"`
}

// BlockStatus is a block with the crashes that a node knows its input was near at.
type BlockStatus struct {
	Block    InputBlock    `cbor:"1,keyasint"`
	Evidence []CrashReport `cbor:"2,keyasint,omitempty"`
}

// BlockStatusList is what a node knows of the inputs that are blocked.
type BlockStatusList struct {
	Blocks []BlockStatus `cbor:"1,keyasint,omitempty"`
}

// LiftRequest orders a node to lift the blocks of the inputs with an ID.
type LiftRequest struct {
	Input string `cbor:"1,keyasint"`
}

// LiftReply says whether there were such blocks.
type LiftReply struct {
	Lifted bool `cbor:"1,keyasint,omitempty"`
}

// maxSummedReports limits the reports and the answers in a leader's sum.
const maxSummedReports = 256

// empty reports whether there is nothing to send.
func (crashes Crashes) empty() bool {
	return len(crashes.Reports) == 0 && len(crashes.Answers) == 0 && len(crashes.Blocks) == 0
}

// withAges returns a copy with the ages and delays as of now.
func (crashes Crashes) withAges(now time.Time) Crashes {
	if crashes.empty() {
		return crashes
	}
	crashes = crashes.copy()
	for i := range crashes.Reports {
		crashes.Reports[i].Age = int64(now.Sub(crashes.Reports[i].At))
	}
	for i := range crashes.Answers {
		crashes.Answers[i].Age = int64(now.Sub(crashes.Answers[i].At))
	}
	for i := range crashes.Blocks {
		crashes.Blocks[i].Age = int64(now.Sub(crashes.Blocks[i].Since))
		crashes.Blocks[i].NextTrialDelay = int64(crashes.Blocks[i].NextTrial.Sub(now))
	}
	return crashes
}

// ReceivedAt returns a copy with the times of a digest that was received now.
func (crashes Crashes) ReceivedAt(now time.Time) Crashes {
	if crashes.empty() {
		return crashes
	}
	crashes = crashes.copy()
	for i := range crashes.Reports {
		crashes.Reports[i].At = now.Add(-time.Duration(crashes.Reports[i].Age))
	}
	for i := range crashes.Answers {
		crashes.Answers[i].At = now.Add(-time.Duration(crashes.Answers[i].Age))
	}
	for i := range crashes.Blocks {
		crashes.Blocks[i].Since = now.Add(-time.Duration(crashes.Blocks[i].Age))
		crashes.Blocks[i].NextTrial = now.Add(time.Duration(crashes.Blocks[i].NextTrialDelay))
	}
	return crashes
}

func (crashes Crashes) copy() Crashes {
	return Crashes{Reports: slices.Clone(crashes.Reports), Answers: slices.Clone(crashes.Answers), Blocks: slices.Clone(crashes.Blocks)}
}

// add adds what another node has seen. Blocks are not added: each node sends all that
// it knows of.
func (crashes *Crashes) add(other Crashes) {
	crashes.Reports = append(crashes.Reports, other.Reports[:min(len(other.Reports), max(0, maxSummedReports-len(crashes.Reports)))]...)
	crashes.Answers = append(crashes.Answers, other.Answers[:min(len(other.Answers), max(0, maxSummedReports-len(crashes.Answers)))]...)
}
