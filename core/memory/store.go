package memory

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"hickorybend/core/rows"
)

// FaultMode is what happens to a transaction that is sent to the store.
type FaultMode int

// The fault modes.
const (
	NoFault   FaultMode = iota // applied if no version differs, with a reply
	ReplyLost                  // like NoFault, but without a reply
	Dropped                    // not applied, without a reply
	Delayed                    // applied when ApplyDelayed is called, without a reply
	Outage                     // the store is down: not applied, without a reply
)

// Store keeps rows in memory. Each transaction takes the next of the fault modes
// that were set; when none is left, transactions have no fault.
type Store struct {
	mutex      sync.Mutex
	rows       map[rows.Key]rows.Row
	faultModes []FaultMode
	down       bool
	delayed    []rows.Txn
	commits    int
	era        int64 // how often the store has come back from an older copy
}

var (
	errNoReply  = errors.New("memory: injected fault: no reply")
	errWentBack = errors.New("memory: a version of an earlier era")
)

// NewStore returns an empty store without faults.
func NewStore() *Store { return &Store{rows: map[rows.Key]rows.Row{}} }

// SetFaultModes sets the fault modes of the next transactions, one for each.
func (store *Store) SetFaultModes(faultModes ...FaultMode) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.faultModes = faultModes
}

// SetDown takes the store down or brings it back. While it is down, all reads and
// transactions fail.
func (store *Store) SetDown(down bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.down = down
}

// Commits returns the number of attempts to commit a transaction.
func (store *Store) Commits() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.commits
}

// ApplyDelayed applies the oldest delayed transaction and reports whether there
// was one.
func (store *Store) ApplyDelayed() bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if len(store.delayed) == 0 {
		return false
	}
	txn := store.delayed[0]
	store.delayed = store.delayed[1:]
	store.apply(txn)
	return true
}

// Commit attempts a transaction once.
func (store *Store) Commit(_ context.Context, txn rows.Txn) rows.Outcome {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.commits++
	switch store.nextFaultMode() {
	case ReplyLost:
		store.apply(txn)
		return rows.Unknown{Cause: errNoReply}
	case Delayed:
		store.delayed = append(store.delayed, txn)
		return rows.Unknown{Cause: errNoReply}
	case Dropped, Outage:
		return rows.Unknown{Cause: errNoReply}
	default:
		return store.apply(txn)
	}
}

func (store *Store) nextFaultMode() FaultMode {
	if store.down {
		return Outage
	}
	if len(store.faultModes) == 0 {
		return NoFault
	}
	faultmode := store.faultModes[0]
	store.faultModes = store.faultModes[1:]
	return faultmode
}

// apply applies a transaction. It compares the numbers of versions only, as a store
// does that gives them out again after it has come back from an older copy.
func (store *Store) apply(txn rows.Txn) rows.Outcome {
	var outcome rows.Outcome = rows.Committed{}
	for _, op := range txn.Ops {
		if store.rows[rows.KeyOf(op)].Version.Number() != rows.BaseOf(op).Number() {
			return rows.Rejected{Key: rows.KeyOf(op)}
		}
		if rows.BaseOf(op).Era() != store.era {
			outcome = rows.Unknown{Cause: errWentBack}
		}
	}
	for _, op := range txn.Ops {
		switch typed := op.(type) {
		case rows.Put:
			store.rows[typed.Key] = store.inEra(rows.Apply(typed, txn.WriteID))
		case rows.Delete:
			delete(store.rows, typed.Key)
		}
	}
	return outcome
}

func (store *Store) inEra(row rows.Row) rows.Row {
	row.Version = rows.NewVersion(store.era, row.Version.Number())
	return row
}

// Copy is the contents of a store at some time.
type Copy struct {
	rows map[rows.Key]rows.Row
}

// Copy returns the present contents.
func (store *Store) Copy() Copy {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return Copy{rows: maps.Clone(store.rows)}
}

// GoBack replaces the contents by an older copy and begins an era.
func (store *Store) GoBack(earlier Copy) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.era++
	store.rows = map[rows.Key]rows.Row{}
	for key, row := range earlier.rows {
		store.rows[key] = store.inEra(row)
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
		return store.inEra(rows.Row{Key: key}), rows.ErrAbsent
	}
	return row, nil
}

// List reads the rows of a partition in the order of their sort keys.
func (store *Store) List(_ context.Context, partition string) ([]rows.Row, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.down {
		return nil, rows.ErrOutage
	}
	var found []rows.Row
	for key, row := range store.rows {
		if key.Partition == partition {
			found = append(found, row)
		}
	}
	slices.SortFunc(found, func(a, b rows.Row) int { return strings.Compare(a.Key.Sort, b.Key.Sort) })
	return found, nil
}
