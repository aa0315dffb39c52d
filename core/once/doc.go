// Package once decides how an at-most-once call is handled, by the row that its
// idempotency key has in the table service.
package once
