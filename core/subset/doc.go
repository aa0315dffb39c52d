// Package subset decides which nodes use an endpoint where there are more nodes than the
// connections that it accepts can bear. Each node decides by itself from the list of
// nodes, by rendezvous hashing (Thaler and Ravishankar, "Using Name-Based Mappings to
// Increase Hit Rates", 1998). Nothing calls it yet: see docs/CAPACITY.md.
package subset
