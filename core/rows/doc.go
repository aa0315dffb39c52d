// Package rows defines the interface to the platform's table service, which is
// also called the store: versioned rows, conditional transactions that are
// committed, rejected or of unknown outcome, and how an unknown outcome is
// resolved.
package rows
