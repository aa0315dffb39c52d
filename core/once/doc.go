// Package once decides what becomes of a call that may not be repeated, from
// the row that its idempotency key has in the table service.
package once
