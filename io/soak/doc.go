// Package soak runs the real programs as separate processes on one machine,
// troubles them from outside, and checks what callers and endpoints see.
package soak
