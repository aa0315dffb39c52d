// Package fresh bounds the age of a node's copies of the platform's tables. A
// rule that must hold within some time after the store's acknowledgment, such as
// the one on endpoints that drain, holds only if no copy is used that is older.
package fresh
