// Package watch keeps what endpoints last said of themselves and until when
// that may be relied on.
package watch
