package once

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"

	"hickorybend/core/rows"
)

// State is how far a call has come.
type State string

// The states: a claimed call may be running; not-run is proof that it never
// started, so it may be claimed again; in-doubt may have run and never runs again.
const (
	StateClaimed State = "claimed"
	StateRan     State = "ran"
	StateNotRun  State = "not-run"
	StateInDoubt State = "in-doubt"
)

// Header is one header of a stored answer.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Answer is an endpoint's whole answer, kept for duplicates.
type Answer struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers"`
	Body    []byte   `json:"body"`
	Parts   int      `json:"parts,omitempty"`
}

// PartBytes is how much of an answer's body one row holds; a row of the table
// service takes 400 KB, so a longer body is kept in rows of its own.
const PartBytes = 256 << 10

// PartKey names the row of the n-th part of the answer under a claim.
func PartKey(row rows.Key, claim string, n int) rows.Key {
	return rows.Key{Part: row.Part, Sort: row.Sort + "#" + claim + "#" + strconv.Itoa(n)}
}

// Entry is the body of a key's row.
type Entry struct {
	State    State  `json:"state"`
	Payload  string `json:"payload"`
	Claimant string `json:"claimant"`
	Claim    string `json:"claim"`
	Answer   Answer `json:"answer,omitzero"`
}

// Call identifies a call that may not be repeated.
type Call struct {
	Team    string
	Service string
	Key     string
	Payload string
}

// Row names the row of the call's key; teams never share keys.
func (call Call) Row() rows.Key {
	sum := sha256.Sum256([]byte(call.Team + "\n" + call.Key))
	return rows.Key{Part: "once/" + call.Service, Sort: hex.EncodeToString(sum[:])}
}

// PayloadHash identifies what a caller asked for under its key.
func PayloadHash(method, target string, body []byte) string {
	sum := sha256.New()
	sum.Write([]byte(method + " " + target + "\n"))
	sum.Write(body)
	return hex.EncodeToString(sum.Sum(nil))
}

// Decision is what to do with a call: Run, Replay, Busy, Mismatch or Doubt.
type Decision interface {
	decision()
}

// Run claims the key; the call may start only once the claim is Done.
type Run struct {
	Claim rows.Txn
}

// Replay gives the stored answer, whose body may be in parts under its claim;
// the call ran before.
type Replay struct {
	Answer Answer
	Claim  string
}

// Busy says that the call may be running at this moment.
type Busy struct{}

// Mismatch says that the key was used for another payload.
type Mismatch struct{}

// Doubt says that the call may have run and that nobody will know before its
// endpoint is asked.
type Doubt struct{}

func (Run) decision()      {}
func (Replay) decision()   {}
func (Busy) decision()     {}
func (Mismatch) decision() {}
func (Doubt) decision()    {}

// ErrEntry says that a key's row cannot be read, so the call must not run.
var ErrEntry = errors.New("once: the key's row is not readable")

// Judge decides from the key's row; an absent row has version 0. The claimant
// is alive if its incarnation is among those that still may finish a call.
func Judge(call Call, row rows.Row, self, write string, alive func(claimant string) bool) (Decision, error) {
	row.Key = call.Row()
	if len(row.Body) == 0 {
		return Run{Claim: claim(call, row, self, write)}, nil
	}
	entry, err := read(row)
	if err != nil {
		return nil, err
	}
	if entry.Payload != call.Payload {
		return Mismatch{}, nil
	}
	switch entry.State {
	case StateNotRun:
		return Run{Claim: claim(call, row, self, write)}, nil
	case StateRan:
		return Replay{Answer: entry.Answer, Claim: entry.Claim}, nil
	case StateClaimed:
		if alive(entry.Claimant) {
			return Busy{}, nil
		}
		return Doubt{}, nil
	case StateInDoubt:
		return Doubt{}, nil
	default:
		return nil, errors.Wrapf(ErrEntry, "state %q", entry.State)
	}
}

// Close makes the transaction that records how a claimed call ended, over the
// row as it was read; false says that the row no longer holds this claim, so
// the end is recorded already or was never owed.
func Close(row rows.Row, claim string, write string, state State, answer Answer) (rows.Txn, bool) {
	entry, err := read(row)
	if err != nil || entry.Claim != claim || entry.State != StateClaimed {
		return rows.Txn{}, false
	}
	entry.State = state
	var parts []rows.Step
	if len(answer.Body) > PartBytes {
		answer, parts = split(row.Key, claim, answer)
	}
	entry.Answer = answer
	return rows.Txn{Write: write, Steps: append([]rows.Step{rows.Over(row, encode(entry))}, parts...)}, true
}

// split moves a long body into rows of its own.
func split(key rows.Key, claim string, answer Answer) (Answer, []rows.Step) {
	var parts []rows.Step
	for part := range slices.Chunk(answer.Body, PartBytes) {
		parts = append(parts, rows.Put{Key: PartKey(key, claim, len(parts)), Body: part})
	}
	answer.Body, answer.Parts = nil, len(parts)
	return answer, parts
}

// Claimed gives the row that a claim leaves behind.
func Claimed(claim rows.Txn) rows.Row {
	return rows.Apply(claim.Steps[0].(rows.Put), claim.Write)
}

func claim(call Call, row rows.Row, self, write string) rows.Txn {
	entry := Entry{State: StateClaimed, Payload: call.Payload, Claimant: self, Claim: write}
	return rows.Txn{Write: write, Steps: []rows.Step{rows.Over(row, encode(entry))}}
}

func read(row rows.Row) (Entry, error) {
	var entry Entry
	if err := json.Unmarshal(row.Body, &entry); err != nil {
		return Entry{}, errors.Mark(errors.Wrap(err, "once: decoding a row"), ErrEntry)
	}
	return entry, nil
}

func encode(entry Entry) []byte {
	body, err := json.Marshal(entry)
	if err != nil {
		panic(errors.Wrap(err, "once: a plain struct did not encode"))
	}
	return body
}
