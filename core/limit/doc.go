// Package limit divides among the nodes what an endpoint takes from all of them
// together. An endpoint in need states in its answers how many requests a second
// that is. Each node decides by itself from what it knows of the others, so that no
// request waits for an agreement.
//
// A cold endpoint, which has just started, takes less as well, and in no second more than a
// bound, also while the nodes are partitioned. ColdShare divides that among a few nodes.
package limit
