// Package gate counts what clients' connections cost a node, and closes those that cost too much: in all by the
// node's one budget for held bytes (core/buffer), in number by a limit for each address that the node listens on.
//
// A connection counts with its head while that is parsed, by bytes and by fields, since a field takes many times
// its bytes. It is closed for want of room as the budget says, but never while a request on it is whole and in progress.
package gate
