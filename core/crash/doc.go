// Package crash decides which parts of prompts crash the endpoints that answer them.
//
// A fault of an engine can make it crash on particular input. Requests with that
// input come from many callers and at every node, and each one that is sent ends
// another replica. Prompts are made of parts that requests share, so the input is
// recognized by its part: a Ledger collects, from all nodes, which parts were in the
// prompts that an endpoint was about to answer when it crashed, and which parts
// endpoints have answered since. It blocks a part when the crashes can't be
// explained otherwise, and allows it again when an answer shows that it is sound.
package crash
