// Package event defines the numbered log events. docs/EVENTS.md lists them all.
package event
