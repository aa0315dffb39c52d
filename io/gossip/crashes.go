package gossip

import (
	"slices"
	"time"
)

// Crashes is what a node knows of crashes of endpoints and of the inputs
// that cause them; see package crash. Ages and delays are in nanoseconds; the times
// beside them are of the node's own clock.
type Crashes struct {
	Reports     []CrashReport `cbor:"1,keyasint,omitempty"` // crashes that the node saw
	LateReports []CrashReport `cbor:"4,keyasint,omitempty"` // those that came late in an answer or after it; older builds, which would overrate them, do not read them
	Answers     []InputAnswer `cbor:"2,keyasint,omitempty"` // the node's answers to requests with the suspected inputs
	Blocks      []InputBlock  `cbor:"3,keyasint,omitempty"` // all that the node knows of
}

// CrashReport says that an input was in a request that an endpoint was to answer, was answering,
// or had just answered when it crashed.
type CrashReport struct {
	Service   string    `cbor:"1,keyasint"`
	Input     string    `cbor:"2,keyasint"`
	Position  int       `cbor:"3,keyasint,omitempty"` // of the part in the prompt
	Endpoint  string    `cbor:"4,keyasint"`
	StartedAt int64     `cbor:"5,keyasint"` // Unix milliseconds; of the incarnation that crashed
	Age       int64     `cbor:"6,keyasint"`
	AnswerAge int64     `cbor:"7,keyasint,omitempty"` // since the answer began; 0 if it had not
	Ended     bool      `cbor:"8,keyasint,omitempty"` // the answer had ended
	At        time.Time `cbor:"-"`
	BegunAt   time.Time `cbor:"-"` // when the answer began; zero if it had not
}

// InputAnswer says when an endpoint last answered a request with an input through a node,
// and how many it has answered and outlived.
type InputAnswer struct {
	Service string    `cbor:"1,keyasint"`
	Input   string    `cbor:"2,keyasint"`
	Age     int64     `cbor:"3,keyasint"`
	Node    string    `cbor:"4,keyasint,omitempty"` // empty if it is of an older build, which does not count
	Count   int       `cbor:"5,keyasint,omitempty"`
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
	Passed         int       `cbor:"9,keyasint,omitempty"`  // trials since the last failed one
	Ordered        bool      `cbor:"10,keyasint,omitempty"` // an operator has lifted it
	Since          time.Time `cbor:"-"`
	NextTrial      time.Time `cbor:"-"`
}

// BlockStatus is a block with the crashes that a node knows its input was near at.
type BlockStatus struct {
	Block    InputBlock    `cbor:"1,keyasint"`
	Evidence []CrashReport `cbor:"2,keyasint,omitempty"`
	Uses     int           `cbor:"3,keyasint,omitempty"` // requests that were answered since the first crash, and that their endpoints have outlived
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
	return len(crashes.Reports) == 0 && len(crashes.LateReports) == 0 && len(crashes.Answers) == 0 && len(crashes.Blocks) == 0
}

// withAges returns a copy with the ages and delays as of now.
func (crashes Crashes) withAges(now time.Time) Crashes {
	if crashes.empty() {
		return crashes
	}
	crashes = crashes.copy()
	for _, reports := range [][]CrashReport{crashes.Reports, crashes.LateReports} {
		for i := range reports {
			reports[i].Age = int64(now.Sub(reports[i].At))
			if !reports[i].BegunAt.IsZero() {
				reports[i].AnswerAge = int64(now.Sub(reports[i].BegunAt))
			}
		}
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
	for _, reports := range [][]CrashReport{crashes.Reports, crashes.LateReports} {
		for i := range reports {
			reports[i].At = now.Add(-time.Duration(reports[i].Age))
			if reports[i].AnswerAge > 0 {
				reports[i].BegunAt = now.Add(-time.Duration(reports[i].AnswerAge))
			}
		}
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
	return Crashes{
		Reports: slices.Clone(crashes.Reports), LateReports: slices.Clone(crashes.LateReports),
		Answers: slices.Clone(crashes.Answers), Blocks: slices.Clone(crashes.Blocks),
	}
}

// add adds what another node has seen. Blocks are not added: each node sends all that
// it knows of.
func (crashes *Crashes) add(other Crashes) {
	crashes.Reports = appendReports(crashes.Reports, other.Reports)
	crashes.LateReports = appendReports(crashes.LateReports, other.LateReports)
	crashes.Answers = append(crashes.Answers, other.Answers[:min(len(other.Answers), max(0, maxSummedReports-len(crashes.Answers)))]...)
}

func appendReports(reports, others []CrashReport) []CrashReport {
	return append(reports, others[:min(len(others), max(0, maxSummedReports-len(reports)))]...)
}
