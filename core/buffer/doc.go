// Package buffer limits the bytes that a node holds for others: answers of endpoints and
// bodies of callers, while they come and until they are passed on.
//
// A limit for each answer does not limit the node: eighteen answers of 16 MiB are all of its
// memory. So a Ledger has one limit for all of them, and a share of it for each owner, so
// that a faulty endpoint or a team with slow callers uses up its own share and no one
// else's. Where a limit is reached, the ledger ends claims: what is no answer first, then
// what has not grown for longest, then what is largest.
//
// For example, the limit is 56 MiB and an endpoint's share 16 MiB. Three endpoints send bodies without
// end. Each body ends at 16 MiB, and the fourth large answer, of a sound endpoint, ends the one of
// the three that has not grown for longest. Answers of some kilobytes are not counted and go on.
package buffer
