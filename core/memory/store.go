package memory

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"hickorybend/core/rows"
)

// FaultMode is what happens to a transaction that reaches the store.
type FaultMode int

// The fates: answered, applied with the answer lost, never applied and not
// answered, applied only when Land is called, or refused service.
const (
	NoFault FaultMode = iota
	ReplyLost
	Dropped
	Delayed
	Outage
)

// Store keeps rows in memory; Fates decide for each transaction in turn, and
// all are answered once the fates are used up.
type Store struct {
	mutex   sync.Mutex
	rows    map[rows.Key]rows.Row
	fates   []FaultMode
	down    bool
	late    []rows.Txn
	commits int
}

var errFault = errors.New("memory: no answer")

// NewStore makes an empty store without faults.
func NewStore() *Store { return &Store{rows: map[rows.Key]rows.Row{}} }

// SetFaultModes decides the fates of the next transactions.
func (store *Store) SetFaultModes(fates ...FaultMode) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.fates = fates
}

// SetDown makes reads and transactions fail, or heals them.
func (store *Store) SetDown(down bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.down = down
}

// Commits counts the transactions that were tried.
func (store *Store) Commits() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.commits
}

// ApplyDelayed applies the oldest transaction that is on its way; false if there is none.
func (store *Store) ApplyDelayed() bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if len(store.late) == 0 {
		return false
	}
	txn := store.late[0]
	store.late = store.late[1:]
	store.apply(txn)
	return true
}

// Commit tries a transaction once.
func (store *Store) Commit(_ context.Context, txn rows.Txn) rows.Outcome {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.commits++
	switch store.fate() {
	case ReplyLost:
		store.apply(txn)
		return rows.Unknown{Cause: errFault}
	case Delayed:
		store.late = append(store.late, txn)
		return rows.Unknown{Cause: errFault}
	case Dropped, Outage:
		return rows.Unknown{Cause: errFault}
	default:
		return store.apply(txn)
	}
}

func (store *Store) fate() FaultMode {
	if store.down {
		return Outage
	}
	if len(store.fates) == 0 {
		return NoFault
	}
	faultmode := store.fates[0]
	store.fates = store.fates[1:]
	return faultmode
}

func (store *Store) apply(txn rows.Txn) rows.Outcome {
	for _, op := range txn.Ops {
		if store.rows[rows.KeyOf(op)].Version != base(op) {
			return rows.Refused{Key: rows.KeyOf(op)}
		}
	}
	for _, op := range txn.Ops {
		switch typed := op.(type) {
		case rows.Put:
			store.rows[typed.Key] = rows.Apply(typed, txn.WriteID)
		case rows.Delete:
			delete(store.rows, typed.Key)
		}
	}
	return rows.Committed{}
}

func base(op rows.Op) int64 {
	switch typed := op.(type) {
	case rows.Put:
		return typed.Base
	case rows.Check:
		return typed.Base
	case rows.Delete:
		return typed.Base
	default:
		panic(errors.AssertionFailedf("memory: unknown step %T", op))
	}
}

// Get reads one row.
func (store *Store) Get(_ context.Context, key rows.Key) (rows.Row, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.down {
		return rows.Row{}, rows.ErrOutage
	}
	row, found := store.rows[key]
	if !found {
		return rows.Row{Key: key}, rows.ErrAbsent
	}
	return row, nil
}

// List reads a partition in the order of its sort keys.
func (store *Store) List(_ context.Context, part string) ([]rows.Row, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.down {
		return nil, rows.ErrOutage
	}
	var found []rows.Row
	for key, row := range store.rows {
		if key.Partition == part {
			found = append(found, row)
		}
	}
	slices.SortFunc(found, func(a, b rows.Row) int { return strings.Compare(a.Key.Sort, b.Key.Sort) })
	return found, nil
}
