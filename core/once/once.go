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

// Response is an endpoint's whole answer, kept for duplicates.
type Response struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers"`
	Body    []byte   `json:"body"`
	Chunks  int      `json:"parts,omitempty"`
}

// ChunkBytes is how much of an answer's body one row holds; a row of the table
// service takes 400 KB, so a longer body is kept in rows of its own.
const ChunkBytes = 256 << 10

// ChunkKey names the row of the n-th part of the answer under a claim.
func ChunkKey(row rows.Key, claim string, n int) rows.Key {
	return rows.Key{Partition: row.Partition, Sort: row.Sort + "#" + claim + "#" + strconv.Itoa(n)}
}

// Entry is the body of a key's row.
type Entry struct {
	State    State    `json:"state"`
	Payload  string   `json:"payload"`
	Claimant string   `json:"claimant"`
	Claim    string   `json:"claim"`
	Response Response `json:"answer,omitzero"`
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
	return rows.Key{Partition: "once/" + call.Service, Sort: hex.EncodeToString(sum[:])}
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
	Response Response
	Claim    string
}

// InProgress says that the call may be running at this moment.
type InProgress struct{}

// Mismatch says that the key was used for another payload.
type Mismatch struct{}

// InDoubt says that the call may have run and that nobody will know before its
// endpoint is asked.
type InDoubt struct{}

func (Run) decision()        {}
func (Replay) decision()     {}
func (InProgress) decision() {}
func (Mismatch) decision()   {}
func (InDoubt) decision()    {}

// ErrBadEntry says that a key's row cannot be read, so the call must not run.
var ErrBadEntry = errors.New("once: the key's row is not readable")

// Decide decides from the key's row; an absent row has version 0. The claimant
// is alive if its incarnation is among those that still may finish a call.
func Decide(call Call, row rows.Row, self, write string, alive func(claimant string) bool) (Decision, error) {
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
		return Replay{Response: entry.Response, Claim: entry.Claim}, nil
	case StateClaimed:
		if alive(entry.Claimant) {
			return InProgress{}, nil
		}
		return InDoubt{}, nil
	case StateInDoubt:
		return InDoubt{}, nil
	default:
		return nil, errors.Wrapf(ErrBadEntry, "state %q", entry.State)
	}
}

// Finish makes the transaction that records how a claimed call ended, over the
// row as it was read; false says that the row no longer holds this claim, so
// the end is recorded already or was never owed.
func Finish(row rows.Row, claim string, write string, state State, response Response) (rows.Txn, bool) {
	entry, err := read(row)
	if err != nil || entry.Claim != claim || entry.State != StateClaimed {
		return rows.Txn{}, false
	}
	entry.State = state
	var parts []rows.Op
	if len(response.Body) > ChunkBytes {
		response, parts = split(row.Key, claim, response)
	}
	entry.Response = response
	return rows.Txn{WriteID: write, Ops: append([]rows.Op{rows.Replace(row, encode(entry))}, parts...)}, true
}

// split moves a long body into rows of its own.
func split(key rows.Key, claim string, response Response) (Response, []rows.Op) {
	var parts []rows.Op
	for part := range slices.Chunk(response.Body, ChunkBytes) {
		parts = append(parts, rows.Put{Key: ChunkKey(key, claim, len(parts)), Body: part})
	}
	response.Body, response.Chunks = nil, len(parts)
	return response, parts
}

// ClaimedRow gives the row that a claim leaves behind.
func ClaimedRow(claim rows.Txn) rows.Row {
	return rows.Apply(claim.Ops[0].(rows.Put), claim.WriteID)
}

func claim(call Call, row rows.Row, self, write string) rows.Txn {
	entry := Entry{State: StateClaimed, Payload: call.Payload, Claimant: self, Claim: write}
	return rows.Txn{WriteID: write, Ops: []rows.Op{rows.Replace(row, encode(entry))}}
}

func read(row rows.Row) (Entry, error) {
	var entry Entry
	if err := json.Unmarshal(row.Body, &entry); err != nil {
		return Entry{}, errors.Mark(errors.Wrap(err, "once: decoding a row"), ErrBadEntry)
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
