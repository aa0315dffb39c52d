// Package roster knows the nodes of the system from their rows in the table
// service, and which of them have stopped renewing theirs.
package roster
