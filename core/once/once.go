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

// State is the state of a call in the row of its key.
type State string

// The states.
const (
	StateClaimed State = "claimed"  // may be running
	StateRan     State = "ran"      // has run; its response is stored
	StateNotRun  State = "not-run"  // proven never to have started, so the key may be claimed again
	StateInDoubt State = "in-doubt" // may have run, and never runs again
)

// Header is one header of a stored response.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Response is an endpoint's complete response, stored for duplicate calls. If
// Chunks is not 0, the body is stored in that many rows of its own.
type Response struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers"`
	Body    []byte   `json:"body"`
	Chunks  int      `json:"parts,omitempty"`
}

// ChunkBytes is how much of a response's body one row holds. A row of the table
// service takes 400 KB, so a longer body is stored in rows of its own.
const ChunkBytes = 256 << 10

// ChunkKey returns the key of the row with the n-th chunk of a call's response.
// key is the key of the call's row, and claimID the id of the claim under which
// the call ran.
func ChunkKey(key rows.Key, claimID string, n int) rows.Key {
	return rows.Key{Partition: key.Partition, Sort: key.Sort + "#" + claimID + "#" + strconv.Itoa(n)}
}

// Entry is the body of a key's row. Payload is the PayloadHash of the call,
// Claimant the incarnation of the node that claimed the key, and ClaimID the
// write id of that claim.
type Entry struct {
	State    State    `json:"state"`
	Payload  string   `json:"payload"`
	Claimant string   `json:"claimant"`
	ClaimID  string   `json:"claim"`
	Response Response `json:"answer,omitzero"`
}

// Call identifies an at-most-once call. Key is the caller's idempotency key and
// Payload the PayloadHash of the call.
type Call struct {
	Team    string
	Service string
	Key     string
	Payload string
}

// RowKey returns the key of the row for the call's idempotency key. If two teams
// use the same idempotency key, each has a row of its own.
func (call Call) RowKey() rows.Key {
	sum := sha256.Sum256([]byte(call.Team + "\n" + call.Key))
	return rows.Key{Partition: "once/" + call.Service, Sort: hex.EncodeToString(sum[:])}
}

// PayloadHash returns a hash of what a caller requests, by which a key that is
// reused for another call is detected.
func PayloadHash(method, target string, body []byte) string {
	sum := sha256.New()
	sum.Write([]byte(method + " " + target + "\n"))
	sum.Write(body)
	return hex.EncodeToString(sum.Sum(nil))
}

// Decision is how to handle a call: Run, Replay, InProgress, Mismatch or InDoubt.
type Decision interface {
	decision()
}

// Run means that the call may run once Claim, the transaction that claims the key,
// is committed.
type Run struct {
	Claim rows.Txn
}

// Replay means that the call has run and its stored response is returned. The body
// of the response may be stored in chunks under ClaimID.
type Replay struct {
	Response Response
	ClaimID  string
}

// InProgress means that the call may be running at this moment.
type InProgress struct{}

// Mismatch means that the key was used for another payload.
type Mismatch struct{}

// InDoubt means that the call may have run. Only its endpoint can tell.
type InDoubt struct{}

func (Run) decision()        {}
func (Replay) decision()     {}
func (InProgress) decision() {}
func (Mismatch) decision()   {}
func (InDoubt) decision()    {}

// ErrBadEntry means that a key's row can't be decoded, so the call must not run.
var ErrBadEntry = errors.New("once: invalid row of an idempotency key")

// Decide decides how to handle a call, from the key's row; an absent row has
// version 0. A row without a body, which is what a fence writes for an absent row,
// counts as absent too. A claim is made in the name of this node's incarnation,
// self, with the given write id. alive reports whether the incarnation of a
// claimant may still finish its call.
func Decide(call Call, row rows.Row, self, writeID string, alive func(claimant string) bool) (Decision, error) {
	row.Key = call.RowKey()
	if len(row.Body) == 0 {
		return Run{Claim: claimTxn(call, row, self, writeID)}, nil
	}
	entry, err := decodeEntry(row)
	if err != nil {
		return nil, err
	}
	if entry.Payload != call.Payload {
		return Mismatch{}, nil
	}
	switch entry.State {
	case StateNotRun:
		return Run{Claim: claimTxn(call, row, self, writeID)}, nil
	case StateRan:
		return Replay{Response: entry.Response, ClaimID: entry.ClaimID}, nil
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

// Finish builds the transaction that records the outcome of a claimed call, based
// on the row as it was read. It returns false if the row does not hold this claim
// in state claimed: the outcome is recorded already, or there is none to record.
func Finish(row rows.Row, claimID string, writeID string, state State, response Response) (rows.Txn, bool) {
	entry, err := decodeEntry(row)
	if err != nil || entry.ClaimID != claimID || entry.State != StateClaimed {
		return rows.Txn{}, false
	}
	entry.State = state
	var chunks []rows.Op
	if len(response.Body) > ChunkBytes {
		response, chunks = splitBody(row.Key, claimID, response)
	}
	entry.Response = response
	return rows.Txn{WriteID: writeID, Ops: append([]rows.Op{rows.Replace(row, encodeEntry(entry))}, chunks...)}, true
}

// splitBody moves a long body into chunks with rows of their own.
func splitBody(key rows.Key, claimID string, response Response) (Response, []rows.Op) {
	var chunks []rows.Op
	for chunk := range slices.Chunk(response.Body, ChunkBytes) {
		chunks = append(chunks, rows.Put{Key: ChunkKey(key, claimID, len(chunks)), Body: chunk})
	}
	response.Body, response.Chunks = nil, len(chunks)
	return response, chunks
}

// ClaimedRow returns the key's row after a claim has taken effect.
func ClaimedRow(claim rows.Txn) rows.Row {
	return rows.Apply(claim.Ops[0].(rows.Put), claim.WriteID)
}

func claimTxn(call Call, row rows.Row, self, writeID string) rows.Txn {
	entry := Entry{State: StateClaimed, Payload: call.Payload, Claimant: self, ClaimID: writeID}
	return rows.Txn{WriteID: writeID, Ops: []rows.Op{rows.Replace(row, encodeEntry(entry))}}
}

func decodeEntry(row rows.Row) (Entry, error) {
	var entry Entry
	if err := json.Unmarshal(row.Body, &entry); err != nil {
		return Entry{}, errors.Mark(errors.Wrap(err, "once: decoding the row of an idempotency key"), ErrBadEntry)
	}
	return entry, nil
}

func encodeEntry(entry Entry) []byte {
	body, err := json.Marshal(entry)
	if err != nil {
		panic(errors.Wrap(err, "once: encoding the row of an idempotency key"))
	}
	return body
}
