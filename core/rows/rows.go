package rows

import (
	"context"
	"time"
)

// Key names a row by its partition and its sort key within the partition.
type Key struct {
	Partition string
	Sort      string
}

// Row is a stored row. Each write increments its version; version 0 means that
// there is no row. WriteIDs are the ids of its latest writes, newest last.
type Row struct {
	Key      Key
	Version  Version
	WriteIDs []string
	Body     []byte
}

// MaxWriteIDs is how many write ids a row keeps. An unknown outcome can't be
// resolved any more once the row has had more writes than that since.
const MaxWriteIDs = 6

// Op is one operation of a transaction: Put, Check or Delete.
type Op interface {
	key() Key
	base() Version
}

// Put writes a body if the row's version is still Base; Base 0 means that there
// must be no row. WriteIDs are the write ids that the row has at Base.
type Put struct {
	Key      Key
	Base     Version
	WriteIDs []string
	Body     []byte
}

// Check requires that the row's version is still Base; Base 0 means that there
// must be no row.
type Check struct {
	Key  Key
	Base Version
}

// Delete removes a row if its version is still Base.
type Delete struct {
	Key  Key
	Base Version
}

func (put Put) key() Key       { return put.Key }
func (check Check) key() Key   { return check.Key }
func (delete Delete) key() Key { return delete.Key }

func (put Put) base() Version       { return put.Base }
func (check Check) base() Version   { return check.Base }
func (delete Delete) base() Version { return delete.Base }

// BaseOf returns the version that an operation expects.
func BaseOf(op Op) Version { return op.base() }

// KeyOf returns the key of the row that an operation reads or writes.
func KeyOf(op Op) Key { return op.key() }

// Txn is a set of operations that take effect together or not at all.
type Txn struct {
	WriteID string
	Ops     []Op
}

// Outcome is the outcome of a transaction: Committed, Rejected or Unknown.
type Outcome interface {
	outcome()
}

// Committed means that the transaction took effect.
type Committed struct{}

// Rejected means that the transaction took no effect and never will, because a
// row did not have the expected version. Key is the key of that row, or empty if
// the store does not report it.
type Rejected struct {
	Key Key
}

// Unknown means that the store gave no outcome: the transaction may have taken
// effect, may still do so, or may never.
type Unknown struct {
	Cause error
}

func (Committed) outcome() {}
func (Rejected) outcome()  {}
func (Unknown) outcome()   {}

// Store is the part of the table service's interface that this system needs.
type Store interface {
	Commit(ctx context.Context, txn Txn) Outcome
	Get(ctx context.Context, key Key) (Row, error)
	List(ctx context.Context, partition string) ([]Row, error)
}

// Replace returns the Put that replaces the body of a row as it was read.
func Replace(row Row, body []byte) Put {
	return Put{Key: row.Key, Base: row.Version, WriteIDs: row.WriteIDs, Body: body}
}

// Apply returns the row after a Put with the given write id has taken effect.
func Apply(put Put, writeID string) Row {
	writeIDs := append(append([]string(nil), put.WriteIDs...), writeID)
	if len(writeIDs) > MaxWriteIDs {
		writeIDs = writeIDs[len(writeIDs)-MaxWriteIDs:]
	}
	return Row{Key: put.Key, Version: put.Base + 1, WriteIDs: writeIDs, Body: put.Body}
}

// CommitTimeout bounds one commit, one read of a row or one page of a list by
// package table's client; without a reply to a commit by then the outcome is
// Unknown. The store's client in package platform has timeouts of its own.
const CommitTimeout = 2 * time.Second
