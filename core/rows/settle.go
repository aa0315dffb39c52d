package rows

import (
	"slices"
	"strconv"
)

// Verdict is the next move in settling an unknown outcome: Settled, Fence or Lost.
type Verdict interface {
	verdict()
}

// Settled ends the settling with what became of the transaction.
type Settled struct {
	Outcome Outcome
}

// Fence asks for a write that moves the row's version, after which the
// unsettled transaction can no longer take effect.
type Fence struct {
	Txn Txn
}

// Lost says that the row has forgotten too many writes to tell.
type Lost struct{}

func (Settled) verdict() {}
func (Fence) verdict()   {}
func (Lost) verdict()    {}

// Settle tells what became of txn from a read of the row that its first Put
// touches.
//
// That the write id is not there proves nothing while the row still has the
// version that the transaction waits for: the write may be on its way. So the
// version is moved first, by a write of the same body. For example, a txn on
// version 4 was sent and no answer came. A read shows version 4 and no id of
// txn: Settle asks for a Fence. Either the Fence lands (version 5, and txn can
// no longer find 4) or it is refused (txn or another writer landed first). The
// read after that shows the id of txn or a version that shuts it out.
func Settle(txn Txn, row Row, fence string) Verdict {
	put, found := FirstPut(txn)
	if !found {
		return Lost{}
	}
	switch {
	case slices.Contains(row.Writes, txn.Write):
		return Settled{Outcome: Done{}}
	case row.Version == put.Base:
		return Fence{Txn: Txn{Write: fence, Steps: []Step{fenceOf(put, row)}}}
	case row.Version-put.Base > KeptWrites || row.Version < put.Base:
		return Lost{}
	default:
		return Settled{Outcome: Refused{Key: put.Key}}
	}
}

// FirstPut finds the first Put of a transaction, by which it is settled.
func FirstPut(txn Txn) (Put, bool) {
	for _, step := range txn.Steps {
		if put, ok := step.(Put); ok {
			return put, true
		}
	}
	return Put{}, false
}

func fenceOf(put Put, row Row) Put {
	row.Key = put.Key
	return Over(row, row.Body)
}

// FenceID derives the id of the n-th fence written to settle a transaction.
func FenceID(write string, n int) string {
	return write + "-fence-" + strconv.Itoa(n)
}
