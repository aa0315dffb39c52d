package config

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"hickorybend/core/intent"
	"hickorybend/core/rows"
)

// HistoryEntry is the history record of an accepted change. Object names the
// stored object that holds the complete spec in force after the change.
type HistoryEntry struct {
	Version  int64     `json:"version"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	Object   string    `json:"object"`
	Sections []string  `json:"sections"`
}

// Plan is a change that is ready to commit: the sections to write, and all
// sections that are in force after it.
type Plan struct {
	Changes  []intent.Change
	Sections []intent.Section
}

// Conflict is a section that the operator and another operator both changed
// since the base version, in different ways.
type Conflict struct {
	Name      string
	Base      []byte
	Current   []byte
	Requested []byte
}

// Merge does a three-way merge: it finds what an operator changed between the
// base and the requested sections and applies that to the current sections.
// Changes that others made to other sections since the base are kept. A section
// that the operator and another operator changed differently is a conflict.
func Merge(base, current, requested []intent.Section) (Plan, []Conflict) {
	var conflicts []Conflict
	var plan Plan
	merged := map[string][]byte{}
	for _, section := range current {
		merged[section.Name] = section.Body
	}
	baseBodies := map[string][]byte{}
	for _, section := range base {
		baseBodies[section.Name] = section.Body
	}
	for _, change := range intent.Diff(base, requested) {
		inForce := merged[change.Name]
		if bytes.Equal(inForce, change.After) {
			continue
		}
		if !bytes.Equal(inForce, baseBodies[change.Name]) {
			conflicts = append(conflicts, Conflict{Name: change.Name, Base: baseBodies[change.Name], Current: inForce, Requested: change.After})
			continue
		}
		plan.Changes = append(plan.Changes, intent.Change{Name: change.Name, Before: inForce, After: change.After})
		merged[change.Name] = change.After
	}
	plan.Sections = ordered(merged, current, requested)
	return plan, conflicts
}

// ordered returns the merged sections that are not empty: first those that were
// requested, in their order, then the rest in the current order.
func ordered(merged map[string][]byte, current, requested []intent.Section) []intent.Section {
	var sections []intent.Section
	listed := map[string]bool{}
	for _, section := range append(append([]intent.Section(nil), requested...), current...) {
		body := merged[section.Name]
		if listed[section.Name] || len(body) == 0 {
			continue
		}
		listed[section.Name] = true
		sections = append(sections, intent.Section{Name: section.Name, Body: body})
	}
	return sections
}

// MaxChanges is how many sections one change may touch. The transaction of a
// change also writes the head row and the history row.
const MaxChanges = 97

// ErrTooLarge means that a change touches more sections than one transaction
// can hold.
var ErrTooLarge = errors.New("config: the change touches too many sections")

// Accept builds the transaction that puts a plan in force. It is based on the
// head and section rows that the plan was made from; the store rejects it if
// another change has been accepted since.
func Accept(plan Plan, head rows.Row, stored []rows.Row, historyentry HistoryEntry, writeID string) (rows.Txn, error) {
	if len(plan.Changes) > MaxChanges {
		return rows.Txn{}, errors.Wrapf(ErrTooLarge, "%d sections, at most %d", len(plan.Changes), MaxChanges)
	}
	historyentry.Version = int64(head.Version) + 1
	for _, change := range plan.Changes {
		historyentry.Sections = append(historyentry.Sections, change.Name)
	}
	body, err := json.Marshal(historyentry)
	if err != nil {
		return rows.Txn{}, errors.Wrap(err, "config: encoding a history entry")
	}
	head.Key = HeadKey()
	ops := []rows.Op{rows.Replace(head, nil), rows.Put{Key: HistoryKey(historyentry.Version), Body: body}}
	for _, change := range plan.Changes {
		ops = append(ops, rows.Replace(rowOf(stored, change.Name), change.After))
	}
	return rows.Txn{WriteID: writeID, Ops: ops}, nil
}

// AcceptNoop builds a transaction that commits the next version without changing
// a section. Once it has committed, a change that is still in flight and based on
// the same head can no longer commit. The object of the previous entry stays in
// force.
func AcceptNoop(head rows.Row, previous HistoryEntry, now time.Time, writeID string) (rows.Txn, error) {
	historyentry := HistoryEntry{Operator: noopOperator, At: now, Object: previous.Object}
	return Accept(Plan{}, head, nil, historyentry, writeID)
}

// noopOperator is the operator in the history entries that AcceptNoop writes.
const noopOperator = "(void)"

func rowOf(stored []rows.Row, name string) rows.Row {
	key := SectionKey(name)
	for _, row := range stored {
		if row.Key == key {
			return row
		}
	}
	return rows.Row{Key: key}
}

// DecodeHistoryEntry decodes a history row.
func DecodeHistoryEntry(row rows.Row) (HistoryEntry, error) {
	var historyentry HistoryEntry
	err := json.Unmarshal(row.Body, &historyentry)
	return historyentry, errors.Wrapf(err, "config: decoding history row %s", row.Key.Sort)
}
