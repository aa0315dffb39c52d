// Package crash decides which inputs crash the endpoints that answer them.
//
// A fault of an endpoint's program can make it crash on particular input. Requests with
// that input come again and again, at every node, and each one that is sent ends another
// endpoint. An input is a part that prompts share, or a whole request that is repeated.
// A Ledger collects, from all nodes, which inputs an endpoint was about to answer when it
// crashed, and which of them endpoints have answered since and outlived. It blocks an input when the
// crashes can't be explained otherwise, and allows it again when an answer shows that it
// is sound.
package crash
