// Package stress sends open-loop load to callers' addresses and checks that
// every answer is whole and its caller's own.
package stress
