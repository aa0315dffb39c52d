package jsonc

import (
	"fmt"
	"strings"
)

// Position is a place in a text, both numbers counted from one.
type Position struct {
	Line   int `json:"line"`
	Column int `json:"column"`
}

// Fault tells what was expected at a place of a text and what stood there.
type Fault struct {
	File     string   `json:"file"`
	At       Position `json:"at"`
	Path     string   `json:"path"`
	Expected string   `json:"expected"`
	Found    string   `json:"found"`
}

// String gives the fault on one line in the form that compilers use.
func (fault Fault) String() string {
	place := fmt.Sprintf("%s:%d:%d", fault.File, fault.At.Line, fault.At.Column)
	return fmt.Sprintf("%s: %s: expected %s, found %s", place, fault.Path, fault.Expected, fault.Found)
}

// Faults is every fault of one text, in the order of the text.
type Faults []Fault

// Error lists the faults, a line each.
func (faults Faults) Error() string {
	lines := make([]string, len(faults))
	for i, fault := range faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}
