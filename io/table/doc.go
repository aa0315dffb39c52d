// Package table is the client of the platform's transactional table service, which
// speaks the DynamoDB protocol. The outcome of a transaction is committed, rejected
// or unknown; unknown outcomes are resolved by reading the rows again.
package table
