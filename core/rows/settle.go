package rows

import (
	"slices"
	"strconv"
)

// Resolution is the next move in settling an unknown outcome: Settled, Fence or Lost.
type Resolution interface {
	verdict()
}

// Resolved ends the settling with what became of the transaction.
type Resolved struct {
	Outcome Outcome
}

// Fence asks for a write that moves the row's version, after which the
// unsettled transaction can no longer take effect.
type Fence struct {
	Txn Txn
}

// Unresolvable says that the row has forgotten too many writes to tell.
type Unresolvable struct{}

func (Resolved) verdict()     {}
func (Fence) verdict()        {}
func (Unresolvable) verdict() {}

// Resolve tells what became of txn from a read of the row that its first Put
// touches.
//
// That the write id is not there proves nothing while the row still has the
// version that the transaction waits for: the write may be on its way. So the
// version is moved first, by a write of the same body. For example, a txn on
// version 4 was sent and no answer came. A read shows version 4 and no id of
// txn: Settle asks for a Fence. Either the Fence lands (version 5, and txn can
// no longer find 4) or it is refused (txn or another writer landed first). The
// read after that shows the id of txn or a version that shuts it out.
func Resolve(txn Txn, row Row, fence string) Resolution {
	put, found := FirstPut(txn)
	if !found {
		return Unresolvable{}
	}
	switch {
	case slices.Contains(row.Writes, txn.WriteID):
		return Resolved{Outcome: Committed{}}
	case row.Version == put.Base:
		return Fence{Txn: Txn{WriteID: fence, Ops: []Op{fenceOf(put, row)}}}
	case row.Version-put.Base > MaxWriteIDs || row.Version < put.Base:
		return Unresolvable{}
	default:
		return Resolved{Outcome: Refused{Key: put.Key}}
	}
}

// FirstPut finds the first Put of a transaction, by which it is settled.
func FirstPut(txn Txn) (Put, bool) {
	for _, op := range txn.Ops {
		if put, ok := op.(Put); ok {
			return put, true
		}
	}
	return Put{}, false
}

func fenceOf(put Put, row Row) Put {
	row.Key = put.Key
	return Replace(row, row.Body)
}

// FenceID derives the id of the n-th fence written to settle a transaction.
func FenceID(write string, n int) string {
	return write + "-fence-" + strconv.Itoa(n)
}
