// Package table speaks to the platform's transactional table service by the
// DynamoDB protocol and turns its answers into outcomes of three values.
package table
