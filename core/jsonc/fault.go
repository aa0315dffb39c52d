package jsonc

import (
	"fmt"
	"strings"
)

// Position is a position in a text; lines and columns count from 1.
type Position struct {
	Line   int `json:"line"`
	Column int `json:"column"`
}

// Fault is an error in a text: what was expected at a position and what was
// found.
type Fault struct {
	File     string   `json:"file"`
	At       Position `json:"at"`
	Path     string   `json:"path"`
	Expected string   `json:"expected"`
	Found    string   `json:"found"`
}

// String returns the fault on one line, in the form that compilers use.
func (fault Fault) String() string {
	position := fmt.Sprintf("%s:%d:%d", fault.File, fault.At.Line, fault.At.Column)
	return fmt.Sprintf("%s: %s: expected %s, found %s", position, fault.Path, fault.Expected, fault.Found)
}

// Faults is the list of all faults of one text, in the order of the text.
type Faults []Fault

// Error returns the faults, one per line.
func (faults Faults) Error() string {
	lines := make([]string, len(faults))
	for i, fault := range faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}
