// Package hold keeps the tokens that an endpoint is sent within its memory.
//
// An endpoint crashes if the prompts and answers that it holds have more tokens than its memory. A
// node knows its own tokens there exactly, and those of other nodes as they were a moment ago. If each
// node filled what looks free, all of them together would send a multiple of it. So what
// looks free is divided by the number of nodes, and each sends at most its part of it while what it
// has sent may not be known to the others.
//
// For example, the memory holds 24,000 tokens, 12,000 are taken, and there are 6 nodes. Each may
// send 2,000 tokens within 400 ms. A request of 3,000 goes elsewhere.
//
// Parts for dozens of nodes are smaller than a request. There, few owners, such as the leaders of
// zones, have a fixed share of each memory and know exactly what they have given out: a
// Ledger.
package hold
