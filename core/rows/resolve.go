package rows

import (
	"slices"
	"strconv"
)

// Resolution is the next step in resolving an unknown outcome: Resolved, Fence
// or Unresolvable.
type Resolution interface {
	resolution()
}

// Resolved means that the outcome of the transaction is known.
type Resolved struct {
	Outcome Outcome
}

// Fence asks for a write that increments the row's version, so that the
// unresolved transaction can no longer take effect.
type Fence struct {
	Txn Txn
}

// Unresolvable means that the outcome can't be determined: the transaction has
// no Put, or the row was deleted or no longer keeps the ids of all writes since.
type Unresolvable struct{}

func (Resolved) resolution()     {}
func (Fence) resolution()        {}
func (Unresolvable) resolution() {}

// Resolve decides the outcome of txn from a read of the row that its first Put
// writes. If a fence is needed, its write id is fenceID.
//
// A missing write id proves nothing while the row still has the version that
// txn expects: txn may still be in flight. So the version is incremented first,
// by a write of the same body. For example, a txn that expects version 4 was
// sent and no reply came. A read shows version 4 without the id of txn, so
// Resolve asks for a Fence. Either the fence commits (version 5, which txn does
// not expect), or it is rejected because txn or another writer committed first.
// The next read shows either the id of txn or a version that excludes it.
func Resolve(txn Txn, row Row, fenceID string) Resolution {
	put, found := FirstPut(txn)
	if !found {
		return Unresolvable{}
	}
	switch {
	case slices.Contains(row.WriteIDs, txn.WriteID):
		return Resolved{Outcome: Committed{}}
	case row.Version == put.Base:
		return Fence{Txn: Txn{WriteID: fenceID, Ops: []Op{fencePut(put, row)}}}
	case row.Version-put.Base > MaxWriteIDs || row.Version < put.Base:
		return Unresolvable{}
	default:
		return Resolved{Outcome: Rejected{Key: put.Key}}
	}
}

// FirstPut returns the first Put of a transaction. The outcome of the transaction
// is resolved by the row that this Put writes.
func FirstPut(txn Txn) (Put, bool) {
	for _, op := range txn.Ops {
		if put, ok := op.(Put); ok {
			return put, true
		}
	}
	return Put{}, false
}

func fencePut(put Put, row Row) Put {
	row.Key = put.Key
	return Replace(row, row.Body)
}

// FenceID returns the write id of the n-th fence for a transaction whose outcome
// is unknown.
func FenceID(writeID string, n int) string {
	return writeID + "-fence-" + strconv.Itoa(n)
}
