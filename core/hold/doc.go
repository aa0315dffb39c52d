// Package hold keeps the tokens that an endpoint is sent within its memory.
//
// An endpoint crashes if the prompts and answers that it holds have more tokens than its memory. A
// node counts its own tokens there; the counts of other nodes are up to 400 ms old. If each node
// filled what is free by these counts, all of them together would send a multiple of it. So what is
// free is divided by the number of nodes, and each sends at most its part of it within
// those 400 ms.
//
// For example, the memory holds 24,000 tokens, 12,000 are taken, and there are 6 nodes. Each may
// send 2,000 tokens within 400 ms. A request of 3,000 goes elsewhere.
//
// Parts for dozens of nodes would be smaller than a request, so the check is made only where every node
// compares all endpoints.
package hold
