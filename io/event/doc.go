// Package event names every numbered log event; docs/EVENTS.md is its catalogue.
package event
