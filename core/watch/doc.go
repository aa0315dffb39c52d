// Package watch keeps the latest status of each endpoint and how long it may be
// relied on.
package watch
