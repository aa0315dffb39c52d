package rows

import (
	"context"
	"time"
)

// Key names a row by its partition and its place inside it.
type Key struct {
	Partition string
	Sort      string
}

// Row is a stored row; Writes are the ids of its latest writes, newest last.
type Row struct {
	Key     Key
	Version int64
	Writes  []string
	Body    []byte
}

// MaxWriteIDs is how many write ids a row remembers.
const MaxWriteIDs = 6

// Op is one part of a transaction: Put, Check or Erase.
type Op interface {
	step() Key
}

// Put writes a body if the row's version is still Base; Base 0 means no row.
type Put struct {
	Key    Key
	Base   int64
	Writes []string
	Body   []byte
}

// Check requires that the row's version is still Base; Base 0 means no row.
type Check struct {
	Key  Key
	Base int64
}

// Delete removes a row whose version is still Base.
type Delete struct {
	Key  Key
	Base int64
}

func (put Put) step() Key       { return put.Key }
func (check Check) step() Key   { return check.Key }
func (delete Delete) step() Key { return delete.Key }

// KeyOf gives the row that a step touches.
func KeyOf(op Op) Key { return op.step() }

// Txn is a set of steps that take effect together or not at all.
type Txn struct {
	WriteID string
	Ops     []Op
}

// Outcome is what became of a transaction: Done, Refused or Unknown.
type Outcome interface {
	outcome()
}

// Committed says that the transaction took effect.
type Committed struct{}

// Refused says that the transaction took no effect and never will.
type Refused struct {
	Key Key
}

// Unknown says that the transaction may have, may yet, or may never take effect.
type Unknown struct {
	Cause error
}

func (Committed) outcome() {}
func (Refused) outcome()   {}
func (Unknown) outcome()   {}

// Store is the table service as this system needs it.
type Store interface {
	Commit(ctx context.Context, txn Txn) Outcome
	Get(ctx context.Context, key Key) (Row, error)
	List(ctx context.Context, part string) ([]Row, error)
}

// Replace makes the Put that replaces the row with a new body.
func Replace(row Row, body []byte) Put {
	return Put{Key: row.Key, Base: row.Version, Writes: row.Writes, Body: body}
}

// Apply gives the row that a Put leaves behind when it takes effect.
func Apply(put Put, write string) Row {
	writes := append(append([]string(nil), put.Writes...), write)
	if len(writes) > MaxWriteIDs {
		writes = writes[len(writes)-MaxWriteIDs:]
	}
	return Row{Key: put.Key, Version: put.Base + 1, Writes: writes, Body: put.Body}
}

// CommitTimeout bounds one attempt to commit, so that a silent store becomes Unknown.
const CommitTimeout = 2 * time.Second
