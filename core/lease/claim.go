package lease

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"hickorybend/core/rows"
)

// Partition is the partition of the lease rows and their fencing rows.
const Partition = "lease"

const fenceSuffix = ".fence"

// Record is the body of a lease's row.
type Record struct {
	Holder string `json:"holder"`
}

// Claim is one node's view of one lease.
//
// The row's version is the renewal counter. A taker waits until it has itself
// seen the same version for a whole term. A holder counts its term from before
// it sent the renewal, and stops a margin earlier, so it always stops first: if
// it sent at its 10 s and the row changed at some moment after that, any taker
// saw the change later still and waits the whole term from there.
type Claim struct {
	policy  Policy
	name    string
	self    string
	row     rows.Row
	fence   rows.Row
	record  Record
	seen    bool
	since   time.Time
	until   time.Time
	renewAt time.Time
	pending pending
}

type pending struct {
	write string
	sent  time.Time
}

// Action is what the claim wants from the store: Wait, Renew, Take or Yield.
type Action interface {
	action()
}

// Wait wants nothing now.
type Wait struct{}

// Renew wants the lease prolonged.
type Renew struct {
	Txn rows.Txn
}

// Acquire wants the lease that its holder let stand still for a term.
type Acquire struct {
	Txn rows.Txn
}

func (Wait) action()    {}
func (Renew) action()   {}
func (Acquire) action() {}

// NewClaim makes a claim of node self on the named lease.
func NewClaim(policy Policy, name, self string) *Claim {
	return &Claim{
		policy: policy, name: name, self: self,
		row:   rows.Row{Key: rows.Key{Partition: Partition, Sort: name}},
		fence: rows.Row{Key: FenceKey(name)},
	}
}

// FenceKey names the row whose version is the lease's fencing number.
func FenceKey(name string) rows.Key {
	return rows.Key{Partition: Partition, Sort: name + fenceSuffix}
}

// Observe takes in both rows as read; at is a moment not before the read began.
func (claim *Claim) Observe(row, fence rows.Row, at time.Time) error {
	var record Record
	if len(row.Body) > 0 {
		if err := json.Unmarshal(row.Body, &record); err != nil {
			return errors.Wrapf(err, "lease: row of %s", claim.name)
		}
	}
	if !claim.seen || row.Version != claim.row.Version {
		claim.since = at
	}
	claim.seen = true
	claim.row, claim.fence, claim.record = row, fence, record
	claim.settle()
	if record.Holder != claim.self {
		claim.until = time.Time{}
	}
	return nil
}

// settle finds a write whose answer was lost: if it landed, the term still
// counts from before it was sent.
func (claim *Claim) settle() {
	if claim.pending.write == "" || !slices.Contains(claim.row.Writes, claim.pending.write) {
		return
	}
	if claim.record.Holder == claim.self {
		claim.hold(claim.pending.sent)
	}
	claim.pending = pending{}
}

// Held gives the fencing number while the lease is held.
func (claim *Claim) Held(now time.Time) (int64, bool) {
	return claim.fence.Version, now.Before(claim.until)
}

// Deadline gives the fencing number and the deadline of a lease that is held.
func (claim *Claim) Deadline(now time.Time) (int64, time.Time, bool) {
	fence, held := claim.Held(now)
	return fence, claim.until, held
}

// Holder names the node that the lease's row names.
func (claim *Claim) Holder() string { return claim.record.Holder }

// Next gives the action due now; delay is how much longer than a term this
// node waits, so that takers do not all come at once.
func (claim *Claim) Next(now time.Time, delay time.Duration, write string) Action {
	if !claim.seen {
		return Wait{}
	}
	if now.Before(claim.until) {
		if now.Before(claim.renewAt) {
			return Wait{}
		}
		claim.pending = pending{write: write, sent: now}
		return Renew{Txn: claim.renewal(write)}
	}
	free := claim.record.Holder == ""
	if !free && now.Before(claim.since.Add(claim.policy.TTL+delay)) {
		return Wait{}
	}
	if free && now.Before(claim.since.Add(delay)) {
		return Wait{}
	}
	claim.pending = pending{write: write, sent: now}
	return Acquire{Txn: claim.takeover(write)}
}

// Resolve takes in the outcome of the action that Next gave.
func (claim *Claim) Resolve(action Action, outcome rows.Outcome, at time.Time) {
	switch outcome.(type) {
	case rows.Committed:
		claim.advance(action)
	case rows.Refused:
		claim.pending = pending{}
		claim.until = time.Time{}
		claim.since = at
	case rows.Unknown:
		claim.renewAt = at.Add(claim.policy.RenewEvery / 4)
	}
}

// advance takes in a write that took effect, unless a read has shown it before
// its answer came.
func (claim *Claim) advance(action Action) {
	if claim.pending.write == "" {
		return
	}
	switch typed := action.(type) {
	case Renew:
		claim.row = rows.Apply(typed.Txn.Ops[0].(rows.Put), typed.Txn.WriteID)
	case Acquire:
		claim.row = rows.Apply(typed.Txn.Ops[0].(rows.Put), typed.Txn.WriteID)
		claim.fence = rows.Apply(typed.Txn.Ops[1].(rows.Put), typed.Txn.WriteID)
		claim.record = Record{Holder: claim.self}
	}
	claim.since = claim.pending.sent
	claim.hold(claim.pending.sent)
	claim.pending = pending{}
}

// Invalidate stops holding the lease until it is taken or renewed again: the clock
// that its term is measured by has stood still.
func (claim *Claim) Invalidate() { claim.until = time.Time{} }

// Release gives the transaction that frees a held lease for the next node, and
// stops holding it at once.
func (claim *Claim) Release(now time.Time, write string) (rows.Txn, bool) {
	if !now.Before(claim.until) {
		return rows.Txn{}, false
	}
	claim.until = time.Time{}
	put := rows.Replace(claim.row, encode(Record{}))
	return rows.Txn{WriteID: write, Ops: []rows.Op{put, claim.fenceCheck()}}, true
}

func (claim *Claim) hold(sent time.Time) {
	claim.until = sent.Add(claim.policy.TTL - claim.policy.Margin)
	claim.renewAt = sent.Add(claim.policy.RenewEvery)
}

func (claim *Claim) renewal(write string) rows.Txn {
	put := rows.Replace(claim.row, encode(Record{Holder: claim.self}))
	return rows.Txn{WriteID: write, Ops: []rows.Op{put, claim.fenceCheck()}}
}

func (claim *Claim) takeover(write string) rows.Txn {
	body := encode(Record{Holder: claim.self})
	steps := []rows.Op{rows.Replace(claim.row, body), rows.Replace(claim.fence, body)}
	return rows.Txn{WriteID: write, Ops: steps}
}

func (claim *Claim) fenceCheck() rows.Check {
	return rows.Check{Key: claim.fence.Key, Base: claim.fence.Version}
}

func encode(record Record) []byte {
	body, err := json.Marshal(record)
	if err != nil {
		panic(errors.Wrap(err, "lease: a plain struct did not encode"))
	}
	return body
}
