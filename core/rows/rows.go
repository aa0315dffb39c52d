package rows

import (
	"context"
	"time"
)

// Key names a row by its partition and its place inside it.
type Key struct {
	Part string
	Sort string
}

// Row is a stored row; Writes are the ids of its latest writes, newest last.
type Row struct {
	Key     Key
	Version int64
	Writes  []string
	Body    []byte
}

// KeptWrites is how many write ids a row remembers.
const KeptWrites = 6

// Step is one part of a transaction: Put, Check or Erase.
type Step interface {
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

// Erase removes a row whose version is still Base.
type Erase struct {
	Key  Key
	Base int64
}

func (put Put) step() Key     { return put.Key }
func (check Check) step() Key { return check.Key }
func (erase Erase) step() Key { return erase.Key }

// KeyOf gives the row that a step touches.
func KeyOf(step Step) Key { return step.step() }

// Txn is a set of steps that take effect together or not at all.
type Txn struct {
	Write string
	Steps []Step
}

// Outcome is what became of a transaction: Done, Refused or Unknown.
type Outcome interface {
	outcome()
}

// Done says that the transaction took effect.
type Done struct{}

// Refused says that the transaction took no effect and never will.
type Refused struct {
	Key Key
}

// Unknown says that the transaction may have, may yet, or may never take effect.
type Unknown struct {
	Cause error
}

func (Done) outcome()    {}
func (Refused) outcome() {}
func (Unknown) outcome() {}

// Store is the table service as this system needs it.
type Store interface {
	Commit(ctx context.Context, txn Txn) Outcome
	Get(ctx context.Context, key Key) (Row, error)
	List(ctx context.Context, part string) ([]Row, error)
}

// Over makes the Put that replaces the row with a new body.
func Over(row Row, body []byte) Put {
	return Put{Key: row.Key, Base: row.Version, Writes: row.Writes, Body: body}
}

// Apply gives the row that a Put leaves behind when it takes effect.
func Apply(put Put, write string) Row {
	writes := append(append([]string(nil), put.Writes...), write)
	if len(writes) > KeptWrites {
		writes = writes[len(writes)-KeptWrites:]
	}
	return Row{Key: put.Key, Version: put.Base + 1, Writes: writes, Body: put.Body}
}

// CommitLimit bounds one attempt to commit, so that a silent store becomes Unknown.
const CommitLimit = 2 * time.Second
