// Package limit divides among the nodes what an endpoint takes from all of them
// together. An endpoint in need states in its answers how many requests a second
// that is. Each node decides by itself from what it knows of the others, so that no
// request waits for an agreement.
package limit
