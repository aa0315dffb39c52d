// Package cutoff decides whether a node that gets no answers from endpoints is itself cut
// off from them.
//
// To a node whose links to the endpoints have failed, sound endpoints look as silent as
// those that are gone. What it concludes from their silence would be wrong, and it would
// tell the other nodes. A Tracker compares what the node sees with what the others say.
//
// For example, 9 of 24 first hosts of replicas fall silent within half a second. Either
// they have failed together, or the node's links have: for a short time the node draws no
// conclusion. Another node asks the 9, gets answers and says so. They answer others, so
// this node is cut off from them. Had they failed, no node would get an answer.
//
// What a node and the others see is compared with its times: an endpoint that answered
// others before it failed, or after it came back, contradicts nothing. It has to answer
// another one between two of this node's probes that were not answered.
package cutoff
