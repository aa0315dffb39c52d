package config

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"hickorybend/core/intent"
	"hickorybend/core/rows"
)

// Entry is the record of an accepted change.
type Entry struct {
	Version  int64     `json:"version"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	Object   string    `json:"object"`
	Sections []string  `json:"sections"`
}

// Plan is a change that may be tried: the sections to write and the whole text
// that they leave in force.
type Plan struct {
	Changes  []intent.Change
	Sections []intent.Section
}

// Conflict is a section that another operator changed since the base.
type Conflict struct {
	Name      string
	Base      []byte
	Current   []byte
	Requested []byte
}

// Merge finds what an operator changed since its base and puts it over what is
// in force now. Changes of other sections since the base stay as they are; a
// section that both changed differently is a conflict.
func Merge(base, current, asked []intent.Section) (Plan, []Conflict) {
	var conflicts []Conflict
	var plan Plan
	merged := map[string][]byte{}
	for _, section := range current {
		merged[section.Name] = section.Body
	}
	before := map[string][]byte{}
	for _, section := range base {
		before[section.Name] = section.Body
	}
	for _, change := range intent.Diff(base, asked) {
		now := merged[change.Name]
		if bytes.Equal(now, change.After) {
			continue
		}
		if !bytes.Equal(now, before[change.Name]) {
			conflicts = append(conflicts, Conflict{Name: change.Name, Base: before[change.Name], Current: now, Requested: change.After})
			continue
		}
		plan.Changes = append(plan.Changes, intent.Change{Name: change.Name, Before: now, After: change.After})
		merged[change.Name] = change.After
	}
	plan.Sections = ordered(merged, current, asked)
	return plan, conflicts
}

// ordered lists the sections that are not empty, in the order of the asked
// text and then of the current one.
func ordered(merged map[string][]byte, current, asked []intent.Section) []intent.Section {
	var sections []intent.Section
	listed := map[string]bool{}
	for _, section := range append(append([]intent.Section(nil), asked...), current...) {
		body := merged[section.Name]
		if listed[section.Name] || len(body) == 0 {
			continue
		}
		listed[section.Name] = true
		sections = append(sections, intent.Section{Name: section.Name, Body: body})
	}
	return sections
}

// MaxChanges is how many sections one change may touch.
const MaxChanges = 97

// ErrTooLarge says that a change touches more sections than one transaction holds.
var ErrTooLarge = errors.New("config: the change touches too many sections")

// Accept makes the transaction that puts a plan in force, over the rows that
// the plan was made from.
func Accept(plan Plan, head rows.Row, stored []rows.Row, entry Entry, write string) (rows.Txn, error) {
	if len(plan.Changes) > MaxChanges {
		return rows.Txn{}, errors.Wrapf(ErrTooLarge, "%d sections, at most %d", len(plan.Changes), MaxChanges)
	}
	entry.Version = head.Version + 1
	for _, change := range plan.Changes {
		entry.Sections = append(entry.Sections, change.Name)
	}
	body, err := json.Marshal(entry)
	if err != nil {
		return rows.Txn{}, errors.Wrap(err, "config: encoding an entry")
	}
	head.Key = HeadKey()
	steps := []rows.Op{rows.Replace(head, nil), rows.Put{Key: HistoryKey(entry.Version), Body: body}}
	for _, change := range plan.Changes {
		steps = append(steps, rows.Replace(rowOf(stored, change.Name), change.After))
	}
	return rows.Txn{WriteID: write, Ops: steps}, nil
}

// AcceptNoop makes the transaction that takes a version's place without a change,
// so that a change which waits for the same head can no longer land.
func AcceptNoop(head rows.Row, before Entry, now time.Time, write string) (rows.Txn, error) {
	entry := Entry{Operator: voidOperator, At: now, Object: before.Object}
	return Accept(Plan{}, head, nil, entry, write)
}

// voidOperator stands in the history where no operator changed anything.
const voidOperator = "(void)"

func rowOf(stored []rows.Row, name string) rows.Row {
	key := SectionKey(name)
	for _, row := range stored {
		if row.Key == key {
			return row
		}
	}
	return rows.Row{Key: key}
}

// ReadEntry decodes a row of the history.
func ReadEntry(row rows.Row) (Entry, error) {
	var entry Entry
	err := json.Unmarshal(row.Body, &entry)
	return entry, errors.Wrapf(err, "config: history row %s", row.Key.Sort)
}
