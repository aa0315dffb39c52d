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
	Holder string `json:"holder"` // name of the node; empty while the lease is free
}

// Claim is one node's view of one lease.
//
// The version of the lease's row counts the renewals. A node acquires a lease that
// was not released only after it has itself observed the same version for a
// complete TTL. The holder counts the TTL from before it sent the renewal, and
// stops a margin earlier, so it always stops first.
//
// For example, with a TTL of 6 s and a margin of 0.5 s, a holder that sends a
// renewal at 10 s stops at 15.5 s. The row changes at 10 s or later. Any other
// node observes the change later still and waits 6 s from there, so it acquires
// the lease at 16 s at the earliest.
//
// If the store comes back from an older copy, the rows may be those of an earlier
// holder, and the fencing number may have been given out again. So the lease is not
// held in the new era until it has been acquired there. The holder acquires it at
// once; any other node waits a complete TTL from its first look at the new era, even
// if the row says that the lease is free. The holder's TTL began before the store
// came back, so it has ended by then.
type Claim struct {
	policy         Policy
	name           string
	self           string
	row            rows.Row
	fencingRow     rows.Row
	record         Record
	observed       bool      // row and fencingRow have been read
	unchangedSince time.Time // time since which row has its version, as far as this node knows
	heldUntil      time.Time // zero or past while this node does not hold the lease
	priorUntil     time.Time // time until which no other node can acquire the lease, which this one held in the store's previous era
	mayHaveHolder  bool      // the row has not been written in this era, so there may be a holder that it does not name
	renewAt        time.Time
	pending        pending
}

// pending is a write that was sent and whose outcome is not known yet.
type pending struct {
	writeID string
	sentAt  time.Time
}

// Action is what the node has to do next for the claim: Wait, Renew or Acquire.
type Action interface {
	action()
}

// Wait means that nothing is due now.
type Wait struct{}

// Renew extends a lease that this node holds.
type Renew struct {
	Txn rows.Txn
}

// Acquire takes a lease that is free, or that its holder has not renewed for a TTL.
type Acquire struct {
	Txn rows.Txn
}

func (Wait) action()    {}
func (Renew) action()   {}
func (Acquire) action() {}

// NewClaim returns a claim of the node self on the named lease.
func NewClaim(policy Policy, name, self string) *Claim {
	return &Claim{
		policy: policy, name: name, self: self,
		row:        rows.Row{Key: rows.Key{Partition: Partition, Sort: name}},
		fencingRow: rows.Row{Key: FencingRowKey(name)},
	}
}

// FencingRowKey returns the key of the row whose version is the lease's fencing
// number.
func FencingRowKey(name string) rows.Key {
	return rows.Key{Partition: Partition, Sort: name + fenceSuffix}
}

// Observe updates the claim from the lease's row and its fencing row, as read.
// The time at must not be before the read ended: this node waits a TTL from
// there before it acquires the lease, and the holder may have renewed it while
// the read ran.
func (claim *Claim) Observe(row, fencingRow rows.Row, at time.Time) error {
	var record Record
	if len(row.Body) > 0 {
		if err := json.Unmarshal(row.Body, &record); err != nil {
			return errors.Wrapf(err, "lease: decode the row of lease %s", claim.name)
		}
	}
	switch {
	case row.Version.Era() < claim.row.Version.Era():
		return nil // a slow answer of an earlier era
	case row.Version.Era() > claim.row.Version.Era():
		claim.beginEra(at)
	case !claim.observed || row.Version != claim.row.Version:
		claim.unchangedSince, claim.mayHaveHolder = at, false
	}
	claim.observed = true
	claim.row, claim.fencingRow, claim.record = row, fencingRow, record
	claim.resolvePending()
	if record.Holder != claim.self {
		claim.heldUntil = time.Time{}
	}
	return nil
}

// beginEra prepares the claim for the first rows of an era. A pending write is
// forgotten: it was conditional on versions that the store gives out again.
func (claim *Claim) beginEra(at time.Time) {
	claim.priorUntil, claim.heldUntil = claim.heldUntil, time.Time{}
	claim.unchangedSince, claim.mayHaveHolder = at, true
	claim.pending = pending{}
}

// resolvePending checks whether the pending write took effect, in case its reply
// was lost. If it did, the TTL counts from before the write was sent.
func (claim *Claim) resolvePending() {
	if claim.pending.writeID == "" || !slices.Contains(claim.row.WriteIDs, claim.pending.writeID) {
		return
	}
	if claim.record.Holder == claim.self {
		claim.extend(claim.pending.sentAt)
	}
	claim.pending = pending{}
}

// Held returns the latest fencing number that this node knows, and whether this
// node holds the lease.
func (claim *Claim) Held(now time.Time) (int64, bool) {
	return FencingNumber(claim.fencingRow), now.Before(claim.heldUntil)
}

// Deadline returns the latest fencing number that this node knows, the time
// until which it holds the lease, and whether it holds the lease now.
func (claim *Claim) Deadline(now time.Time) (int64, time.Time, bool) {
	fencingNumber, held := claim.Held(now)
	return fencingNumber, claim.heldUntil, held
}

// Holder returns the holder that the lease's row names, or "" if the lease is
// free.
func (claim *Claim) Holder() string { return claim.record.Holder }

// Next returns the action that is due now. This node acquires the lease if it
// has observed no change of the lease's row for the TTL and the delay, or only
// for the delay if the lease is free. The delay keeps the nodes from all trying
// at once. writeID becomes the ID of the action's transaction.
func (claim *Claim) Next(now time.Time, delay time.Duration, writeID string) Action {
	if !claim.observed {
		return Wait{}
	}
	if now.Before(claim.heldUntil) {
		if now.Before(claim.renewAt) {
			return Wait{}
		}
		claim.pending = pending{writeID: writeID, sentAt: now}
		return Renew{Txn: claim.renewTxn(writeID)}
	}
	if now.Before(claim.priorUntil) {
		claim.pending = pending{writeID: writeID, sentAt: now}
		return Acquire{Txn: claim.acquireTxn(writeID)}
	}
	free := claim.record.Holder == "" && !claim.mayHaveHolder
	if !free && now.Before(claim.unchangedSince.Add(claim.policy.TTL+delay)) {
		return Wait{}
	}
	if free && now.Before(claim.unchangedSince.Add(delay)) {
		return Wait{}
	}
	claim.pending = pending{writeID: writeID, sentAt: now}
	return Acquire{Txn: claim.acquireTxn(writeID)}
}

// Resolve applies the outcome of the action that Next returned; unlike
// rows.Resolve it does not determine the outcome. A rejected action means that
// the rows have changed since they were read, so the lease counts as not held,
// and the wait to acquire it starts again. After an unknown outcome a renewal is
// due again soon, unless a read shows that it took effect.
func (claim *Claim) Resolve(action Action, outcome rows.Outcome, at time.Time) {
	switch outcome.(type) {
	case rows.Committed:
		claim.applyCommitted(action)
	case rows.Rejected:
		claim.pending = pending{}
		claim.heldUntil, claim.priorUntil = time.Time{}, time.Time{}
		claim.unchangedSince = at
	case rows.Unknown:
		claim.renewAt = at.Add(claim.policy.RenewEvery / 4)
	}
}

// applyCommitted updates the claim from a write that took effect. It does nothing
// if a read showed the write before its reply came.
func (claim *Claim) applyCommitted(action Action) {
	if claim.pending.writeID == "" {
		return
	}
	switch typed := action.(type) {
	case Renew:
		claim.row = rows.Apply(typed.Txn.Ops[0].(rows.Put), typed.Txn.WriteID)
	case Acquire:
		claim.row = rows.Apply(typed.Txn.Ops[0].(rows.Put), typed.Txn.WriteID)
		claim.fencingRow = rows.Apply(typed.Txn.Ops[1].(rows.Put), typed.Txn.WriteID)
		claim.record = Record{Holder: claim.self}
	}
	claim.unchangedSince, claim.mayHaveHolder = claim.pending.sentAt, false
	claim.extend(claim.pending.sentAt)
	claim.pending = pending{}
}

// Invalidate stops holding the lease until it is acquired again. A pending renewal
// does not extend it any more. The caller uses it when the clock that measures the TTL
// was stopped, as it is while the host is suspended.
func (claim *Claim) Invalidate() {
	claim.heldUntil, claim.priorUntil, claim.pending = time.Time{}, time.Time{}, pending{}
}

// Release stops holding the lease at once, and returns the transaction that
// frees it for another node and whether the lease was held.
func (claim *Claim) Release(now time.Time, writeID string) (rows.Txn, bool) {
	if !now.Before(claim.heldUntil) {
		return rows.Txn{}, false
	}
	claim.heldUntil = time.Time{}
	put := rows.Replace(claim.row, encode(Record{}))
	return rows.Txn{WriteID: writeID, Ops: []rows.Op{put, claim.fenceCheck()}}, true
}

// extend holds the lease for a TTL, less the margin, from sentAt, and schedules
// the next renewal.
func (claim *Claim) extend(sentAt time.Time) {
	claim.heldUntil, claim.priorUntil = sentAt.Add(claim.policy.TTL-claim.policy.Margin), time.Time{}
	claim.renewAt = sentAt.Add(claim.policy.RenewEvery)
}

func (claim *Claim) renewTxn(writeID string) rows.Txn {
	put := rows.Replace(claim.row, encode(Record{Holder: claim.self}))
	return rows.Txn{WriteID: writeID, Ops: []rows.Op{put, claim.fenceCheck()}}
}

// acquireTxn also replaces the fencing row, which increments the fencing number.
func (claim *Claim) acquireTxn(writeID string) rows.Txn {
	body := encode(Record{Holder: claim.self})
	ops := []rows.Op{rows.Replace(claim.row, body), rows.Replace(claim.fencingRow, body)}
	return rows.Txn{WriteID: writeID, Ops: ops}
}

func (claim *Claim) fenceCheck() rows.Check {
	return rows.Check{Key: claim.fencingRow.Key, Base: claim.fencingRow.Version}
}

func encode(record Record) []byte {
	body, err := json.Marshal(record)
	if err != nil {
		panic(errors.Wrap(err, "lease: encode a record"))
	}
	return body
}
