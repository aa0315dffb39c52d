// Package intent defines the operators' spec: its types, its validation, and how
// it is split into sections with a version each.
package intent
